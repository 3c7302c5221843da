#include "marjoramtally/process/weight_plan.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marjoramtally {

namespace {

/// An upstream so many versions behind serves no step.
constexpr std::uint64_t kMostBehind = 2;

/// Models that the upstreams hold, in the order of their names.
std::vector<std::string>
ModelsOf(const std::vector<const PlanUpstream*>& aUpstreams)
{
  std::set<std::string> models;
  for (const PlanUpstream* upstream : aUpstreams) {
    for (const auto& [model, version] : upstream->versions_) {
      models.insert(model);
    }
  }
  return { models.begin(), models.end() };
}

} // namespace

WeightPlan::WeightPlan(WeightPlanPolicy aPolicy)
  : policy_(aPolicy)
{
}

void
WeightPlan::OnNamed(const std::string& aModel,
                    WeightVersion aVersion,
                    TimePoint aNow)
{
  const auto [it, first] =
    named_.try_emplace(aModel, Naming{ aVersion, aNow, policy_.firstPeriod_ });
  Naming& naming = it->second;
  if (first || aVersion <= naming.version_) {
    return;
  }
  const auto steps =
    static_cast<std::int64_t>(aVersion.Get() - naming.version_.Get());
  const Duration change = (aNow - naming.at_) / steps - naming.period_;
  naming.period_ += Duration{ static_cast<std::int64_t>(
    static_cast<double>(change.count()) * policy_.periodWeight_) };
  naming.version_ = aVersion;
  naming.at_ = aNow;
}

std::string
WeightPlan::HomeOf(const UpstreamId& aUpstream) const
{
  const auto it = homes_.find(aUpstream);
  return it == homes_.end() || it->second.empty() ? std::string()
                                                  : *it->second.begin();
}

std::size_t
WeightPlan::CountModelsAt(const UpstreamId& aUpstream) const
{
  const auto it = homes_.find(aUpstream);
  return it == homes_.end() ? 0 : it->second.size();
}

std::uint64_t
WeightPlan::Gap(const PlanUpstream& aUpstream, const std::string& aModel) const
{
  const auto named = named_.find(aModel);
  const auto held = aUpstream.versions_.find(aModel);
  if (named == named_.end() || held == aUpstream.versions_.end() ||
      held->second >= named->second.version_) {
    return 0;
  }
  return named->second.version_.Get() - held->second.Get();
}

std::size_t
WeightPlan::CountHomes(const std::string& aModel,
                       const Upstreams& aService) const
{
  looks_ += aService.size();
  return static_cast<std::size_t>(std::count_if(
    aService.begin(), aService.end(), [&](const PlanUpstream* aUpstream) {
      const auto it = homes_.find(aUpstream->id_);
      return it != homes_.end() && it->second.contains(aModel);
    }));
}

std::uint32_t
WeightPlan::AtOnce(std::size_t aUpstreams) const noexcept
{
  const auto share =
    static_cast<std::uint32_t>(aUpstreams) / policy_.upstreamsOfLoad_;
  return std::max(policy_.atOnce_, share);
}

std::size_t
WeightPlan::ShareOf(std::size_t aUpstreams,
                    const std::vector<std::string>& aModels) const
{
  using Seconds = std::chrono::duration<double>;
  // Versions named a second, each of which half of its homes load.
  double versions = 0;
  for (const std::string& model : aModels) {
    const auto naming = named_.find(model);
    const Duration period =
      naming == named_.end() ? policy_.firstPeriod_ : naming->second.period_;
    versions += 1.0 / std::max(Seconds(period).count(),
                               Seconds(policy_.loadTime_).count());
  }
  const double loads = policy_.loadShare_ * AtOnce(aUpstreams) /
                       Seconds(policy_.loadTime_).count();
  const auto upstreams = static_cast<double>(aUpstreams);
  const auto models = static_cast<double>(aModels.size());
  const double bearable = loads / (versions * policy_.newestShare_);
  const double wanted = policy_.mostHomes_ * upstreams / models;
  const double least = upstreams / models;
  const double share = std::clamp(bearable, least, std::max(wanted, least));
  return std::clamp<std::size_t>(
    static_cast<std::size_t>(std::lround(share)), 1, aUpstreams);
}

/// Where versions differ, the models that are least behind were at home there
/// under the holder before. Then a model's homes are spread over the zones,
/// so that a cut leaves it some.
void
WeightPlan::AddHomes(const std::string& aModel,
                     std::size_t aShare,
                     std::size_t aMost,
                     const Upstreams& aService)
{
  std::map<ZoneId, std::size_t> zones;
  std::size_t count = 0;
  for (const PlanUpstream* upstream : aService) {
    if (homes_[upstream->id_].contains(aModel)) {
      ++zones[upstream->zone_];
      ++count;
    }
  }
  for (; count < aShare; ++count) {
    const PlanUpstream* best = nullptr;
    std::tuple<bool, std::uint64_t, std::size_t, std::size_t> bestRank;
    looks_ += aService.size();
    for (const PlanUpstream* upstream : aService) {
      const std::set<std::string>& home = homes_[upstream->id_];
      if (home.contains(aModel)) {
        continue;
      }
      const std::tuple rank{ home.size() >= aMost,
                             Gap(*upstream, aModel),
                             home.size(),
                             zones[upstream->zone_] };
      if (best == nullptr || rank < bestRank) {
        best = upstream;
        bestRank = rank;
      }
    }
    homes_[best->id_].insert(aModel);
    ++zones[best->zone_];
  }
}

/// The models that are furthest behind go: they are served elsewhere already.
void
WeightPlan::Relieve(std::size_t aMost, const Upstreams& aService)
{
  for (const PlanUpstream* upstream : aService) {
    std::set<std::string>& home = homes_[upstream->id_];
    while (home.size() > aMost) {
      home.erase(std::max_element(
        home.begin(),
        home.end(),
        [&](const std::string& aLeft, const std::string& aRight) {
          return Gap(*upstream, aLeft) < Gap(*upstream, aRight);
        }));
    }
  }
}

void
WeightPlan::RemoveHomes(const std::string& aModel,
                        std::size_t aShare,
                        const Upstreams& aService)
{
  for (std::size_t count = CountHomes(aModel, aService); count > aShare;
       --count) {
    looks_ += aService.size();
    const PlanUpstream* most = nullptr;
    for (const PlanUpstream* upstream : aService) {
      if (homes_[upstream->id_].contains(aModel) &&
          (most == nullptr ||
           homes_[upstream->id_].size() > homes_[most->id_].size())) {
        most = upstream;
      }
    }
    homes_[most->id_].erase(aModel);
  }
}

void
WeightPlan::AssignHomes(const Upstreams& aService)
{
  const std::vector<std::string> models = ModelsOf(aService);
  if (models.empty()) {
    return;
  }
  const std::size_t share = ShareOf(aService.size(), models);
  for (const std::string& model : models) {
    RemoveHomes(model, share, aService);
  }
  const std::size_t most =
    (share * models.size() + aService.size() - 1) / aService.size();
  Relieve(most, aService);
  for (const std::string& model : models) {
    AddHomes(model, share, most, aService);
  }
}

std::vector<PlannedLoad>
WeightPlan::Next(const std::vector<PlanUpstream>& aUpstreams)
{
  looks_ = 0;
  std::map<ServiceId, Upstreams> services;
  std::set<UpstreamId> present;
  for (const PlanUpstream& upstream : aUpstreams) {
    services[upstream.service_].push_back(&upstream);
    present.insert(upstream.id_);
  }
  std::erase_if(
    homes_, [&](const auto& aHome) { return !present.contains(aHome.first); });
  std::vector<PlannedLoad> loads;
  for (const auto& [service, upstreams] : services) {
    AssignHomes(upstreams);
    std::uint32_t busy = 0;
    std::map<std::string, std::uint32_t> busyOfModel;
    std::map<std::string, double> newest;
    std::vector<std::tuple<std::uint64_t, const PlanUpstream*, std::string>>
      wanted;
    for (const PlanUpstream* upstream : upstreams) {
      busy += upstream->busy_ ? 1 : 0;
      for (const std::string& model : homes_[upstream->id_]) {
        const std::uint64_t gap = Gap(*upstream, model);
        newest[model] += upstream->busy_ || gap == 0 ? 1 : 0;
        if (upstream->busy_) {
          ++busyOfModel[model];
        } else if (gap > 0) {
          wanted.emplace_back(gap, upstream, model);
        }
      }
    }
    std::stable_sort(
      wanted.begin(), wanted.end(), [](const auto& aLeft, const auto& aRight) {
        return std::get<0>(aLeft) > std::get<0>(aRight);
      });
    const std::uint32_t atOnce = AtOnce(upstreams.size());
    std::set<UpstreamId> chosen;
    for (const auto& [gap, upstream, model] : wanted) {
      // The larger half of a model's upstreams goes on serving.
      const std::size_t home = CountHomes(model, upstreams);
      const std::size_t most = std::max<std::size_t>(1, home / 2);
      if (busy >= atOnce) {
        break;
      }
      const bool enough =
        newest[model] >= policy_.newestShare_ * static_cast<double>(home);
      if (gap < kMostBehind && enough) {
        continue;
      }
      if (busyOfModel[model] >= most || !chosen.insert(upstream->id_).second) {
        continue;
      }
      ++busy;
      ++busyOfModel[model];
      newest[model] += 1;
      loads.push_back({ upstream->id_, model, named_[model].version_ });
    }
  }
  return loads;
}

} // namespace marjoramtally
