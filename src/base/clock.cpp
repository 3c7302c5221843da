#include "marjoramtally/base/clock.hpp"

namespace marjoramtally {

TimePoint
SystemClock::Now() const noexcept
{
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{ std::chrono::duration_cast<Duration>(since) };
}

TimePoint
ManualClock::Now() const noexcept
{
  return TimePoint{ Duration{ now_.load() } };
}

void
ManualClock::Advance(Duration aDelta) noexcept
{
  if (aDelta > Duration::zero()) {
    now_ += aDelta.count();
  }
}

} // namespace marjoramtally
