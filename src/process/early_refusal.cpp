#include "marjoramtally/process/early_refusal.hpp"

#include <algorithm>
#include <cmath>

namespace marjoramtally {

namespace {

/// Fraction of the estimate by which one value moves a quantile.
constexpr double kQuantileStep = 0.03;
/// Mean deviations above the mean service time for which a deadline must leave
/// room.
constexpr double kServiceTimeDeviations = 1.5;
/// Weight of a new service time in the moving average.
constexpr double kServiceGain = 0.02;
/// Length of the windows over which the drain rate is measured.
constexpr Duration kRateWindow = std::chrono::milliseconds(250);
/// Weight of a new measurement in the drain rate.
constexpr double kRateGain = 0.3;
/// Expected waits shorter than this are too short to correct expectations by.
constexpr Duration kMinLearnedWait = std::chrono::milliseconds(5);
/// Bounds of the correction factor for expected waits.
constexpr double kMinCorrection = 0.5;
constexpr double kMaxCorrection = 10;
constexpr double kMicrosPerSecond = 1e6;
/// Upper bound of estimates, one hour.
constexpr double kMaxMicros = 3.6e9;

Duration
Micros(double aMicros) noexcept
{
  return Duration(
    static_cast<Duration::rep>(std::clamp(aMicros, 0.0, kMaxMicros)));
}

} // namespace

void
QuantileTracker::Add(double aValue) noexcept
{
  if (estimate_ <= 0) {
    estimate_ = aValue;
  } else if (aValue > estimate_) {
    estimate_ *= 1 + kQuantileStep * quantile_;
  } else {
    estimate_ *= 1 - kQuantileStep * (1 - quantile_);
  }
}

void
EarlyRefusal::OnCompleted(RequestClass aClass,
                          double aExpectedCost,
                          double aCost,
                          Duration aTook,
                          bool aBacklog,
                          TimePoint aNow) noexcept
{
  LearnServiceTime(aClass, aExpectedCost, aTook);
  if (!aBacklog || !windowOpen_) {
    windowOpen_ = aBacklog;
    windowCost_ = 0;
    windowStart_ = aNow;
    return;
  }
  windowCost_ += std::max(aCost, 1.0);
  const Duration elapsed = aNow - windowStart_;
  if (elapsed < kRateWindow) {
    return;
  }
  const double rate =
    windowCost_ * kMicrosPerSecond / static_cast<double>(elapsed.count());
  drainRate_ =
    drainRate_ <= 0 ? rate : drainRate_ + kRateGain * (rate - drainRate_);
  windowCost_ = 0;
  windowStart_ = aNow;
}

void
EarlyRefusal::OnDeadlinePassed(RequestClass aClass,
                               double aExpectedCost,
                               Duration aTook) noexcept
{
  // A lower bound of the service time: the complete answer would have taken
  // longer.
  if (aTook > ServiceTime(aClass, aExpectedCost)) {
    LearnServiceTime(aClass, aExpectedCost, aTook);
  }
}

void
EarlyRefusal::LearnServiceTime(RequestClass aClass,
                               double aExpectedCost,
                               Duration aTook) noexcept
{
  ServiceTimes& times = serviceTimes_.at(static_cast<std::size_t>(aClass));
  const double value =
    static_cast<double>(aTook.count()) / std::max(aExpectedCost, 1.0);
  if (times.perCost_ <= 0) {
    times.perCost_ = value;
    return;
  }
  const double error = value - times.perCost_;
  times.perCost_ += kServiceGain * error;
  times.deviation_ += kServiceGain * (std::abs(error) - times.deviation_);
}

Duration
EarlyRefusal::ServiceTime(RequestClass aClass, double aCost) const noexcept
{
  const ServiceTimes& times =
    serviceTimes_.at(static_cast<std::size_t>(aClass));
  return Micros((times.perCost_ + kServiceTimeDeviations * times.deviation_) *
                std::max(aCost, 1.0));
}

void
EarlyRefusal::OnWaited(RequestClass aClass,
                       Duration aExpected,
                       Duration aWaited) noexcept
{
  if (aExpected < kMinLearnedWait) {
    return;
  }
  const double ratio = static_cast<double>(aWaited.count()) /
                       static_cast<double>(aExpected.count());
  const std::size_t index = static_cast<std::size_t>(aClass);
  // Expected waits already include the correction, so the ratio is relative to
  // it.
  const double absolute = ratio * WaitCorrection(aClass);
  waitRatio_.at(index).Add(
    std::clamp(absolute, kMinCorrection, kMaxCorrection));
}

double
EarlyRefusal::WaitCorrection(RequestClass aClass) const noexcept
{
  const double ratio = waitRatio_.at(static_cast<std::size_t>(aClass)).Get();
  return ratio <= 0 ? 1 : std::clamp(ratio, kMinCorrection, kMaxCorrection);
}

Duration
EarlyRefusal::ExpectedWait(RequestClass aClass,
                           double aCostAhead) const noexcept
{
  if (drainRate_ <= 0) {
    return Duration::zero();
  }
  return Micros(aCostAhead * kMicrosPerSecond / drainRate_ *
                WaitCorrection(aClass));
}

RefusalVerdict
EarlyRefusal::Judge(const RequestSpec& aRequest,
                    double aCost,
                    double aCostAhead,
                    TimePoint aNow) const noexcept
{
  RefusalVerdict verdict;
  verdict.wait_ = ExpectedWait(aRequest.class_, aCostAhead);
  if (aRequest.deadline_ == kNever || aCostAhead <= 0) {
    // With nothing ahead the request is dispatched at once, and its service
    // time updates the estimates.
    return verdict;
  }
  const Duration service = ServiceTime(aRequest.class_, aCost);
  const Duration allowed = aRequest.deadline_ - aNow;
  const Duration excess = verdict.wait_ + service - allowed;
  if (excess > Duration::zero()) {
    verdict.refuse_ = true;
    verdict.retryAfter_ = std::min(verdict.wait_, excess);
  }
  return verdict;
}

} // namespace marjoramtally
