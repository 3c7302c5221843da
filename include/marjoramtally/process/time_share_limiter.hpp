/// Bounds the share of a loop's time that one kind of work takes.
#pragma once

#include "marjoramtally/base/clock.hpp"

namespace marjoramtally {

/// Tells when work that holds up its loop may be done again: the longer it took
/// last time, the later. What becomes due meanwhile is done together.
class TimeShareLimiter
{
public:
  /// @param aShare most of the time that the work may take, over 0, at most 1
  explicit constexpr TimeShareLimiter(double aShare) noexcept
    : share_(aShare)
  {
  }

  void OnDone(TimePoint aBegun, TimePoint aEnded) noexcept
  {
    const auto took = static_cast<double>((aEnded - aBegun).count());
    next_ = aBegun + Duration{ static_cast<std::int64_t>(took / share_) };
  }

  /// @returns the earliest time for the next piece of work
  [[nodiscard]] TimePoint NextAt() const noexcept { return next_; }

private:
  double share_;
  TimePoint next_;
};

} // namespace marjoramtally
