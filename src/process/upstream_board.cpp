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
    return upstream.vanished_ != kNever && upstream.inFlight_ == 0 &&
           aNow - upstream.vanished_ > policy_.vanishGrace_;
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
  if (it != upstreams_.end() && it->second.inFlight_++ == 0) {
    it->second.heard_ = aNow;
  }
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
    --upstream.inFlight_;
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
  if (pace.count() == 0) {
    pace = aGap;
    return;
  }
  const double change = static_cast<double>((aGap - pace).count());
  pace += Duration{ static_cast<std::int64_t>(change * policy_.paceWeight_) };
}

void
UpstreamBoard::OnVersion(const UpstreamId& aId,
                         const std::string& aModel,
                         WeightVersion aVersion)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end()) {
    WeightVersion& known = it->second.versions_[aModel];
    known = std::max(known, aVersion);
  }
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
  const BoardUpstream* best = nullptr;
  std::tuple<bool, bool, bool, double, bool, std::size_t> bestRank;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry_.service_ != aService || aTried.contains(id) ||
        !Usable(upstream, aNow)) {
      continue;
    }
    const bool avoided = upstream.avoidUntil_ > aNow;
    const bool vanished = upstream.vanished_ != kNever;
    const bool far = upstream.entry_.zone_ != zone_;
    const std::tuple rank{ vanished,         avoided, Quiet(upstream, aNow),
                           LoadOf(upstream), far,     upstream.order_ };
    if (best == nullptr || rank < bestRank) {
      best = &upstream;
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
  const BoardUpstream* best = nullptr;
  std::tuple<bool, bool, bool, double, std::size_t> bestRank;
  const Duration median = MedianPace(aNeeds.service_);
  for (const auto& [id, upstream] : upstreams_) {
    if (!Fits(upstream, aNeeds, aNow)) {
      continue;
    }
    const bool slow = SlowerThan(upstream, median);
    const bool quiet = Quiet(upstream, aNow);
    if (id == aNeeds.preferred_ && !slow && !quiet) {
      return &upstream;
    }
    const std::tuple rank{ upstream.vanished_ != kNever,
                           quiet,
                           slow,
                           LoadOf(upstream),
                           upstream.order_ };
    if (best == nullptr || rank < bestRank) {
      best = &upstream;
      bestRank = rank;
    }
  }
  return best;
}

Duration
UpstreamBoard::MedianPace(const ServiceId& aService) const
{
  std::vector<Duration> paces;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry_.service_ == aService && upstream.pace_.count() > 0) {
      paces.push_back(upstream.pace_);
    }
  }
  if (paces.empty()) {
    return Duration{ 0 };
  }
  const auto middle =
    paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
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
         SlowerThan(*upstream, MedianPace(upstream->entry_.service_));
}

const BoardUpstream*
UpstreamBoard::Find(const UpstreamId& aId) const
{
  const auto it = upstreams_.find(aId);
  return it == upstreams_.end() ? nullptr : &it->second;
}

std::vector<const BoardUpstream*>
UpstreamBoard::OfService(const ServiceId& aService) const
{
  std::vector<const BoardUpstream*> found;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry_.service_ == aService) {
      found.push_back(&upstream);
    }
  }
  return found;
}

} // namespace marjoramtally
