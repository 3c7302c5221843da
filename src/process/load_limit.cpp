#include "marjoramtally/process/load_limit.hpp"

#include <algorithm>
#include <cmath>

namespace marjoramtally {

namespace {

/// Ratio of a load duration to the fastest one above which the load counts as
/// slowed by others. The end of a load is observed in steps of a tenth of its
/// duration.
constexpr double kSlowdownThreshold = 1.2;
constexpr double kSlowGrowth = 1.05;
/// Share of the store's capacity that is used. A load stalls the runs of its
/// upstream while it lasts, which costs more than an idle store.
constexpr double kTargetUtilization = 0.9;
/// Share of the limit at which it counts as reached: one load ends before the
/// next one is ordered.
constexpr double kSaturatedShare = 0.85;
constexpr double kFastGrowth = 2.0;
/// Number of loads that are evaluated together, as a share of the limit. A
/// single load is not conclusive: its upstream may be slow.
constexpr double kRoundShare = 0.5;
constexpr std::size_t kMinRoundLoads = 2;
/// An inconclusive round ends after this multiple of that number, because old
/// durations do not reflect the current load of the store.
constexpr std::size_t kMaxRoundFactor = 8;
/// Loads count as slowed if the median of a round does. They count as not
/// slowed if this share of them is not, out of at least as many loads as the
/// limit: the first loads to end are those that were slowed least.
constexpr double kMedian = 0.5;
constexpr double kHighQuantile = 0.9;

double
Ratio(Duration aOne, Duration aOther) noexcept
{
  return static_cast<double>(aOne.count()) /
         static_cast<double>(aOther.count());
}

/// @returns the given quantile of the durations
Duration
Quantile(std::vector<Duration>& aTimes, double aShare)
{
  const auto at =
    aTimes.begin() +
    static_cast<std::ptrdiff_t>(aShare * static_cast<double>(aTimes.size()));
  std::nth_element(aTimes.begin(), at, aTimes.end());
  return *at;
}

} // namespace

void
LoadLimit::OnLoaded(Duration aTook, std::uint32_t aInProgress, TimePoint aNow)
{
  if (fastest_ == Duration{ 0 } || aTook < fastest_) {
    fastest_ = aTook;
  }
  // Loads that began before the last change do not reflect it.
  if (limit_ == 0 || aNow - aTook < changedAt_) {
    return;
  }
  OnInProgress(aInProgress, aNow);
  durations_.push_back(aTook);
  // Loads ordered to fill a higher limit begin over some tenths of a second.
  // If only those counted that began after the last of these, most rounds would
  // be repeated before the limit grows.
  saturatedLoads_ +=
    saturatedSince_ != kNever && aNow - aTook / 2 >= saturatedSince_ ? 1 : 0;
  Evaluate(aNow);
}

void
LoadLimit::OnInProgress(std::uint32_t aCount, TimePoint aNow)
{
  if (aCount < kSaturatedShare * std::floor(limit_)) {
    saturatedSince_ = kNever;
  } else if (saturatedSince_ == kNever) {
    saturatedSince_ = aNow;
  }
}

void
LoadLimit::Evaluate(TimePoint aNow)
{
  const auto enough =
    std::max(kMinRoundLoads, static_cast<std::size_t>(limit_ * kRoundShare));
  if (durations_.size() < enough) {
    return;
  }
  const double slowing = Ratio(Quantile(durations_, kMedian), fastest_);
  if (slowing > kSlowdownThreshold) {
    fastGrowthCeiling_ =
      std::max<double>(minLimit_, limit_ * kTargetUtilization / slowing);
    SetLimit(fastGrowthCeiling_, aNow);
  } else if (saturatedLoads_ >= static_cast<std::size_t>(limit_) &&
             Ratio(Quantile(durations_, kHighQuantile), fastest_) <=
               kSlowdownThreshold) {
    SetLimit(limit_ < fastGrowthCeiling_
               ? std::min(limit_ * kFastGrowth, fastGrowthCeiling_)
               : limit_ * kSlowGrowth,
             aNow);
  } else if (durations_.size() >= kMaxRoundFactor * enough) {
    SetLimit(limit_, aNow);
  }
}

void
LoadLimit::SetLimit(double aLimit, TimePoint aNow)
{
  limit_ = aLimit;
  changedAt_ = aNow;
  saturatedSince_ = kNever;
  durations_.clear();
  saturatedLoads_ = 0;
}

std::uint32_t
LoadLimit::LimitFor(std::uint32_t aInitialGuess)
{
  if (fastest_ == Duration{ 0 }) {
    fastGrowthCeiling_ = std::max({ aInitialGuess, minLimit_, remembered_ });
    limit_ = std::max(std::clamp(aInitialGuess,
                                 minLimit_,
                                 std::max(minLimit_, kMaxInitialLimit)),
                      remembered_);
  }
  return static_cast<std::uint32_t>(limit_);
}

} // namespace marjoramtally
