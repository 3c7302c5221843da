#include "marjoramtally/process/weight_plan.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <tuple>

namespace marjoramtally {

namespace {

/// An upstream so many versions behind serves no step.
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
WeightPlan::ModelNames(const Members& aMembers)
{
  std::set<std::string> models;
  for (const Member& member : aMembers) {
    for (const auto& [model, version] : member.upstream_->versions_) {
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
WeightPlan::CountReplicas(const Members& aMembers)
{
  std::map<std::string, std::size_t> counts;
  examined_ += aMembers.size();
  for (const Member& member : aMembers) {
    for (const std::string& model : *member.models_) {
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
WeightPlan::UpstreamsForBurst(const Members& aMembers,
                              const std::string& aModel) const
{
  const auto burst = peakDemand_.find(aModel);
  if (burst == peakDemand_.end()) {
    return std::nullopt;
  }
  std::uint64_t slots = 0;
  for (const Member& member : aMembers) {
    slots += member.upstream_->slots_;
  }
  return static_cast<double>(burst->second) *
         static_cast<double>(aMembers.size()) /
         static_cast<double>(std::max<std::uint64_t>(slots, 1));
}

std::map<std::string, std::size_t>
WeightPlan::TargetReplicas(const Members& aMembers,
                           const std::vector<std::string>& aModels)
{
  using Seconds = std::chrono::duration<double>;
  // Versions named a second, each of which half of its homes load.
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
                       ConcurrentLoads(aMembers.size()) /
                       Seconds(policy_.loadTime_).count();
  const auto upstreams = static_cast<double>(aMembers.size());
  const auto models = static_cast<double>(aModels.size());
  const double sustainable = loads / (versions * policy_.newestShare_);
  std::map<std::string, std::size_t> shares;
  for (const std::string& model : aModels) {
    double least = upstreams / models;
    double wanted = policy_.maxReplicasPerUpstream_ * upstreams / models;
    if (const auto burst = UpstreamsForBurst(aMembers, model)) {
      least = std::min(least, *burst);
      wanted = std::min(wanted, policy_.burstHeadroom_ * *burst);
    }
    const double share =
      std::clamp(sustainable, least, std::max(wanted, least));
    shares[model] = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(share)), 1, aMembers.size());
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
WeightPlan::AddReplicas(const std::string& aModel,
                        std::size_t aCount,
                        std::size_t aMaxPerUpstream,
                        const Members& aMembers)
{
  /// More homes than others, versions behind, homes, place in the service.
  using Candidate = std::tuple<bool, std::uint64_t, std::size_t, std::size_t>;
  struct Zone
  {
    std::size_t replicas_ = 0;
    /// The best one last.
    std::vector<Candidate> candidates_;
  };
  std::map<ZoneId, Zone> zones;
  examined_ += aMembers.size();
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    const Member& member = aMembers[i];
    Zone& zone = zones[member.upstream_->zone_];
    if (member.models_->contains(aModel)) {
      ++zone.replicas_;
    } else {
      zone.candidates_.emplace_back(member.models_->size() >= aMaxPerUpstream,
                                    VersionsBehind(*member.upstream_, aModel),
                                    member.models_->size(),
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
    aMembers[std::get<3>(best->candidates_.back())].models_->insert(aModel);
    best->candidates_.pop_back();
    ++best->replicas_;
  }
}

/// The models that are furthest behind go: they are served elsewhere already.
void
WeightPlan::TrimReplicas(std::size_t aMaxPerUpstream, const Members& aMembers)
{
  for (const Member& member : aMembers) {
    std::set<std::string>& home = *member.models_;
    while (home.size() > aMaxPerUpstream) {
      home.erase(std::max_element(
        home.begin(),
        home.end(),
        [&](const std::string& aLeft, const std::string& aRight) {
          return VersionsBehind(*member.upstream_, aLeft) <
                 VersionsBehind(*member.upstream_, aRight);
        }));
    }
  }
}

void
WeightPlan::RemoveReplicas(const std::string& aModel,
                           std::size_t aCount,
                           const Members& aMembers)
{
  /// Too old to serve a step, models at home there.
  using Rank = std::pair<bool, std::size_t>;
  std::vector<std::pair<Rank, std::set<std::string>*>> replicas;
  examined_ += aMembers.size();
  for (const Member& member : aMembers) {
    if (member.models_->contains(aModel)) {
      const bool old =
        VersionsBehind(*member.upstream_, aModel) >= kUnusableGap;
      replicas.emplace_back(Rank{ old, member.models_->size() },
                            member.models_);
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
WeightPlan::AssignReplicas(const Members& aMembers)
{
  const std::vector<std::string> models = ModelNames(aMembers);
  if (models.empty()) {
    return;
  }
  const std::map<std::string, std::size_t> shares =
    TargetReplicas(aMembers, models);
  const std::map<std::string, std::size_t> before = CountReplicas(aMembers);
  std::size_t replicas = 0;
  for (const auto& [model, share] : shares) {
    const std::size_t count = CountOf(before, model);
    if (count > share) {
      RemoveReplicas(model, count - share, aMembers);
    }
    replicas += share;
  }
  const std::size_t most = (replicas + aMembers.size() - 1) / aMembers.size();
  TrimReplicas(most, aMembers);
  const std::map<std::string, std::size_t> left = CountReplicas(aMembers);
  for (const auto& [model, share] : shares) {
    const std::size_t count = CountOf(left, model);
    if (count < share) {
      AddReplicas(model, share - count, most, aMembers);
    }
  }
}

void
WeightPlan::PlanService(const Members& aMembers,
                        std::vector<PlannedLoad>& aLoads)
{
  AssignReplicas(aMembers);
  const std::map<std::string, std::size_t> replicas = CountReplicas(aMembers);
  std::uint32_t busy = 0;
  std::map<std::string, std::uint32_t> busyOfModel;
  std::map<std::string, double> newest;
  std::vector<std::tuple<std::uint64_t, const PlanUpstream*, std::string>>
    wanted;
  for (const Member& member : aMembers) {
    const PlanUpstream& upstream = *member.upstream_;
    busy += upstream.busy_ ? 1 : 0;
    for (const std::string& model : *member.models_) {
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
  const std::uint32_t atOnce = ConcurrentLoads(aMembers.size());
  std::set<UpstreamId> chosen;
  for (const auto& [gap, upstream, model] : wanted) {
    if (busy >= atOnce) {
      break;
    }
    // The larger half of a model's upstreams goes on serving.
    const std::size_t home = CountOf(replicas, model);
    const std::size_t most = std::max<std::size_t>(1, home / 2);
    const bool enough =
      newest[model] >= policy_.newestShare_ * static_cast<double>(home);
    if (gap < kUnusableGap && enough) {
      continue;
    }
    if (busyOfModel[model] >= most || !chosen.insert(upstream->id_).second) {
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
  std::map<ServiceId, Members> services;
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
  for (const auto& [service, members] : services) {
    PlanService(members, loads);
  }
  return loads;
}

} // namespace marjoramtally
