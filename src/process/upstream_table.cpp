#include "marjoramtally/process/upstream_table.hpp"

#include <algorithm>

namespace marjoramtally {

UpstreamTable::UpstreamTable(ZoneId aZone,
                             SelectionPolicy aPolicy,
                             std::string aSelf)
  : zone_(std::move(aZone))
  , policy_(aPolicy)
  , self_(std::move(aSelf))
{
}

UpstreamTable::Rank
UpstreamTable::RankOf(const TrackedUpstream& aUpstream)
{
  return { aUpstream.LoadPerSlot(), aUpstream.tieBreak_, aUpstream.entry_.id_ };
}

void
UpstreamTable::AddToRankings(const TrackedUpstream& aUpstream)
{
  const Rank rank = RankOf(aUpstream);
  Service& service = services_[aUpstream.entry_.service_];
  service.ranking_.emplace(rank, &aUpstream);
  for (const auto& [model, version] : aUpstream.versions_) {
    service.models_[model][version].emplace(rank, &aUpstream);
  }
  service.paces_.Add(aUpstream.pace_);
}

void
UpstreamTable::RemoveFromRankings(const TrackedUpstream& aUpstream)
{
  const auto found = services_.find(aUpstream.entry_.service_);
  if (found == services_.end()) {
    return;
  }
  const Rank rank = RankOf(aUpstream);
  Service& service = found->second;
  service.ranking_.erase(rank);
  for (const auto& [model, version] : aUpstream.versions_) {
    auto& versions = service.models_[model];
    versions[version].erase(rank);
    std::erase_if(versions,
                  [](const auto& aVersion) { return aVersion.second.empty(); });
  }
  service.paces_.Remove(aUpstream.pace_);
  if (service.ranking_.empty()) {
    services_.erase(found);
  }
}

const UpstreamTable::Service*
UpstreamTable::FindService(const ServiceId& aService) const
{
  const auto service = services_.find(aService);
  return service == services_.end() ? nullptr : &service->second;
}

EntryEffect
UpstreamTable::OnEntry(UpstreamEntry aEntry)
{
  const auto known = latestStarts_.find(aEntry.id_);
  if (known != latestStarts_.end() && aEntry.start_ < known->second) {
    return EntryEffect::Outdated;
  }
  if (aEntry.start_ != UpstreamStart{}) {
    latestStarts_[aEntry.id_] = aEntry.start_;
  }
  const bool present = upstreams_.contains(aEntry.id_);
  TrackedUpstream& upstream = upstreams_[aEntry.id_];
  if (upstream.removedAt_ != kNever) {
    removed_.erase({ upstream.removedAt_, aEntry.id_ });
  } else if (present && upstream.entry_ == aEntry) {
    return EntryEffect::Current;
  }
  if (present) {
    RemoveFromRankings(upstream);
  }
  const bool restarted = present && upstream.entry_.start_ < aEntry.start_;
  if (restarted) {
    TrackedUpstream fresh;
    fresh.inFlight_ = upstream.inFlight_;
    fresh.lastReceivedAt_ = upstream.lastReceivedAt_;
    fresh.load_ = std::move(upstream.load_);
    fresh.load_.Forget();
    upstream = std::move(fresh);
  }
  upstream.removedAt_ = kNever;
  upstream.tieBreak_ =
    self_.empty() ? 0
                  : std::hash<std::string>{}(self_ + '/' + aEntry.id_.Get());
  for (const ModelVersion& model : aEntry.models_) {
    WeightVersion& newest = upstream.versions_[model.model_];
    newest = std::max(newest, model.version_);
  }
  // A leaving mark is permanent for the incarnation; an older entry does not
  // clear it.
  const bool draining = upstream.entry_.draining_ || aEntry.draining_;
  upstream.entry_ = std::move(aEntry);
  upstream.entry_.draining_ = draining;
  AddToRankings(upstream);
  return restarted ? EntryEffect::Restarted : EntryEffect::Current;
}

void
UpstreamTable::OnRemoved(const UpstreamId& aId, TimePoint aNow)
{
  MarkRemoved(aId, aNow);
  DropExpired(aNow);
}

void
UpstreamTable::MarkRemoved(const UpstreamId& aId, TimePoint aAt)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end() && it->second.removedAt_ == kNever) {
    it->second.removedAt_ = aAt;
    removed_.insert({ aAt, aId });
  }
}

void
UpstreamTable::DropExpired(TimePoint aNow)
{
  for (auto it = removed_.begin();
       it != removed_.end() && aNow - it->first > policy_.removalGrace_;) {
    ++inspected_;
    const auto upstream = upstreams_.find(it->second);
    if (upstream->second.inFlight_ > 0) {
      ++it;
      continue;
    }
    RemoveFromRankings(upstream->second);
    upstreams_.erase(upstream);
    it = removed_.erase(it);
  }
}

std::vector<UpstreamId>
UpstreamTable::OnList(std::vector<UpstreamEntry> aEntries, TimePoint aNow)
{
  std::set<UpstreamId> listed;
  std::vector<UpstreamId> restarted;
  for (UpstreamEntry& entry : aEntries) {
    const UpstreamId id = entry.id_;
    listed.insert(id);
    if (OnEntry(std::move(entry)) == EntryEffect::Restarted) {
      restarted.push_back(id);
    }
  }
  std::vector<UpstreamId> missing;
  for (const auto& [id, upstream] : upstreams_) {
    if (!listed.contains(id) && upstream.removedAt_ == kNever) {
      missing.push_back(id);
    }
  }
  // A list does not tell when an entry was removed. If most are missing, they
  // expired with the store and return soon; a few have left, perhaps before
  // this process could read again.
  const bool expired = missing.size() > listed.size();
  const TimePoint removedAt = expired ? aNow : aNow - policy_.removalGrace_;
  for (const UpstreamId& id : missing) {
    MarkRemoved(id, removedAt);
  }
  DropExpired(aNow);
  return restarted;
}

void
UpstreamTable::OnStart(const UpstreamId& aId, TimePoint aNow)
{
  const auto it = upstreams_.find(aId);
  if (it == upstreams_.end()) {
    return;
  }
  TrackedUpstream& upstream = it->second;
  RemoveFromRankings(upstream);
  if (upstream.inFlight_++ == 0) {
    upstream.lastReceivedAt_ = aNow;
  }
  if (LoadAware(upstream.entry_.service_)) {
    upstream.load_.OnSent(aNow);
  }
  AddToRankings(upstream);
}

void
UpstreamTable::OnReceived(const UpstreamId& aId, TimePoint aNow)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end()) {
    it->second.lastReceivedAt_ = aNow;
  }
}

bool
UpstreamTable::Unresponsive(const TrackedUpstream& aUpstream,
                            TimePoint aNow) const noexcept
{
  const Duration longest =
    std::max(policy_.idleTimeout_, aUpstream.pace_ * policy_.idleTimeoutPaces_);
  return aUpstream.inFlight_ > 0 && aNow - aUpstream.lastReceivedAt_ > longest;
}

void
UpstreamTable::OnEnd(const UpstreamId& aId,
                     CallVerdict aVerdict,
                     TimePoint aNow)
{
  const auto it = upstreams_.find(aId);
  if (it == upstreams_.end()) {
    return;
  }
  TrackedUpstream& upstream = it->second;
  if (upstream.inFlight_ > 0) {
    RemoveFromRankings(upstream);
    --upstream.inFlight_;
    upstream.load_.OnEnded(aNow);
    AddToRankings(upstream);
  }
  if (aVerdict == CallVerdict::Answered || aVerdict == CallVerdict::Full) {
    upstream.lastReceivedAt_ = aNow;
  }
  if (aVerdict == CallVerdict::Answered) {
    upstream.failures_ = 0;
  } else if (aVerdict == CallVerdict::Full) {
    upstream.avoidUntil_ =
      std::max(upstream.avoidUntil_, aNow + policy_.fullBackoff_);
  } else if (aVerdict == CallVerdict::Loading) {
    upstream.avoidUntil_ =
      std::max(upstream.avoidUntil_, aNow + policy_.loadingBackoff_);
  } else if (aVerdict == CallVerdict::Failed) {
    const std::uint32_t doublings = std::min(upstream.failures_, 10U);
    const Duration pause =
      std::min(policy_.initialBackoff_ * (std::int64_t{ 1 } << doublings),
               policy_.maxBackoff_);
    ++upstream.failures_;
    upstream.avoidUntil_ = std::max(upstream.avoidUntil_, aNow + pause);
  }
}

void
UpstreamTable::OnReplaced(const UpstreamId& aId, TimePoint aNow)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end()) {
    it->second.entry_.draining_ = true;
    OnRemoved(aId, aNow);
  }
}

void
UpstreamTable::OnPace(const UpstreamId& aId, Duration aGap)
{
  const auto it = upstreams_.find(aId);
  if (it == upstreams_.end() || aGap > policy_.maxEventGap_) {
    return;
  }
  Duration& pace = it->second.pace_;
  PaceMedian& paces = services_.at(it->second.entry_.service_).paces_;
  paces.Remove(pace);
  if (pace.count() == 0) {
    pace = aGap;
  } else {
    const double change = static_cast<double>((aGap - pace).count());
    pace += Duration{ static_cast<std::int64_t>(change * policy_.paceWeight_) };
  }
  paces.Add(pace);
}

void
UpstreamTable::OnVersion(const UpstreamId& aId,
                         const std::string& aModel,
                         WeightVersion aVersion)
{
  const auto it = upstreams_.find(aId);
  if (it == upstreams_.end()) {
    return;
  }
  TrackedUpstream& upstream = it->second;
  const auto known = upstream.versions_.find(aModel);
  if (known != upstream.versions_.end() && known->second >= aVersion) {
    return;
  }
  RemoveFromRankings(upstream);
  upstream.versions_[aModel] = aVersion;
  AddToRankings(upstream);
}

std::string_view
UpstreamTable::OnLoad(const UpstreamId& aId,
                      const LoadReport& aReport,
                      TimePoint aAt)
{
  const auto it = upstreams_.find(aId);
  if (it == upstreams_.end()) {
    return "unknown upstream";
  }
  const std::string_view fault = CheckLoadReport(aReport);
  if (!fault.empty()) {
    return fault;
  }
  const auto service = services_.find(it->second.entry_.service_);
  if (aReport.slowdown_ && service != services_.end()) {
    service->second.reportsSlowdown_ = true;
  }
  if (LoadAware(it->second.entry_.service_)) {
    it->second.load_.OnReport(aReport, aAt);
  }
  return {};
}

bool
UpstreamTable::LoadAware(const ServiceId& aService) const
{
  if (policy_.loadAware_) {
    return true;
  }
  const Service* service = FindService(aService);
  return service != nullptr && service->reportsSlowdown_;
}

bool
UpstreamTable::Usable(const TrackedUpstream& aUpstream,
                      TimePoint aNow) const noexcept
{
  const bool gone = aUpstream.removedAt_ != kNever &&
                    aNow - aUpstream.removedAt_ >= policy_.removalGrace_;
  return !gone && !aUpstream.entry_.draining_;
}

const TrackedUpstream*
UpstreamTable::Find(const UpstreamId& aId) const
{
  const auto it = upstreams_.find(aId);
  return it == upstreams_.end() ? nullptr : &it->second;
}

} // namespace marjoramtally
