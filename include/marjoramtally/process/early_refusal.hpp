/// Early refusal of requests that cannot meet their deadline, estimated from
/// the drain rate of the queue and the service times of upstreams.
#pragma once

#include "marjoramtally/request/request.hpp"

#include <array>

namespace marjoramtally {

/// Tracks a quantile of a positive quantity without storing values: each value
/// moves the estimate by a fixed fraction of the estimate.
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

/// Decision on one request.
struct RefusalVerdict
{
  bool refuse_ = false;
  /// Expected time in the queue.
  Duration wait_{ 0 };
  /// Time after which the same request would meet its deadline if no other
  /// requests arrived.
  Duration retryAfter_{ 0 };
};

/// Estimates of one service. Not thread-safe.
class EarlyRefusal
{
public:
  /// Records a completion.
  /// @param aExpectedCost cost estimated before the request ran; service times
  /// are learned per unit of it
  /// @param aCost actual cost
  /// @param aBacklog whether requests were waiting; only then does the
  /// completion rate equal the drain rate of the queue
  void OnCompleted(RequestClass aClass,
                   double aExpectedCost,
                   double aCost,
                   Duration aTook,
                   bool aBacklog,
                   TimePoint aNow) noexcept;
  /// Records that a request's deadline passed while it was at an upstream.
  /// @param aTook time since it was sent there
  void OnDeadlinePassed(RequestClass aClass,
                        double aExpectedCost,
                        Duration aTook) noexcept;
  /// Decides whether to refuse a request.
  /// @param aCostAhead expected cost that is dispatched before the request,
  /// divided by the share of the drain rate that serves its queue
  [[nodiscard]] RefusalVerdict Judge(const RequestSpec& aRequest,
                                     double aCost,
                                     double aCostAhead,
                                     TimePoint aNow) const noexcept;
  /// Records the actual wait of a request whose expected wait was `aExpected`.
  void OnWaited(RequestClass aClass,
                Duration aExpected,
                Duration aWaited) noexcept;
  /// @returns time at an upstream for which a deadline must leave room
  [[nodiscard]] Duration ServiceTime(RequestClass aClass,
                                     double aCost) const noexcept;
  /// @returns time until the cost ahead has drained, corrected by the ratio of
  /// earlier actual to expected waits; zero while the drain rate is unknown
  [[nodiscard]] Duration ExpectedWait(RequestClass aClass,
                                      double aCostAhead) const noexcept;
  /// @returns cost per second; zero while unknown
  [[nodiscard]] double DrainRate() const noexcept { return drainRate_; }

private:
  /// Quantile of the ratio of actual to expected wait that corrects
  /// expectations.
  static constexpr double kWaitQuantile = 0.5;

  /// Learned service times of one class.
  struct ServiceTimes
  {
    /// Mean microseconds per unit of expected cost; 0 means unknown.
    double perCost_ = 0;
    /// Mean absolute deviation from `perCost_`.
    double deviation_ = 0;
  };

  void LearnServiceTime(RequestClass aClass,
                        double aExpectedCost,
                        Duration aTook) noexcept;
  [[nodiscard]] double WaitCorrection(RequestClass aClass) const noexcept;

  /// Cost completed in the current window.
  double windowCost_ = 0;
  TimePoint windowStart_;
  bool windowOpen_ = false;
  double drainRate_ = 0;
  /// Ratio of actual to expected wait.
  std::array<QuantileTracker, kRequestClasses> waitRatio_{
    QuantileTracker(kWaitQuantile),
    QuantileTracker(kWaitQuantile),
    QuantileTracker(kWaitQuantile)
  };
  std::array<ServiceTimes, kRequestClasses> serviceTimes_{};
};

} // namespace marjoramtally
