/// How many upstreams may load weights at the same time.
///
/// The store of weights bears some loads at once; with more, each takes longer
/// and holds the runs of its upstream up for as long. Upstreams that were added
/// do not make it faster, so the limit follows what loads take, as congestion
/// control does: it begins low and grows fast while loads take no longer than
/// alone, up to a first guess; then it grows slowly. Loads that are slowed lead
/// straight to the number that the store bears.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <cstdint>
#include <vector>

namespace marjoramtally {

/// Learns the limit from loads that ended.
class LoadLimit
{
public:
  /// @param aLeast the limit never goes below
  explicit LoadLimit(std::uint32_t aMinLimit)
    : minLimit_(aMinLimit)
  {
  }

  /// A load ended.
  /// @param aInProgress loads in progress until then, this one included
  void OnLoaded(Duration aTook, std::uint32_t aInProgress, TimePoint aNow);
  /// Loads were ordered.
  /// @param aCount loads in progress with them
  void OnInProgress(std::uint32_t aCount, TimePoint aNow);
  /// @param aFirst the limit that is guessed as long as nothing was learned
  [[nodiscard]] std::uint32_t LimitFor(std::uint32_t aInitialGuess);
  /// @returns the present limit; 0 before it was asked for
  [[nodiscard]] std::uint32_t Get() const noexcept
  {
    return static_cast<std::uint32_t>(limit_);
  }

private:
  /// Judges the loads that began since the limit changed, once there are
  /// enough of them.
  void Evaluate(TimePoint aNow);
  void SetLimit(double aLimit, TimePoint aNow);

  std::uint32_t minLimit_;
  double limit_ = 0;
  /// Below it the limit grows fast.
  double fastGrowthCeiling_ = 0;
  /// What the fastest load took.
  Duration fastest_{ 0 };
  /// When the limit was last changed or confirmed.
  TimePoint changedAt_;
  /// Since when as many are in progress as may be; `kNever` if they are not.
  TimePoint saturatedSince_ = kNever;
  /// What loads that began since the change took.
  std::vector<Duration> durations_;
  /// Loads that began since the limit was used up. Those before them had the
  /// store of weights to themselves for a while and say little of it.
  std::size_t saturatedLoads_ = 0;
};

} // namespace marjoramtally
