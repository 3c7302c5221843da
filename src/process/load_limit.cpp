#include "marjoramtally/process/load_limit.hpp"

#include <algorithm>
#include <cmath>

namespace marjoramtally {

namespace {

/// A load that takes so many times the fastest was slowed by others; what
/// tells of its end comes in steps of a tenth.
constexpr double kSlowed = 1.2;
constexpr double kGrow = 1.05;
/// Kept in progress of what the store bears: a load holds up the runs of its
/// upstream for as long as it takes, which costs more than a store that idles.
constexpr double kKept = 0.9;
/// Part of the limit at which it counts as used up; one load ends before the
/// next is ordered.
constexpr double kFull = 0.85;
constexpr double kGrowFast = 2.0;
/// Most loads at first. A guess that is too high slows all loads, so that what
/// one takes alone is never seen.
constexpr std::uint32_t kMostAtFirst = 8;
/// Loads that are judged together, as a part of the limit. Single ones say
/// little: an upstream may be slow by itself.
constexpr double kRoundShare = 0.5;
constexpr std::size_t kLeastRound = 2;
/// A round that says nothing ends after so many times that number: what loads
/// took long ago says nothing of the present.
constexpr std::size_t kLongestRound = 8;
/// Loads are slowed where the middle one of a round is. That they are not is
/// believed where this share of them is not, of as many as the limit: the first
/// ones to end are those that were slowed least.
constexpr double kMiddle = 0.5;
constexpr double kMost = 0.9;

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
  if (limit_ == 0 || aNow - aTook < changed_) {
    return;
  }
  OnInProgress(aInProgress, aNow);
  took_.push_back(aTook);
  tookFull_ += full_ != kNever && aNow - aTook >= full_ ? 1 : 0;
  Judge(aNow);
}

void
LoadLimit::OnInProgress(std::uint32_t aCount, TimePoint aNow)
{
  if (aCount < kFull * std::floor(limit_)) {
    full_ = kNever;
  } else if (full_ == kNever) {
    full_ = aNow;
  }
}

void
LoadLimit::Judge(TimePoint aNow)
{
  const auto enough =
    std::max(kLeastRound, static_cast<std::size_t>(limit_ * kRoundShare));
  if (took_.size() < enough) {
    return;
  }
  const double slowing = Ratio(Quantile(took_, kMiddle), fastest_);
  if (slowing > kSlowed) {
    guess_ = std::max<double>(least_, limit_ * kKept / slowing);
    Change(guess_, aNow);
  } else if (tookFull_ >= static_cast<std::size_t>(limit_) &&
             Ratio(Quantile(took_, kMost), fastest_) <= kSlowed) {
    Change(limit_ < guess_ ? std::min(limit_ * kGrowFast, guess_)
                           : limit_ * kGrow,
           aNow);
  } else if (took_.size() >= kLongestRound * enough) {
    Change(limit_, aNow);
  }
}

void
LoadLimit::Change(double aLimit, TimePoint aNow)
{
  limit_ = aLimit;
  changed_ = aNow;
  full_ = kNever;
  took_.clear();
  tookFull_ = 0;
}

std::uint32_t
LoadLimit::AtOnce(std::uint32_t aFirst)
{
  if (fastest_ == Duration{ 0 }) {
    guess_ = std::max(aFirst, least_);
    limit_ = std::clamp(aFirst, least_, std::max(least_, kMostAtFirst));
  }
  return static_cast<std::uint32_t>(limit_);
}

} // namespace marjoramtally
