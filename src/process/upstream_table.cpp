#include "marjoramtally/process/upstream_table.hpp"

#include <algorithm>
#include <tuple>

namespace marjoramtally {

namespace {

double
LoadOf(const TrackedUpstream& aUpstream) noexcept
{
  return static_cast<double>(aUpstream.inFlight_) /
         std::max(1U, aUpstream.entry_.slots_);
}

} // namespace

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
  return { LoadOf(aUpstream), aUpstream.tieBreak_, aUpstream.entry_.id_ };
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
  if (present) {
    RemoveFromRankings(upstream);
  }
  const bool restarted = present && upstream.entry_.start_ < aEntry.start_;
  if (restarted) {
    TrackedUpstream fresh;
    fresh.inFlight_ = upstream.inFlight_;
    fresh.lastReceivedAt_ = upstream.lastReceivedAt_;
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
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end() && it->second.removedAt_ == kNever) {
    it->second.removedAt_ = aNow;
  }
  // Drops entries whose grace period has expired and that have no calls in
  // flight.
  std::erase_if(upstreams_, [&](const auto& aEntry) {
    const TrackedUpstream& upstream = aEntry.second;
    const bool forgotten = upstream.removedAt_ != kNever &&
                           upstream.inFlight_ == 0 &&
                           aNow - upstream.removedAt_ > policy_.removalGrace_;
    if (forgotten) {
      RemoveFromRankings(upstream);
    }
    return forgotten;
  });
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
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const UpstreamId& id : missing) {
    OnRemoved(id, aNow);
  }
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

bool
UpstreamTable::Usable(const TrackedUpstream& aUpstream,
                      TimePoint aNow) const noexcept
{
  const bool gone = aUpstream.removedAt_ != kNever &&
                    aNow - aUpstream.removedAt_ >= policy_.removalGrace_;
  return !gone && !aUpstream.entry_.draining_;
}

const TrackedUpstream*
UpstreamTable::Pick(const ServiceId& aService,
                    const std::set<UpstreamId>& aTried,
                    TimePoint aNow) const
{
  const Service* service = FindService(aService);
  if (service == nullptr) {
    return nullptr;
  }
  const TrackedUpstream* best = nullptr;
  std::tuple<bool, bool, bool, double, bool, std::size_t> bestRank;
  for (const auto& [listed, upstream] : service->ranking_) {
    // Stops when no later upstream has a lower load or, at the same load, a
    // better zone.
    const auto& [vanished, avoided, unresponsive, load, far, order] = bestRank;
    if (best != nullptr && !vanished && !avoided && !unresponsive &&
        (!far || std::get<0>(listed) > load)) {
      break;
    }
    ++inspected_;
    if (aTried.contains(upstream->entry_.id_) || !Usable(*upstream, aNow)) {
      continue;
    }
    const std::tuple rank{
      upstream->removedAt_ != kNever,  upstream->avoidUntil_ > aNow,
      Unresponsive(*upstream, aNow),   LoadOf(*upstream),
      upstream->entry_.zone_ != zone_, upstream->tieBreak_
    };
    if (best == nullptr || rank < bestRank) {
      best = upstream;
      bestRank = rank;
    }
  }
  return best;
}

bool
UpstreamTable::Fits(const TrackedUpstream& aUpstream,
                    const ItemNeeds& aNeeds,
                    TimePoint aNow) const
{
  if (aUpstream.entry_.service_ != aNeeds.service_ ||
      aUpstream.entry_.id_ == aNeeds.excluded_ || !Usable(aUpstream, aNow)) {
    return false;
  }
  if (!aNeeds.model_.empty()) {
    const auto version = aUpstream.versions_.find(aNeeds.model_);
    if (version == aUpstream.versions_.end() ||
        version->second < aNeeds.minVersion_) {
      return false;
    }
  }
  return aUpstream.avoidUntil_ <= aNow &&
         aUpstream.inFlight_ < aUpstream.entry_.slots_;
}

const TrackedUpstream*
UpstreamTable::PickForItem(const ItemNeeds& aNeeds, TimePoint aNow) const
{
  const Service* service = FindService(aNeeds.service_);
  if (service == nullptr) {
    return nullptr;
  }
  const Duration median = service->paces_.Get();
  const TrackedUpstream* preferred = Find(aNeeds.preferred_);
  if (preferred != nullptr && Fits(*preferred, aNeeds, aNow) &&
      !SlowerThan(*preferred, median) && !Unresponsive(*preferred, aNow)) {
    return preferred;
  }
  using Penalties = std::tuple<bool, bool, bool>;
  constexpr Penalties kNone{ false, false, false };
  const TrackedUpstream* best = nullptr;
  std::pair<Penalties, Rank> bestRank;
  for (const Ranking* ranking : RankingsFor(aNeeds)) {
    for (const auto& [rank, upstream] : *ranking) {
      if (best != nullptr && bestRank < std::pair(kNone, rank)) {
        break;
      }
      ++inspected_;
      if (!Fits(*upstream, aNeeds, aNow)) {
        continue;
      }
      const Penalties penalties{ upstream->removedAt_ != kNever,
                                 Unresponsive(*upstream, aNow),
                                 SlowerThan(*upstream, median) };
      if (best == nullptr || std::pair(penalties, rank) < bestRank) {
        best = upstream;
        bestRank = { penalties, rank };
      }
    }
  }
  return best;
}

std::vector<const UpstreamTable::Ranking*>
UpstreamTable::RankingsFor(const ItemNeeds& aNeeds) const
{
  const Service* service = FindService(aNeeds.service_);
  if (service == nullptr) {
    return {};
  }
  if (aNeeds.model_.empty()) {
    return { &service->ranking_ };
  }
  std::vector<const Ranking*> rankings;
  const auto model = service->models_.find(aNeeds.model_);
  if (model != service->models_.end()) {
    const auto& versions = model->second;
    for (auto it = versions.lower_bound(aNeeds.minVersion_);
         it != versions.end();
         ++it) {
      rankings.push_back(&it->second);
    }
  }
  return rankings;
}

bool
UpstreamTable::SlowerThan(const TrackedUpstream& aUpstream,
                          Duration aMedian) const noexcept
{
  return static_cast<double>(aUpstream.pace_.count()) >
         policy_.slowFactor_ * static_cast<double>(aMedian.count());
}

bool
UpstreamTable::Slow(const UpstreamId& aId) const
{
  const TrackedUpstream* upstream = Find(aId);
  return upstream != nullptr && upstream->pace_.count() > 0 &&
         SlowerThan(*upstream,
                    services_.at(upstream->entry_.service_).paces_.Get());
}

const TrackedUpstream*
UpstreamTable::Find(const UpstreamId& aId) const
{
  const auto it = upstreams_.find(aId);
  return it == upstreams_.end() ? nullptr : &it->second;
}

} // namespace marjoramtally
