/// Clocks and time points. Decision code takes the current time as an argument;
/// only the code that drives it owns a clock, which tests can control.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace marjoramtally {

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// A monotonic instant, in microseconds since an arbitrary start.
struct TimePoint
{
  Duration sinceStart_{ 0 };
  constexpr auto operator<=>(const TimePoint&) const = default;
};

constexpr TimePoint
operator+(TimePoint aTime, Duration aDelta) noexcept
{
  return TimePoint{ aTime.sinceStart_ + aDelta };
}

constexpr TimePoint
operator-(TimePoint aTime, Duration aDelta) noexcept
{
  return TimePoint{ aTime.sinceStart_ - aDelta };
}

constexpr Duration
operator-(TimePoint aLeft, TimePoint aRight) noexcept
{
  return aLeft.sinceStart_ - aRight.sinceStart_;
}

/// The latest instant; means "never".
inline constexpr TimePoint kNever{ Duration::max() };

/// Source of monotonic time.
class Clock
{
public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual TimePoint Now() const noexcept = 0;
};

/// Monotonic clock of the machine.
class SystemClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const noexcept override;
};

/// Monotonic clock that includes the time for which the machine was suspended.
/// Used for leases, whose time continues to run on other machines.
class BootClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const noexcept override;
};

/// Time of day since the Unix epoch. It may jump, and may differ from other
/// machines by some seconds.
class WallClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const noexcept override;
};

/// @returns a duration in whole milliseconds, rounded down
[[nodiscard]] inline std::int64_t
WholeMillis(Duration aDuration) noexcept
{
  return std::chrono::floor<std::chrono::milliseconds>(aDuration).count();
}

/// A clock that advances only when `Advance` is called.
/// @example `ManualClock clock; clock.Advance(std::chrono::seconds(1));`
class ManualClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const noexcept override;
  /// @param aDelta time to advance by; negative values are ignored
  void Advance(Duration aDelta) noexcept;

private:
  std::atomic<Duration::rep> now_{ 0 };
};

} // namespace marjoramtally
