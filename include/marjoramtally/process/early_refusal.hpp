/// Refusal of requests that cannot meet their deadline, by the rate at which
/// the queue drains and by how long upstreams take.
#pragma once

#include "marjoramtally/request/request.hpp"

#include <array>

namespace marjoramtally {

/// Tracks a quantile of a positive quantity without keeping values: each
/// value moves the estimate by a share of itself.
class QuantileTracker
{
public:
  constexpr explicit QuantileTracker(double aQuantile) noexcept
    : quantile_(aQuantile)
  {
  }

  void Add(double aValue) noexcept;
  /// @returns the estimate; 0 before the first value
  [[nodiscard]] double Get() const noexcept { return estimate_; }

private:
  double quantile_;
  double estimate_ = 0;
};

/// What early refusal says of a request.
struct RefusalVerdict
{
  bool refuse_ = false;
  /// Expected time in the queue.
  Duration wait_{ 0 };
  /// When the same request would meet its deadline if nothing else came.
  Duration retryAfter_{ 0 };
};

/// Estimates of one service. Not thread-safe.
class EarlyRefusal
{
public:
  /// Records a completion.
  /// @param aExpectedCost what it was expected to cost: service times are
  /// learned against it
  /// @param aCost what it cost
  /// @param aBacklog whether requests were waiting: only then is the rate of
  /// completions the rate at which the queue drains
  void OnCompleted(RequestClass aClass,
                   double aExpectedCost,
                   double aCost,
                   Duration aTook,
                   bool aBacklog,
                   TimePoint aNow) noexcept;
  /// Records that a request's deadline passed at an upstream after a time
  /// there.
  void OnDeadlinePassed(RequestClass aClass,
                        double aExpectedCost,
                        Duration aTook) noexcept;
  /// @param aCostAhead expected cost that goes before the request, divided
  /// by the part of the drain rate that serves its queue
  [[nodiscard]] RefusalVerdict Judge(const RequestSpec& aRequest,
                                     double aCost,
                                     double aCostAhead,
                                     TimePoint aNow) const noexcept;
  /// Records how long a request waited that was told to expect `aExpected`.
  void OnWaited(RequestClass aClass,
                Duration aExpected,
                Duration aWaited) noexcept;
  /// @returns time at an upstream that a deadline must leave room for
  [[nodiscard]] Duration ServiceTime(RequestClass aClass,
                                     double aCost) const noexcept;
  /// @returns time until such a cost ahead has drained, corrected by how
  /// earlier expectations held; zero while unknown
  [[nodiscard]] Duration ExpectedWait(RequestClass aClass,
                                      double aCostAhead) const noexcept;
  /// @returns cost a second; zero while unknown
  [[nodiscard]] double DrainRate() const noexcept { return drainRate_; }

private:
  /// Quantile of real over expected wait that corrects expectations.
  static constexpr double kWaitQuantile = 0.5;

  /// What is learned of one class's time at upstreams.
  struct ServiceTimes
  {
    /// Mean microseconds for each unit of expected cost; 0 is unknown.
    double perCost_ = 0;
    /// Mean distance from that mean.
    double deviation_ = 0;
  };

  void LearnServiceTime(RequestClass aClass,
                        double aExpectedCost,
                        Duration aTook) noexcept;
  [[nodiscard]] double WaitCorrection(RequestClass aClass) const noexcept;

  /// Cost completed in the present window.
  double windowCost_ = 0;
  TimePoint windowStart_;
  bool windowOpen_ = false;
  double drainRate_ = 0;
  /// Real wait over expected wait.
  std::array<QuantileTracker, kRequestClasses> waitRatio_{
    QuantileTracker(kWaitQuantile),
    QuantileTracker(kWaitQuantile),
    QuantileTracker(kWaitQuantile)
  };
  std::array<ServiceTimes, kRequestClasses> serviceTimes_{};
};

} // namespace marjoramtally
