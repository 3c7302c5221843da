#include "marjoramtally/process/caller_limits.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace marjoramtally {

namespace {

/// Share of a machine's memory that callers may fill. The rest is for the
/// process itself, its jobs and what the allocator cannot use.
constexpr std::uint64_t kMemoryPercent = 60;
constexpr std::uint64_t kSmallPercent = 25;
constexpr std::uint64_t kPercent = 100;
/// Descriptors for files.
constexpr std::uint64_t kFileDescriptors = 200;
/// Of the others, calls to upstreams and peers need as many as callers.
constexpr std::uint64_t kDescriptorUsers = 2;
/// On machines with very few descriptors.
constexpr std::uint64_t kMinConnections = 16;
/// Part of the small share that connections may take without any request.
constexpr std::uint64_t kConnectionShare = 2;

// Ranks in the order of eviction.
constexpr int kUnserved = 0;
constexpr int kIdle = 1;
constexpr int kUnfinished = 2;
constexpr int kUnread = 3;
constexpr int kStays = 4;

} // namespace

CallerShares
CallerSharesOf(std::uint64_t aMemoryBytes, std::uint64_t aDescriptors) noexcept
{
  const std::uint64_t memory = aMemoryBytes / kPercent * kMemoryPercent;
  CallerShares shares;
  shares.smallBytes_ = memory / kPercent * kSmallPercent;
  shares.largeBytes_ = memory - shares.smallBytes_;
  const std::uint64_t sockets =
    aDescriptors - std::min(aDescriptors, kFileDescriptors);
  const std::uint64_t byMemory =
    shares.smallBytes_ / kConnectionShare / CallerLimits::kConnectionBytes;
  shares.connections_ = static_cast<std::size_t>(
    std::max(std::min(sockets / kDescriptorUsers, byMemory), kMinConnections));
  return shares;
}

std::string_view
NameOf(EvictionCause aCause) noexcept
{
  constexpr std::array<std::string_view, 4> kNames{
    "memory", "descriptors", "header_timeout", "idle_timeout"
  };
  return kNames.at(static_cast<std::size_t>(aCause));
}

std::uint64_t
CallerLimits::SmallPart(const Caller& aCaller) noexcept
{
  return kConnectionBytes +
         std::min(aCaller.request_ + aCaller.response_, kSmallBytes);
}

std::uint64_t
CallerLimits::LargePart(const Caller& aCaller) noexcept
{
  const std::uint64_t held = aCaller.request_ + aCaller.response_;
  return held - std::min(held, kSmallBytes);
}

CallerLimits::Place
CallerLimits::PlaceOf(CallerId aId, const Caller& aCaller) noexcept
{
  switch (aCaller.phase_) {
    case Phase::Idle:
    case Phase::Head:
      return { aCaller.served_ ? kIdle : kUnserved, aCaller.idleSince_, aId };
    case Phase::Body: {
      const auto paid =
        std::chrono::seconds(1) * aCaller.request_ / kPaceBytesPerSecond;
      return { kUnfinished,
               std::min(aCaller.requestAt_ + kPaceGrace +
                          std::chrono::duration_cast<Duration>(paid),
                        aCaller.progressAt_ + kStallTime),
               aId };
    }
    case Phase::Running:
      break;
  }
  return { aCaller.response_ > 0 ? kUnread : kStays,
           aCaller.progressAt_ + kStallTime,
           aId };
}

bool
CallerLimits::IsDue(const Place& aPlace, TimePoint aNow) noexcept
{
  return aPlace.rank_ < kUnfinished || aPlace.time_ <= aNow;
}

void
CallerLimits::Remove(CallerId aId, const Caller& aCaller)
{
  const Place place = PlaceOf(aId, aCaller);
  order_.erase(place);
  largeOrder_.erase(place);
  small_ -= SmallPart(aCaller);
  large_ -= LargePart(aCaller);
}

void
CallerLimits::Insert(CallerId aId, const Caller& aCaller)
{
  const Place place = PlaceOf(aId, aCaller);
  if (place.rank_ != kStays) {
    order_.insert(place);
    if (LargePart(aCaller) > 0) {
      largeOrder_.insert(place);
    }
  }
  small_ += SmallPart(aCaller);
  large_ += LargePart(aCaller);
}

template<typename Change>
void
CallerLimits::Update(CallerId aId, Change aChange)
{
  const auto it = callers_.find(aId);
  if (it == callers_.end()) {
    return;
  }
  Remove(aId, it->second);
  aChange(it->second);
  Insert(aId, it->second);
}

template<typename Change>
bool
CallerLimits::Grow(CallerId aId, TimePoint aNow, Change aChange)
{
  const auto it = callers_.find(aId);
  if (it == callers_.end()) {
    return false;
  }
  Caller grown = it->second;
  aChange(grown);
  // While it is out of the orders, the connection does not give way to itself.
  Remove(aId, it->second);
  const bool room = MakeSmallRoom(SmallPart(grown), aNow) &&
                    MakeLargeRoom(LargePart(grown), aNow);
  if (room) {
    it->second = grown;
  }
  Insert(aId, it->second);
  return room;
}

bool
CallerLimits::MakeSmallRoom(std::uint64_t aBytes, TimePoint aNow)
{
  while (small_ + aBytes > shares_.smallBytes_) {
    if (order_.empty() || !IsDue(*order_.begin(), aNow)) {
      return false;
    }
    Evict(order_.begin()->caller_, EvictionCause::Memory);
  }
  return true;
}

bool
CallerLimits::MakeLargeRoom(std::uint64_t aBytes, TimePoint aNow)
{
  while (aBytes > 0 && large_ + reserved_ + aBytes > shares_.largeBytes_) {
    if (largeOrder_.empty() || !IsDue(*largeOrder_.begin(), aNow)) {
      return false;
    }
    Evict(largeOrder_.begin()->caller_, EvictionCause::Memory);
  }
  return true;
}

void
CallerLimits::Evict(CallerId aId, EvictionCause aCause)
{
  const auto it = callers_.find(aId);
  Caller& caller = it->second;
  Remove(aId, caller);
  const bool refuse =
    caller.phase_ == Phase::Body && aCause == EvictionCause::Memory;
  evictions_.push_back({ aId, aCause, refuse });
  if (!refuse) {
    callers_.erase(it);
    return;
  }
  caller.phase_ = Phase::Running;
  caller.request_ = 0;
  Insert(aId, caller);
}

bool
CallerLimits::OnOpened(CallerId aCaller, TimePoint aNow)
{
  while (callers_.size() >= shares_.connections_) {
    if (order_.empty() || !IsDue(*order_.begin(), aNow)) {
      return false;
    }
    // A refused request would keep its connection.
    Evict(order_.begin()->caller_, EvictionCause::Descriptors);
  }
  Caller caller;
  caller.idleSince_ = aNow;
  caller.progressAt_ = aNow;
  if (!MakeSmallRoom(SmallPart(caller), aNow)) {
    return false;
  }
  callers_.emplace(aCaller, caller);
  Insert(aCaller, caller);
  return true;
}

void
CallerLimits::OnClosed(CallerId aCaller)
{
  const auto it = callers_.find(aCaller);
  if (it != callers_.end()) {
    Remove(aCaller, it->second);
    callers_.erase(it);
  }
}

bool
CallerLimits::OnHead(CallerId aCaller, std::uint64_t aHeld, TimePoint aNow)
{
  return Grow(aCaller, aNow, [aHeld, aNow](Caller& aGrown) {
    if (aGrown.phase_ != Phase::Head) {
      aGrown.phase_ = Phase::Head;
      aGrown.requestAt_ = aNow;
    }
    aGrown.request_ = aHeld;
  });
}

bool
CallerLimits::HasRoomFor(std::uint64_t aBody, TimePoint aNow) const
{
  const std::uint64_t needed = aBody - std::min(aBody, kSmallBytes);
  std::uint64_t taken = large_ + reserved_;
  for (const Place& place : largeOrder_) {
    if (taken + needed <= shares_.largeBytes_ || !IsDue(place, aNow)) {
      break;
    }
    taken -= LargePart(callers_.at(place.caller_));
  }
  return needed == 0 || taken + needed <= shares_.largeBytes_;
}

bool
CallerLimits::OnBody(CallerId aCaller, std::uint64_t aHeld, TimePoint aNow)
{
  return Grow(aCaller, aNow, [aHeld, aNow](Caller& aGrown) {
    if (aGrown.phase_ != Phase::Head && aGrown.phase_ != Phase::Body) {
      aGrown.requestAt_ = aNow;
    }
    aGrown.phase_ = Phase::Body;
    aGrown.progressAt_ = aNow;
    aGrown.request_ = aHeld;
  });
}

void
CallerLimits::OnRequest(CallerId aCaller, std::uint64_t aHeld)
{
  Update(aCaller, [aHeld](Caller& aChanged) {
    aChanged.phase_ = Phase::Running;
    aChanged.request_ = aHeld;
  });
}

void
CallerLimits::OnResponse(CallerId aCaller, std::uint64_t aBytes, TimePoint aNow)
{
  const auto it = callers_.find(aCaller);
  if (it == callers_.end()) {
    return;
  }
  const bool first = it->second.response_ == 0;
  const auto add = [aBytes, aNow, first](Caller& aGrown) {
    aGrown.response_ += aBytes;
    aGrown.progressAt_ = first ? aNow : aGrown.progressAt_;
  };
  // The bytes are there already; without room they count all the same, and
  // nothing else is received meanwhile.
  if (!Grow(aCaller, aNow, add)) {
    Update(aCaller, add);
  }
}

void
CallerLimits::OnProgress(CallerId aCaller, TimePoint aNow)
{
  Update(aCaller, [aNow](Caller& aChanged) { aChanged.progressAt_ = aNow; });
}

void
CallerLimits::OnWritten(CallerId aCaller, std::uint64_t aBytes, TimePoint aNow)
{
  Update(aCaller, [aBytes, aNow](Caller& aChanged) {
    aChanged.response_ -= std::min(aChanged.response_, aBytes);
    aChanged.progressAt_ = aNow;
  });
}

void
CallerLimits::OnAnswered(CallerId aCaller, TimePoint aNow)
{
  Update(aCaller, [aNow](Caller& aChanged) {
    aChanged = {};
    aChanged.served_ = true;
    aChanged.idleSince_ = aNow;
    aChanged.progressAt_ = aNow;
  });
}

bool
CallerLimits::Reserve(std::uint64_t aBytes, TimePoint aNow)
{
  if (!MakeLargeRoom(aBytes, aNow)) {
    return false;
  }
  reserved_ += aBytes;
  return true;
}

TimePoint
CallerLimits::ExpiryOf(const Caller& aCaller) const noexcept
{
  switch (aCaller.phase_) {
    case Phase::Idle:
      return aCaller.idleSince_ + timeouts_.idle_;
    case Phase::Head:
      return aCaller.requestAt_ + timeouts_.header_;
    case Phase::Body:
      return aCaller.progressAt_ + timeouts_.idle_;
    case Phase::Running:
      break;
  }
  return aCaller.response_ > 0 ? aCaller.progressAt_ + timeouts_.idle_ : kNever;
}

TimePoint
CallerLimits::Expire(TimePoint aNow)
{
  TimePoint next = kNever;
  std::vector<CallerId> expired;
  for (const auto& [id, caller] : callers_) {
    const TimePoint expiry = ExpiryOf(caller);
    if (expiry <= aNow) {
      expired.push_back(id);
    } else {
      next = std::min(next, expiry);
    }
  }
  for (const CallerId id : expired) {
    Evict(id,
          callers_.at(id).phase_ == Phase::Head ? EvictionCause::HeaderTimeout
                                                : EvictionCause::IdleTimeout);
  }
  return next;
}

} // namespace marjoramtally
