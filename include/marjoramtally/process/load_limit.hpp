/// Limits how many upstreams load weights at the same time.
///
/// The weight store sustains a limited number of concurrent loads. With more,
/// each load takes longer, and the runs of its upstream are stalled for that
/// long. Adding upstreams does not make the store faster, so the limit is
/// derived from load durations, as in congestion control: it starts low and
/// grows fast up to an initial guess while loads take no longer than a single
/// one, then grows slowly. If loads are slowed, it drops directly to the
/// estimated capacity of the store.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <cstdint>
#include <vector>

namespace marjoramtally {

/// Adapts the limit to the durations of finished loads.
class LoadLimit
{
public:
  /// Maximum limit before a load has ended, if none is remembered. If it is too
  /// high, all loads are slowed and the duration of an undisturbed load is
  /// never observed.
  static constexpr std::uint32_t kMaxInitialLimit = 8;

  /// @param aMinLimit the limit never falls below this
  explicit LoadLimit(std::uint32_t aMinLimit)
    : minLimit_(aMinLimit)
  {
  }

  /// A load ended.
  /// @param aInProgress number of loads in progress just before, this one
  /// included
  void OnLoaded(Duration aTook, std::uint32_t aInProgress, TimePoint aNow);
  /// Loads were ordered.
  /// @param aCount number of loads in progress, the new ones included
  void OnInProgress(std::uint32_t aCount, TimePoint aNow);
  /// Starts from the limit that another process has found, until a load has
  /// ended here.
  void Remember(std::uint32_t aLimit) noexcept { remembered_ = aLimit; }
  /// @param aInitialGuess expected limit, used until a load has ended
  /// @returns the current limit
  [[nodiscard]] std::uint32_t LimitFor(std::uint32_t aInitialGuess);
  /// @returns the current limit; 0 before the first call of `LimitFor`
  [[nodiscard]] std::uint32_t Get() const noexcept
  {
    return static_cast<std::uint32_t>(limit_);
  }

private:
  /// Adjusts the limit if enough loads have ended that began after its last
  /// change.
  void Evaluate(TimePoint aNow);
  void SetLimit(double aLimit, TimePoint aNow);

  std::uint32_t minLimit_;
  /// Limit found by another process; 0 if none is known.
  std::uint32_t remembered_ = 0;
  double limit_ = 0;
  /// Below this value the limit grows fast.
  double fastGrowthCeiling_ = 0;
  /// Duration of the fastest load.
  Duration fastest_{ 0 };
  /// When the limit was last changed or confirmed.
  TimePoint changedAt_;
  /// When the number of loads in progress reached the limit; `kNever` if it is
  /// lower.
  TimePoint saturatedSince_ = kNever;
  /// Durations of loads that began after the last change.
  std::vector<Duration> durations_;
  /// Number of these loads for which the limit was reached during half of their
  /// time at least. Others shared the store with fewer loads and do not show
  /// whether it sustains the limit.
  std::size_t saturatedLoads_ = 0;
};

} // namespace marjoramtally
