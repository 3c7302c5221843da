/// The clock of the runtime. Decisions take `now` as an argument; only
/// drivers own a clock, and tests pause and advance it.
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

/// The latest instant; used as "never".
inline constexpr TimePoint kNever{ Duration::max() };

/// Source of monotonic time.
class Clock
{
public:
  virtual ~Clock() = default;
  /// @returns the present instant
  [[nodiscard]] virtual TimePoint Now() const noexcept = 0;
};

/// The machine's monotonic clock.
class SystemClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const noexcept override;
};

/// The machine's monotonic clock that also counts the time for which the
/// machine was suspended; for leases, which go on running elsewhere.
class BootClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const noexcept override;
};

/// The time of day since the Unix epoch. It may jump, and clocks of other
/// machines differ by some seconds.
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

/// A paused clock that moves only when told to.
/// @example `ManualClock clock; clock.Advance(std::chrono::seconds(1));`
class ManualClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const noexcept override;
  /// Moves the clock forward.
  /// @param aDelta the distance; negative values are ignored
  void Advance(Duration aDelta) noexcept;

private:
  std::atomic<Duration::rep> now_{ 0 };
};

} // namespace marjoramtally
