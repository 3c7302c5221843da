#include "marjoramtally/process/weight_plan.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <tuple>

namespace marjoramtally {

namespace {

/// An upstream this many versions behind cannot serve a step.
constexpr std::uint64_t kUnusableGap = 2;

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
  , limit_(aPolicy.minConcurrentLoads_)
{
}

void
WeightPlan::OnVersionAnnounced(const std::string& aModel,
                               WeightVersion aVersion,
                               TimePoint aNow)
{
  const auto [it, first] = latest_.try_emplace(
    aModel, LatestVersion{ aVersion, aNow, policy_.initialVersionPeriod_ });
  LatestVersion& latest = it->second;
  if (first || aVersion <= latest.version_) {
    return;
  }
  const auto steps =
    static_cast<std::int64_t>(aVersion.Get() - latest.version_.Get());
  const Duration change = (aNow - latest.at_) / steps - latest.period_;
  latest.period_ += Duration{ static_cast<std::int64_t>(
    static_cast<double>(change.count()) * policy_.periodSmoothing_) };
  latest.version_ = aVersion;
  latest.at_ = aNow;
}

std::vector<std::string>
WeightPlan::ModelNames(const ServiceUpstreams& aService)
{
  std::set<std::string> models;
  for (const ServiceUpstream& entry : aService) {
    for (const auto& [model, version] : entry.upstream_->versions_) {
      models.insert(model);
    }
  }
  return { models.begin(), models.end() };
}

std::string
WeightPlan::FirstModelAt(const UpstreamId& aUpstream) const
{
  const auto it = replicas_.find(aUpstream);
  return it == replicas_.end() || it->second.empty() ? std::string()
                                                     : *it->second.begin();
}

std::size_t
WeightPlan::CountModelsAt(const UpstreamId& aUpstream) const
{
  const auto it = replicas_.find(aUpstream);
  return it == replicas_.end() ? 0 : it->second.size();
}

std::uint64_t
WeightPlan::VersionsBehind(const PlanUpstream& aUpstream,
                           const std::string& aModel) const
{
  const auto latest = latest_.find(aModel);
  const auto held = aUpstream.versions_.find(aModel);
  if (latest == latest_.end() || held == aUpstream.versions_.end() ||
      held->second >= latest->second.version_) {
    return 0;
  }
  return latest->second.version_.Get() - held->second.Get();
}

std::map<std::string, std::size_t>
WeightPlan::CountReplicas(const ServiceUpstreams& aService)
{
  std::map<std::string, std::size_t> counts;
  examined_ += aService.size();
  for (const ServiceUpstream& entry : aService) {
    for (const std::string& model : *entry.models_) {
      ++counts[model];
    }
  }
  return counts;
}

std::uint32_t
WeightPlan::ConcurrentLoads(std::size_t aUpstreams)
{
  return limit_.LimitFor(static_cast<std::uint32_t>(aUpstreams) /
                         policy_.upstreamsPerLoad_);
}

void
WeightPlan::OnDemand(const std::string& aModel,
                     std::uint64_t aSlots,
                     TimePoint aNow)
{
  PeakDemand& demand =
    demand_.try_emplace(aModel, policy_.demandWindow_).first->second;
  demand.OnDemand(aSlots, aNow);
  peakDemand_[aModel] = demand.At(aNow);
}

void
WeightPlan::OnBurst(const std::string& aModel, std::uint64_t aSlots)
{
  bursts_[aModel] = aSlots;
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

double
WeightPlan::UpstreamsFor(std::uint64_t aSlots, const ServiceUpstreams& aService)
{
  std::uint64_t slots = 0;
  for (const ServiceUpstream& entry : aService) {
    slots += entry.upstream_->slots_;
  }
  return static_cast<double>(aSlots) * static_cast<double>(aService.size()) /
         static_cast<double>(std::max<std::uint64_t>(slots, 1));
}

std::optional<double>
WeightPlan::UpstreamsForBurst(const ServiceUpstreams& aService,
                              const std::string& aModel) const
{
  const auto burst = peakDemand_.find(aModel);
  if (burst == peakDemand_.end()) {
    return std::nullopt;
  }
  return UpstreamsFor(burst->second, aService);
}

double
WeightPlan::NewestWanted(const ServiceUpstreams& aService,
                         const std::string& aModel,
                         std::size_t aReplicas) const
{
  const double share = policy_.newestShare_ * static_cast<double>(aReplicas);
  const auto burst = bursts_.find(aModel);
  return burst == bursts_.end()
           ? share
           : std::min(share,
                      policy_.newestShare_ * policy_.burstHeadroom_ *
                        UpstreamsFor(burst->second, aService));
}

std::map<std::string, std::size_t>
WeightPlan::TargetReplicas(const ServiceUpstreams& aService,
                           const std::vector<std::string>& aModels)
{
  using Seconds = std::chrono::duration<double>;
  // Versions per second; half of the replicas load each one.
  double versions = 0;
  for (const std::string& model : aModels) {
    const auto latest = latest_.find(model);
    const Duration period = latest == latest_.end()
                              ? policy_.initialVersionPeriod_
                              : latest->second.period_;
    versions += 1.0 / std::max(Seconds(period).count(),
                               Seconds(policy_.loadTime_).count());
  }
  const double loads = policy_.loadUtilization_ *
                       ConcurrentLoads(aService.size()) /
                       Seconds(policy_.loadTime_).count();
  const auto upstreams = static_cast<double>(aService.size());
  const auto models = static_cast<double>(aModels.size());
  const double sustainable = loads / (versions * policy_.newestShare_);
  std::map<std::string, std::size_t> targets;
  for (const std::string& model : aModels) {
    double minReplicas = upstreams / models;
    double maxReplicas = policy_.maxReplicasPerUpstream_ * upstreams / models;
    if (const auto burst = UpstreamsForBurst(aService, model)) {
      minReplicas = std::min(minReplicas, *burst);
      maxReplicas = std::min(maxReplicas, policy_.burstHeadroom_ * *burst);
    }
    const double target =
      std::clamp(sustainable, minReplicas, std::max(maxReplicas, minReplicas));
    targets[model] = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(target)), 1, aService.size());
  }
  return targets;
}

/// Prefers upstreams with the smallest version gap: under the previous holder
/// they were replicas of the model. Then spreads the replicas of a model over
/// the zones, so that the loss of a zone leaves some.
///
/// While replicas are added, only the number of replicas per zone changes, so
/// the candidates of each zone are sorted once.
void
WeightPlan::AddReplicas(const std::string& aModel,
                        std::size_t aCount,
                        std::size_t aMaxPerUpstream,
                        const ServiceUpstreams& aService)
{
  /// Whether it has the maximum number of models, versions behind, number of
  /// models, index in the service.
  using Candidate = std::tuple<bool, std::uint64_t, std::size_t, std::size_t>;
  struct Zone
  {
    std::size_t replicas_ = 0;
    /// Best candidate last.
    std::vector<Candidate> candidates_;
  };
  std::map<ZoneId, Zone> zones;
  examined_ += aService.size();
  for (std::size_t i = 0; i < aService.size(); ++i) {
    const ServiceUpstream& entry = aService[i];
    Zone& zone = zones[entry.upstream_->zone_];
    if (entry.models_->contains(aModel)) {
      ++zone.replicas_;
    } else {
      zone.candidates_.emplace_back(entry.models_->size() >= aMaxPerUpstream,
                                    VersionsBehind(*entry.upstream_, aModel),
                                    entry.models_->size(),
                                    i);
    }
  }
  for (auto& [id, zone] : zones) {
    std::sort(
      zone.candidates_.begin(), zone.candidates_.end(), std::greater<>());
  }
  const auto rank = [](const Zone& aZone) {
    const auto& [over, gap, replicas, index] = aZone.candidates_.back();
    return std::tuple(over, gap, replicas, aZone.replicas_, index);
  };
  for (std::size_t i = 0; i < aCount; ++i) {
    examined_ += zones.size();
    Zone* best = nullptr;
    for (auto& [id, zone] : zones) {
      if (!zone.candidates_.empty() &&
          (best == nullptr || rank(zone) < rank(*best))) {
        best = &zone;
      }
    }
    aService[std::get<3>(best->candidates_.back())].models_->insert(aModel);
    best->candidates_.pop_back();
    ++best->replicas_;
  }
}

/// Removes the models that are furthest behind, because other upstreams serve
/// them already.
void
WeightPlan::TrimReplicas(std::size_t aMaxPerUpstream,
                         const ServiceUpstreams& aService)
{
  for (const ServiceUpstream& entry : aService) {
    std::set<std::string>& assigned = *entry.models_;
    while (assigned.size() > aMaxPerUpstream) {
      assigned.erase(std::max_element(
        assigned.begin(),
        assigned.end(),
        [&](const std::string& aLeft, const std::string& aRight) {
          return VersionsBehind(*entry.upstream_, aLeft) <
                 VersionsBehind(*entry.upstream_, aRight);
        }));
    }
  }
}

void
WeightPlan::RemoveReplicas(const std::string& aModel,
                           std::size_t aCount,
                           const ServiceUpstreams& aService)
{
  /// Whether too old to serve a step, number of models.
  using Rank = std::pair<bool, std::size_t>;
  std::vector<std::pair<Rank, std::set<std::string>*>> replicas;
  examined_ += aService.size();
  for (const ServiceUpstream& entry : aService) {
    if (entry.models_->contains(aModel)) {
      const bool old = VersionsBehind(*entry.upstream_, aModel) >= kUnusableGap;
      replicas.emplace_back(Rank{ old, entry.models_->size() }, entry.models_);
    }
  }
  std::stable_sort(replicas.begin(),
                   replicas.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.first > aRight.first;
                   });
  for (std::size_t i = 0; i < aCount; ++i) {
    replicas[i].second->erase(aModel);
  }
}

void
WeightPlan::AssignReplicas(const ServiceUpstreams& aService)
{
  const std::vector<std::string> models = ModelNames(aService);
  if (models.empty()) {
    return;
  }
  const std::map<std::string, std::size_t> targets =
    TargetReplicas(aService, models);
  const std::map<std::string, std::size_t> before = CountReplicas(aService);
  std::size_t replicas = 0;
  for (const auto& [model, target] : targets) {
    const std::size_t count = CountOf(before, model);
    if (count > target) {
      RemoveReplicas(model, count - target, aService);
    }
    replicas += target;
  }
  const std::size_t maxPerUpstream =
    (replicas + aService.size() - 1) / aService.size();
  TrimReplicas(maxPerUpstream, aService);
  const std::map<std::string, std::size_t> after = CountReplicas(aService);
  for (const auto& [model, target] : targets) {
    const std::size_t count = CountOf(after, model);
    if (count < target) {
      AddReplicas(model, target - count, maxPerUpstream, aService);
    }
  }
}

void
WeightPlan::PlanService(const ServiceUpstreams& aService,
                        std::vector<PlannedLoad>& aLoads)
{
  AssignReplicas(aService);
  const std::map<std::string, std::size_t> replicas = CountReplicas(aService);
  std::uint32_t busy = 0;
  std::map<std::string, std::uint32_t> busyOfModel;
  std::map<std::string, double> newest;
  std::vector<std::tuple<std::uint64_t, const PlanUpstream*, std::string>>
    wanted;
  for (const ServiceUpstream& entry : aService) {
    const PlanUpstream& upstream = *entry.upstream_;
    busy += upstream.busy_ ? 1 : 0;
    for (const std::string& model : *entry.models_) {
      const std::uint64_t gap = VersionsBehind(upstream, model);
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
        return std::tuple(gap < kUnusableGap,
                          std::get<1>(aWanted)->longRuns_,
                          std::numeric_limits<std::uint64_t>::max() - gap);
      };
      return rank(aLeft) < rank(aRight);
    });
  std::map<std::string, double> newestWanted;
  for (const auto& [model, count] : replicas) {
    newestWanted[model] = NewestWanted(aService, model, count);
  }
  const std::uint32_t maxLoads = ConcurrentLoads(aService.size());
  std::set<UpstreamId> chosen;
  for (const auto& [gap, upstream, model] : wanted) {
    if (busy >= maxLoads) {
      break;
    }
    // At least half of a model's replicas keep serving, unless there is only
    // one.
    const std::size_t count = CountOf(replicas, model);
    const std::size_t maxBusy = std::max<std::size_t>(1, count / 2);
    const bool enough = newest[model] >= newestWanted[model];
    if (enough && (gap < kUnusableGap || bursts_.contains(model))) {
      continue;
    }
    if (busyOfModel[model] >= maxBusy || !chosen.insert(upstream->id_).second) {
      continue;
    }
    ++busy;
    ++busyOfModel[model];
    newest[model] += 1;
    aLoads.push_back({ upstream->id_, model, latest_[model].version_ });
  }
  busy_ = busy;
}

std::vector<PlannedLoad>
WeightPlan::Next(const std::vector<PlanUpstream>& aUpstreams)
{
  examined_ = 0;
  std::map<ServiceId, ServiceUpstreams> services;
  std::set<UpstreamId> present;
  for (const PlanUpstream& upstream : aUpstreams) {
    services[upstream.service_].push_back(
      { &upstream, &replicas_[upstream.id_] });
    present.insert(upstream.id_);
  }
  std::erase_if(replicas_, [&](const auto& aEntry) {
    return !present.contains(aEntry.first);
  });
  std::vector<PlannedLoad> loads;
  for (const auto& [service, upstreams] : services) {
    PlanService(upstreams, loads);
  }
  return loads;
}

} // namespace marjoramtally
