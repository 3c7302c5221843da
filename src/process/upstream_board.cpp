#include "marjoramtally/process/upstream_board.hpp"

#include <algorithm>
#include <tuple>

namespace marjoramtally {

namespace {

double
LoadOf(const BoardUpstream& aUpstream) noexcept
{
  return static_cast<double>(aUpstream.inFlight_) /
         std::max(1U, aUpstream.entry_.slots_);
}

} // namespace

UpstreamBoard::UpstreamBoard(ZoneId aZone,
                             BoardPolicy aPolicy,
                             std::string aSelf)
  : zone_(std::move(aZone))
  , policy_(aPolicy)
  , self_(std::move(aSelf))
{
}

UpstreamBoard::Rank
UpstreamBoard::RankOf(const BoardUpstream& aUpstream)
{
  return { LoadOf(aUpstream), aUpstream.order_, aUpstream.entry_.id_ };
}

void
UpstreamBoard::List(const BoardUpstream& aUpstream)
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
UpstreamBoard::Unlist(const BoardUpstream& aUpstream)
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

const UpstreamBoard::Service*
UpstreamBoard::FindService(const ServiceId& aService) const
{
  const auto service = services_.find(aService);
  return service == services_.end() ? nullptr : &service->second;
}

EntryEffect
UpstreamBoard::OnEntry(UpstreamEntry aEntry)
{
  const auto known = starts_.find(aEntry.id_);
  if (known != starts_.end() && aEntry.start_ < known->second) {
    return EntryEffect::Outdated;
  }
  if (aEntry.start_ != UpstreamStart{}) {
    starts_[aEntry.id_] = aEntry.start_;
  }
  const bool present = upstreams_.contains(aEntry.id_);
  BoardUpstream& upstream = upstreams_[aEntry.id_];
  if (present) {
    Unlist(upstream);
  }
  const bool restarted = present && upstream.entry_.start_ < aEntry.start_;
  if (restarted) {
    BoardUpstream fresh;
    fresh.inFlight_ = upstream.inFlight_;
    fresh.heard_ = upstream.heard_;
    upstream = std::move(fresh);
  }
  upstream.vanished_ = kNever;
  upstream.order_ =
    self_.empty() ? 0
                  : std::hash<std::string>{}(self_ + '/' + aEntry.id_.Get());
  for (const ModelVersion& model : aEntry.models_) {
    WeightVersion& newest = upstream.versions_[model.model_];
    newest = std::max(newest, model.version_);
  }
  // A leaving mark holds for the incarnation, also against an older entry.
  const bool draining = upstream.entry_.draining_ || aEntry.draining_;
  upstream.entry_ = std::move(aEntry);
  upstream.entry_.draining_ = draining;
  List(upstream);
  return restarted ? EntryEffect::Restarted : EntryEffect::Current;
}

void
UpstreamBoard::OnVanished(const UpstreamId& aId, TimePoint aNow)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end() && it->second.vanished_ == kNever) {
    it->second.vanished_ = aNow;
  }
  // What vanished long ago and has nothing in flight is forgotten.
  std::erase_if(upstreams_, [&](const auto& aEntry) {
    const BoardUpstream& upstream = aEntry.second;
    const bool forgotten = upstream.vanished_ != kNever &&
                           upstream.inFlight_ == 0 &&
                           aNow - upstream.vanished_ > policy_.vanishGrace_;
    if (forgotten) {
      Unlist(upstream);
    }
    return forgotten;
  });
}

std::vector<UpstreamId>
UpstreamBoard::OnList(std::vector<UpstreamEntry> aEntries, TimePoint aNow)
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
    OnVanished(id, aNow);
  }
  return restarted;
}

void
UpstreamBoard::OnStart(const UpstreamId& aId, TimePoint aNow)
{
  const auto it = upstreams_.find(aId);
  if (it == upstreams_.end()) {
    return;
  }
  BoardUpstream& upstream = it->second;
  Unlist(upstream);
  if (upstream.inFlight_++ == 0) {
    upstream.heard_ = aNow;
  }
  List(upstream);
}

void
UpstreamBoard::OnHeard(const UpstreamId& aId, TimePoint aNow)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end()) {
    it->second.heard_ = aNow;
  }
}

bool
UpstreamBoard::Quiet(const BoardUpstream& aUpstream,
                     TimePoint aNow) const noexcept
{
  const Duration longest =
    std::max(policy_.quietTime_, aUpstream.pace_ * policy_.quietPaces_);
  return aUpstream.inFlight_ > 0 && aNow - aUpstream.heard_ > longest;
}

void
UpstreamBoard::OnEnd(const UpstreamId& aId,
                     CallVerdict aVerdict,
                     TimePoint aNow)
{
  const auto it = upstreams_.find(aId);
  if (it == upstreams_.end()) {
    return;
  }
  BoardUpstream& upstream = it->second;
  if (upstream.inFlight_ > 0) {
    Unlist(upstream);
    --upstream.inFlight_;
    List(upstream);
  }
  if (aVerdict == CallVerdict::Answered || aVerdict == CallVerdict::Full) {
    upstream.heard_ = aNow;
  }
  if (aVerdict == CallVerdict::Answered) {
    upstream.failures_ = 0;
  } else if (aVerdict == CallVerdict::Full) {
    upstream.avoidUntil_ =
      std::max(upstream.avoidUntil_, aNow + policy_.fullPause_);
  } else if (aVerdict == CallVerdict::Loading) {
    upstream.avoidUntil_ =
      std::max(upstream.avoidUntil_, aNow + policy_.loadPause_);
  } else if (aVerdict == CallVerdict::Failed) {
    const std::uint32_t doublings = std::min(upstream.failures_, 10U);
    const Duration pause =
      std::min(policy_.avoidFirst_ * (std::int64_t{ 1 } << doublings),
               policy_.avoidLongest_);
    ++upstream.failures_;
    upstream.avoidUntil_ = std::max(upstream.avoidUntil_, aNow + pause);
  }
}

void
UpstreamBoard::OnReplaced(const UpstreamId& aId, TimePoint aNow)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end()) {
    it->second.entry_.draining_ = true;
    OnVanished(aId, aNow);
  }
}

void
UpstreamBoard::OnPace(const UpstreamId& aId, Duration aGap)
{
  const auto it = upstreams_.find(aId);
  if (it == upstreams_.end() || aGap > policy_.longestGap_) {
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
UpstreamBoard::OnVersion(const UpstreamId& aId,
                         const std::string& aModel,
                         WeightVersion aVersion)
{
  const auto it = upstreams_.find(aId);
  if (it == upstreams_.end()) {
    return;
  }
  BoardUpstream& upstream = it->second;
  const auto known = upstream.versions_.find(aModel);
  if (known != upstream.versions_.end() && known->second >= aVersion) {
    return;
  }
  Unlist(upstream);
  upstream.versions_[aModel] = aVersion;
  List(upstream);
}

bool
UpstreamBoard::Usable(const BoardUpstream& aUpstream,
                      TimePoint aNow) const noexcept
{
  const bool gone = aUpstream.vanished_ != kNever &&
                    aNow - aUpstream.vanished_ >= policy_.vanishGrace_;
  return !gone && !aUpstream.entry_.draining_;
}

const BoardUpstream*
UpstreamBoard::Pick(const ServiceId& aService,
                    const std::set<UpstreamId>& aTried,
                    TimePoint aNow) const
{
  const Service* service = FindService(aService);
  if (service == nullptr) {
    return nullptr;
  }
  const BoardUpstream* best = nullptr;
  std::tuple<bool, bool, bool, double, bool, std::size_t> bestRank;
  for (const auto& [listed, upstream] : service->ranking_) {
    // None that follows has less in flight or lies nearer.
    const auto& [vanished, avoided, quiet, load, far, order] = bestRank;
    if (best != nullptr && !vanished && !avoided && !quiet &&
        (!far || std::get<0>(listed) > load)) {
      break;
    }
    ++looks_;
    if (aTried.contains(upstream->entry_.id_) || !Usable(*upstream, aNow)) {
      continue;
    }
    const std::tuple rank{
      upstream->vanished_ != kNever,   upstream->avoidUntil_ > aNow,
      Quiet(*upstream, aNow),          LoadOf(*upstream),
      upstream->entry_.zone_ != zone_, upstream->order_
    };
    if (best == nullptr || rank < bestRank) {
      best = upstream;
      bestRank = rank;
    }
  }
  return best;
}

bool
UpstreamBoard::Fits(const BoardUpstream& aUpstream,
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

const BoardUpstream*
UpstreamBoard::PickForItem(const ItemNeeds& aNeeds, TimePoint aNow) const
{
  const Service* service = FindService(aNeeds.service_);
  if (service == nullptr) {
    return nullptr;
  }
  const Duration median = service->paces_.Get();
  const BoardUpstream* preferred = Find(aNeeds.preferred_);
  if (preferred != nullptr && Fits(*preferred, aNeeds, aNow) &&
      !SlowerThan(*preferred, median) && !Quiet(*preferred, aNow)) {
    return preferred;
  }
  using Faults = std::tuple<bool, bool, bool>;
  constexpr Faults kNone{ false, false, false };
  const BoardUpstream* best = nullptr;
  std::pair<Faults, Rank> bestRank;
  for (const Ranking* ranking : RankingsFor(aNeeds)) {
    for (const auto& [rank, upstream] : *ranking) {
      if (best != nullptr && bestRank < std::pair(kNone, rank)) {
        break;
      }
      ++looks_;
      if (!Fits(*upstream, aNeeds, aNow)) {
        continue;
      }
      const Faults faults{ upstream->vanished_ != kNever,
                           Quiet(*upstream, aNow),
                           SlowerThan(*upstream, median) };
      if (best == nullptr || std::pair(faults, rank) < bestRank) {
        best = upstream;
        bestRank = { faults, rank };
      }
    }
  }
  return best;
}

std::vector<const UpstreamBoard::Ranking*>
UpstreamBoard::RankingsFor(const ItemNeeds& aNeeds) const
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
UpstreamBoard::SlowerThan(const BoardUpstream& aUpstream,
                          Duration aMedian) const noexcept
{
  return static_cast<double>(aUpstream.pace_.count()) >
         policy_.slowFactor_ * static_cast<double>(aMedian.count());
}

bool
UpstreamBoard::Slow(const UpstreamId& aId) const
{
  const BoardUpstream* upstream = Find(aId);
  return upstream != nullptr && upstream->pace_.count() > 0 &&
         SlowerThan(*upstream,
                    services_.at(upstream->entry_.service_).paces_.Get());
}

const BoardUpstream*
UpstreamBoard::Find(const UpstreamId& aId) const
{
  const auto it = upstreams_.find(aId);
  return it == upstreams_.end() ? nullptr : &it->second;
}

} // namespace marjoramtally
