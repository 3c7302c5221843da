#include "marjoramtally/process/lease.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Heartbeats sent within one TTL.
constexpr int kHeartbeatsPerTtl = 3;
/// A call that is not answered within the TTL divided by this is abandoned.
constexpr int kAnswerTimeoutsPerTtl = 2;
/// Heartbeats are spread randomly over this last fraction of their period.
constexpr double kJitterShare = 0.1;

} // namespace

LeaseStep
LeaseKeeper::Next(TimePoint aNow) noexcept
{
  if (asking_ && aNow - sentAt_ >= options_.ttl_ / kAnswerTimeoutsPerTtl) {
    // Timed out waiting for the answer.
    OnAnswer(LeaseAnswer::Unknown, sentAt_, aNow);
  }
  if (asking_ || aNow < nextAt_) {
    return LeaseStep::Wait;
  }
  asking_ = true;
  sentAt_ = aNow;
  return granted_ ? LeaseStep::KeepAlive : LeaseStep::Grant;
}

bool
LeaseKeeper::OnAnswer(LeaseAnswer aAnswer,
                      TimePoint aSentAt,
                      TimePoint aNow) noexcept
{
  if (!asking_ || aSentAt != sentAt_) {
    return false;
  }
  asking_ = false;
  switch (aAnswer) {
    case LeaseAnswer::Confirmed:
      granted_ = true;
      confirmedAt_ = sentAt_;
      backoff_.Reset();
      nextAt_ = sentAt_ + HeartbeatPeriod();
      break;
    case LeaseAnswer::Gone:
      Drop();
      nextAt_ = aNow;
      break;
    case LeaseAnswer::Unknown:
      nextAt_ = aNow + backoff_.Next();
      break;
  }
  return true;
}

void
LeaseKeeper::Drop() noexcept
{
  granted_ = false;
  asking_ = false;
}

TimePoint
LeaseKeeper::StopAt() const noexcept
{
  if (!granted_) {
    return TimePoint{ Duration::min() };
  }
  return confirmedAt_ + options_.ttl_ - options_.margin_;
}

Duration
LeaseKeeper::HeartbeatPeriod() noexcept
{
  const auto period =
    static_cast<double>((options_.ttl_ / kHeartbeatsPerTtl).count());
  return Duration{ static_cast<Duration::rep>(
    period * (1.0 - kJitterShare * random_.Unit())) };
}

std::string_view
ToString(StoreCallKind aKind) noexcept
{
  constexpr std::array<std::string_view, kStoreCallKinds> kNames{
    "read", "write", "lease", "watch"
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

bool
StoreBudget::Take(StoreCallKind aKind, TimePoint aNow) noexcept
{
  if (last_ != TimePoint{}) {
    const auto seconds = static_cast<double>((aNow - last_).count()) / 1e6;
    tokens_ = std::min(burst_, tokens_ + seconds * tokensPerSecond_);
  }
  last_ = aNow;
  const bool refusable =
    aKind == StoreCallKind::Read || aKind == StoreCallKind::Watch;
  if (refusable && tokens_ < 1.0) {
    ++refused_;
    return false;
  }
  // The debt is limited as well, so that reads are allowed again soon after a
  // burst of writes.
  tokens_ = std::max(tokens_ - 1.0, -burst_);
  ++counts_.at(static_cast<std::size_t>(aKind));
  return true;
}

} // namespace marjoramtally
