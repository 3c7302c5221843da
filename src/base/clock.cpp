#include "marjoramtally/base/clock.hpp"

#include <ctime>

namespace marjoramtally {

TimePoint
SystemClock::Now() const noexcept
{
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{ std::chrono::duration_cast<Duration>(since) };
}

TimePoint
BootClock::Now() const noexcept
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since =
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return TimePoint{ std::chrono::duration_cast<Duration>(since) };
}

TimePoint
WallClock::Now() const noexcept
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
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
