#include "marjoramtally/process/weight_plan.hpp"

#include <algorithm>
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
WeightPlan::OnNamed(const std::string& aModel, WeightVersion aVersion)
{
  WeightVersion& named = named_[aModel];
  named = std::max(named, aVersion);
}

std::string
WeightPlan::HomeOf(const UpstreamId& aUpstream) const
{
  const auto it = homes_.find(aUpstream);
  return it == homes_.end() || it->second.empty() ? std::string()
                                                  : *it->second.begin();
}

std::uint64_t
WeightPlan::Gap(const PlanUpstream& aUpstream, const std::string& aModel) const
{
  const auto named = named_.find(aModel);
  const auto held = aUpstream.versions_.find(aModel);
  if (named == named_.end() || held == aUpstream.versions_.end() ||
      held->second >= named->second) {
    return 0;
  }
  return named->second.Get() - held->second.Get();
}

std::size_t
WeightPlan::CountHomes(const std::string& aModel,
                       const Upstreams& aService) const
{
  return static_cast<std::size_t>(std::count_if(
    aService.begin(), aService.end(), [&](const PlanUpstream* aUpstream) {
      const auto it = homes_.find(aUpstream->id_);
      return it != homes_.end() && it->second.contains(aModel);
    }));
}

/// Where versions differ, the model that is least behind was at home there
/// under the owner before.
void
WeightPlan::GiveHome(const PlanUpstream& aUpstream,
                     const std::vector<std::string>& aModels,
                     std::size_t aShare)
{
  const std::string* best = nullptr;
  std::tuple<bool, std::uint64_t, std::size_t> bestRank;
  for (const std::string& model : aModels) {
    const std::size_t count = static_cast<std::size_t>(
      std::count_if(homes_.begin(), homes_.end(), [&](const auto& aHome) {
        return aHome.second.contains(model);
      }));
    const std::tuple rank{ count >= aShare, Gap(aUpstream, model), count };
    if (best == nullptr || rank < bestRank) {
      best = &model;
      bestRank = rank;
    }
  }
  if (best != nullptr) {
    homes_[aUpstream.id_] = { *best };
  }
}

void
WeightPlan::Balance(const Upstreams& aService,
                    const std::vector<std::string>& aModels)
{
  for (std::size_t moves = 0; moves < aService.size(); ++moves) {
    const auto fewer = [&](const std::string& aLeft,
                           const std::string& aRight) {
      return CountHomes(aLeft, aService) < CountHomes(aRight, aService);
    };
    const auto [least, most] =
      std::minmax_element(aModels.begin(), aModels.end(), fewer);
    if (CountHomes(*most, aService) <= CountHomes(*least, aService) + 1) {
      return;
    }
    for (const PlanUpstream* upstream : aService) {
      std::set<std::string>& home = homes_[upstream->id_];
      if (home.contains(*most)) {
        home = { *least };
        break;
      }
    }
  }
}

void
WeightPlan::AssignHomes(const Upstreams& aService)
{
  const std::vector<std::string> models = ModelsOf(aService);
  if (models.empty()) {
    return;
  }
  if (aService.size() < models.size()) {
    for (std::size_t i = 0; i < aService.size(); ++i) {
      std::set<std::string>& home = homes_[aService[i]->id_];
      home.clear();
      for (std::size_t m = i; m < models.size(); m += aService.size()) {
        home.insert(models[m]);
      }
    }
    return;
  }
  const std::size_t share =
    (aService.size() + models.size() - 1) / models.size();
  for (const PlanUpstream* upstream : aService) {
    if (homes_[upstream->id_].size() != 1) {
      homes_.erase(upstream->id_);
      GiveHome(*upstream, models, share);
    }
  }
  Balance(aService, models);
}

std::vector<PlannedLoad>
WeightPlan::Next(const std::vector<PlanUpstream>& aUpstreams)
{
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
    const auto share =
      static_cast<std::uint32_t>(upstreams.size()) / policy_.upstreamsOfLoad_;
    const std::uint32_t atOnce = std::max(policy_.atOnce_, share);
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
      loads.push_back({ upstream->id_, model, named_[model] });
    }
  }
  return loads;
}

} // namespace marjoramtally
