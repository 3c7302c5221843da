#include "marjoramtally/process/weight_plan.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <tuple>

namespace marjoramtally {

namespace {

/// An upstream so many versions behind serves no step.
constexpr std::uint64_t kMostBehind = 2;

std::size_t
CountOf(const std::map<std::string, std::size_t>& aCounts,
        const std::string& aModel)
{
  const auto it = aCounts.find(aModel);
  return it == aCounts.end() ? 0 : it->second;
}

} // namespace

WeightPlan::WeightPlan(WeightPlanPolicy aPolicy)
  : policy_(aPolicy)
  , limit_(aPolicy.atOnce_)
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

std::vector<std::string>
WeightPlan::ModelsOf(const Places& aService)
{
  std::set<std::string> models;
  for (const Place& place : aService) {
    for (const auto& [model, version] : place.upstream_->versions_) {
      models.insert(model);
    }
  }
  return { models.begin(), models.end() };
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

std::map<std::string, std::size_t>
WeightPlan::CountHomes(const Places& aService)
{
  std::map<std::string, std::size_t> counts;
  looks_ += aService.size();
  for (const Place& place : aService) {
    for (const std::string& model : *place.home_) {
      ++counts[model];
    }
  }
  return counts;
}

std::uint32_t
WeightPlan::AtOnce(std::size_t aUpstreams)
{
  return limit_.AtOnce(static_cast<std::uint32_t>(aUpstreams) /
                       policy_.upstreamsOfLoad_);
}

void
WeightPlan::OnDemand(const std::string& aModel,
                     std::uint64_t aPlaces,
                     TimePoint aNow)
{
  PeakDemand& demand =
    demand_.try_emplace(aModel, policy_.demandMemory_).first->second;
  demand.OnDemand(aPlaces, aNow);
  bursts_[aModel] = demand.At(aNow);
}

void
WeightPlan::OnOrdered(TimePoint aNow)
{
  limit_.OnInProgress(busy_, aNow);
}

void
WeightPlan::OnLoaded(Duration aTook, TimePoint aNow)
{
  limit_.OnLoaded(aTook, busy_, aNow);
}

std::optional<double>
WeightPlan::UpstreamsForBurst(const Places& aService,
                              const std::string& aModel) const
{
  const auto burst = bursts_.find(aModel);
  if (burst == bursts_.end()) {
    return std::nullopt;
  }
  std::uint64_t slots = 0;
  for (const Place& place : aService) {
    slots += place.upstream_->slots_;
  }
  return static_cast<double>(burst->second) *
         static_cast<double>(aService.size()) /
         static_cast<double>(std::max<std::uint64_t>(slots, 1));
}

std::map<std::string, std::size_t>
WeightPlan::ShareOut(const Places& aService,
                     const std::vector<std::string>& aModels)
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
  const double loads = policy_.loadShare_ * AtOnce(aService.size()) /
                       Seconds(policy_.loadTime_).count();
  const auto upstreams = static_cast<double>(aService.size());
  const auto models = static_cast<double>(aModels.size());
  const double bearable = loads / (versions * policy_.newestShare_);
  std::map<std::string, std::size_t> shares;
  for (const std::string& model : aModels) {
    double least = upstreams / models;
    double wanted = policy_.mostHomes_ * upstreams / models;
    if (const auto burst = UpstreamsForBurst(aService, model)) {
      least = std::min(least, *burst);
      wanted = std::min(wanted, policy_.homePlaces_ * *burst);
    }
    const double share = std::clamp(bearable, least, std::max(wanted, least));
    shares[model] = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(share)), 1, aService.size());
  }
  return shares;
}

/// Where versions differ, the models that are least behind were at home there
/// under the holder before. Then a model's homes are spread over the zones,
/// so that a cut leaves it some.
///
/// Only the count of homes of a zone changes while homes are added, so that the
/// candidates of each zone are put into order once.
void
WeightPlan::AddHomes(const std::string& aModel,
                     std::size_t aCount,
                     std::size_t aMost,
                     const Places& aService)
{
  /// More homes than others, versions behind, homes, place in the service.
  using Candidate = std::tuple<bool, std::uint64_t, std::size_t, std::size_t>;
  struct Zone
  {
    std::size_t homes_ = 0;
    /// The best one last.
    std::vector<Candidate> candidates_;
  };
  std::map<ZoneId, Zone> zones;
  looks_ += aService.size();
  for (std::size_t i = 0; i < aService.size(); ++i) {
    const Place& place = aService[i];
    Zone& zone = zones[place.upstream_->zone_];
    if (place.home_->contains(aModel)) {
      ++zone.homes_;
    } else {
      zone.candidates_.emplace_back(place.home_->size() >= aMost,
                                    Gap(*place.upstream_, aModel),
                                    place.home_->size(),
                                    i);
    }
  }
  for (auto& [id, zone] : zones) {
    std::sort(
      zone.candidates_.begin(), zone.candidates_.end(), std::greater<>());
  }
  const auto rank = [](const Zone& aZone) {
    const auto& [over, gap, homes, index] = aZone.candidates_.back();
    return std::tuple(over, gap, homes, aZone.homes_, index);
  };
  for (std::size_t i = 0; i < aCount; ++i) {
    looks_ += zones.size();
    Zone* best = nullptr;
    for (auto& [id, zone] : zones) {
      if (!zone.candidates_.empty() &&
          (best == nullptr || rank(zone) < rank(*best))) {
        best = &zone;
      }
    }
    aService[std::get<3>(best->candidates_.back())].home_->insert(aModel);
    best->candidates_.pop_back();
    ++best->homes_;
  }
}

/// The models that are furthest behind go: they are served elsewhere already.
void
WeightPlan::Relieve(std::size_t aMost, const Places& aService)
{
  for (const Place& place : aService) {
    std::set<std::string>& home = *place.home_;
    while (home.size() > aMost) {
      home.erase(std::max_element(
        home.begin(),
        home.end(),
        [&](const std::string& aLeft, const std::string& aRight) {
          return Gap(*place.upstream_, aLeft) < Gap(*place.upstream_, aRight);
        }));
    }
  }
}

void
WeightPlan::RemoveHomes(const std::string& aModel,
                        std::size_t aCount,
                        const Places& aService)
{
  /// Too old to serve a step, models at home there.
  using Rank = std::pair<bool, std::size_t>;
  std::vector<std::pair<Rank, std::set<std::string>*>> homes;
  looks_ += aService.size();
  for (const Place& place : aService) {
    if (place.home_->contains(aModel)) {
      const bool old = Gap(*place.upstream_, aModel) >= kMostBehind;
      homes.emplace_back(Rank{ old, place.home_->size() }, place.home_);
    }
  }
  std::stable_sort(
    homes.begin(), homes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  for (std::size_t i = 0; i < aCount; ++i) {
    homes[i].second->erase(aModel);
  }
}

void
WeightPlan::AssignHomes(const Places& aService)
{
  const std::vector<std::string> models = ModelsOf(aService);
  if (models.empty()) {
    return;
  }
  const std::map<std::string, std::size_t> shares = ShareOut(aService, models);
  const std::map<std::string, std::size_t> before = CountHomes(aService);
  std::size_t homes = 0;
  for (const auto& [model, share] : shares) {
    const std::size_t count = CountOf(before, model);
    if (count > share) {
      RemoveHomes(model, count - share, aService);
    }
    homes += share;
  }
  const std::size_t most = (homes + aService.size() - 1) / aService.size();
  Relieve(most, aService);
  const std::map<std::string, std::size_t> left = CountHomes(aService);
  for (const auto& [model, share] : shares) {
    const std::size_t count = CountOf(left, model);
    if (count < share) {
      AddHomes(model, share - count, most, aService);
    }
  }
}

void
WeightPlan::PlanService(const Places& aService,
                        std::vector<PlannedLoad>& aLoads)
{
  AssignHomes(aService);
  const std::map<std::string, std::size_t> homes = CountHomes(aService);
  std::uint32_t busy = 0;
  std::map<std::string, std::uint32_t> busyOfModel;
  std::map<std::string, double> newest;
  std::vector<std::tuple<std::uint64_t, const PlanUpstream*, std::string>>
    wanted;
  for (const Place& place : aService) {
    const PlanUpstream& upstream = *place.upstream_;
    busy += upstream.busy_ ? 1 : 0;
    for (const std::string& model : *place.home_) {
      const std::uint64_t gap = Gap(upstream, model);
      newest[model] += upstream.busy_ || gap == 0 ? 1 : 0;
      if (upstream.busy_) {
        ++busyOfModel[model];
      } else if (gap > 0) {
        wanted.emplace_back(gap, &upstream, model);
      }
    }
  }
  std::stable_sort(
    wanted.begin(), wanted.end(), [](const auto& aLeft, const auto& aRight) {
      const auto rank = [](const auto& aWanted) {
        const std::uint64_t gap = std::get<0>(aWanted);
        return std::tuple(gap < kMostBehind,
                          std::get<1>(aWanted)->longRuns_,
                          std::numeric_limits<std::uint64_t>::max() - gap);
      };
      return rank(aLeft) < rank(aRight);
    });
  const std::uint32_t atOnce = AtOnce(aService.size());
  std::set<UpstreamId> chosen;
  for (const auto& [gap, upstream, model] : wanted) {
    if (busy >= atOnce) {
      break;
    }
    // The larger half of a model's upstreams goes on serving.
    const std::size_t home = CountOf(homes, model);
    const std::size_t most = std::max<std::size_t>(1, home / 2);
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
    aLoads.push_back({ upstream->id_, model, named_[model].version_ });
  }
  busy_ = busy;
}

std::vector<PlannedLoad>
WeightPlan::Next(const std::vector<PlanUpstream>& aUpstreams)
{
  looks_ = 0;
  std::map<ServiceId, Places> services;
  std::set<UpstreamId> present;
  for (const PlanUpstream& upstream : aUpstreams) {
    services[upstream.service_].push_back({ &upstream, &homes_[upstream.id_] });
    present.insert(upstream.id_);
  }
  std::erase_if(
    homes_, [&](const auto& aHome) { return !present.contains(aHome.first); });
  std::vector<PlannedLoad> loads;
  for (const auto& [service, places] : services) {
    PlanService(places, loads);
  }
  return loads;
}

} // namespace marjoramtally
