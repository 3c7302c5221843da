#include "marjoramtally/process/load_limit.hpp"

#include <algorithm>
#include <cmath>

namespace marjoramtally {

namespace {

/// A load that takes so many times the fastest was slowed by others; what
/// tells of its end comes in steps of a tenth.
constexpr double kSlowdownThreshold = 1.2;
constexpr double kSlowGrowth = 1.05;
/// Kept in progress of what the store bears: a load holds up the runs of its
/// upstream for as long as it takes, which costs more than a store that idles.
constexpr double kTargetUtilization = 0.9;
/// Part of the limit at which it counts as used up; one load ends before the
/// next is ordered.
constexpr double kSaturatedShare = 0.85;
constexpr double kFastGrowth = 2.0;
/// Most loads at first. A guess that is too high slows all loads, so that what
/// one takes alone is never seen.
constexpr std::uint32_t kMaxInitialLimit = 8;
/// Loads that are judged together, as a part of the limit. Single ones say
/// little: an upstream may be slow by itself.
constexpr double kRoundShare = 0.5;
constexpr std::size_t kMinRoundLoads = 2;
/// A round that says nothing ends after so many times that number: what loads
/// took long ago says nothing of the present.
constexpr std::size_t kMaxRoundFactor = 8;
/// Loads are slowed where the middle one of a round is. That they are not is
/// believed where this share of them is not, of as many as the limit: the first
/// ones to end are those that were slowed least.
constexpr double kMedian = 0.5;
constexpr double kHighQuantile = 0.9;

double
Ratio(Duration aOne, Duration aOther) noexcept
{
  return static_cast<double>(aOne.count()) /
         static_cast<double>(aOther.count());
}

/// @returns the time that a share of the loads took at the most
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
  // Loads that began before the last change say nothing of it.
  if (limit_ == 0 || aNow - aTook < changedAt_) {
    return;
  }
  OnInProgress(aInProgress, aNow);
  durations_.push_back(aTook);
  saturatedLoads_ +=
    saturatedSince_ != kNever && aNow - aTook >= saturatedSince_ ? 1 : 0;
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
    fastGrowthCeiling_ = std::max(aInitialGuess, minLimit_);
    limit_ = std::clamp(
      aInitialGuess, minLimit_, std::max(minLimit_, kMaxInitialLimit));
  }
  return static_cast<std::uint32_t>(limit_);
}

} // namespace marjoramtally
