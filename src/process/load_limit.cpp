#include "marjoramtally/process/load_limit.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// A load that takes so many times the fastest was slowed by others; what
/// tells of its end comes in steps of a tenth.
constexpr double kSlowed = 1.35;
constexpr double kGrow = 1.05;
constexpr double kGrowFast = 2.0;
/// Most loads at first. A guess that is too high slows all loads, so that what
/// one takes alone is never seen.
constexpr std::uint32_t kMostAtFirst = 8;
/// Loads that are judged together, as a part of the limit. Single ones say
/// little: an upstream may be slow by itself.
constexpr double kRoundShare = 0.5;
constexpr std::size_t kLeastRound = 2;

double
Ratio(Duration aOne, Duration aOther) noexcept
{
  return static_cast<double>(aOne.count()) /
         static_cast<double>(aOther.count());
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
  usedUp_ = usedUp_ || aInProgress >= static_cast<std::uint32_t>(limit_);
  took_.push_back(aTook);
  const auto enough = std::max(
    kLeastRound, static_cast<std::size_t>(limit_ * kRoundShare));
  if (took_.size() >= enough) {
    EndRound(aNow);
  }
}

void
LoadLimit::EndRound(TimePoint aNow)
{
  const auto middle =
    took_.begin() + static_cast<std::ptrdiff_t>(took_.size() / 2);
  std::nth_element(took_.begin(), middle, took_.end());
  const double slowing = Ratio(*middle, fastest_);
  if (slowing > kSlowed) {
    limit_ = std::max<double>(least_, limit_ / slowing);
    guess_ = limit_;
  } else if (usedUp_) {
    limit_ = limit_ < guess_ ? std::min(limit_ * kGrowFast, guess_)
                             : limit_ * kGrow;
  }
  changed_ = aNow;
  took_.clear();
  usedUp_ = false;
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
