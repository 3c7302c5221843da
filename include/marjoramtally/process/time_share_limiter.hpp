/// Limits the fraction of an event loop's time that one kind of work takes.
#pragma once

#include "marjoramtally/base/clock.hpp"

namespace marjoramtally {

/// Computes when work that blocks its event loop may run again: the longer it
/// took last time, the later. Work that becomes due in the meantime is done in
/// one run.
class TimeShareLimiter
{
public:
  /// @param aShare maximum fraction of the time for the work, in (0, 1]
  explicit constexpr TimeShareLimiter(double aShare) noexcept
    : share_(aShare)
  {
  }

  void OnDone(TimePoint aBegun, TimePoint aEnded) noexcept
  {
    const auto took = static_cast<double>((aEnded - aBegun).count());
    next_ = aBegun + Duration{ static_cast<std::int64_t>(took / share_) };
  }

  /// @returns the earliest time of the next run
  [[nodiscard]] TimePoint NextAt() const noexcept { return next_; }

private:
  double share_;
  TimePoint next_;
};

} // namespace marjoramtally
