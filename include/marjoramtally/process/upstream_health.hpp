/// Response time and health of an upstream: outlier ejection and slow start.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <atomic>
#include <cstdint>

namespace marjoramtally {

/// Running median of the time per unit of work over the upstreams of a service.
/// Thread-safe.
class TypicalUnitTime
{
public:
  void Add(double aMicrosPerUnit) noexcept;
  /// @returns microseconds; 0 before the first sample
  [[nodiscard]] double Get() const noexcept
  {
    return value_.load(std::memory_order_relaxed);
  }

private:
  std::atomic<double> value_{ 0 };
};

/// Effect of an event on the upstream.
enum class HealthChange : std::uint8_t
{
  None,
  Ejected,
};

/// Health of one upstream. Times are measured per unit of work: `WorkUnits()`
/// scales the tokens of a request by the load of the upstream. Lock-free and
/// thread-safe.
class UpstreamHealth
{
public:
  /// A new upstream begins in slow start.
  explicit UpstreamHealth(TimePoint aSeenAt) noexcept
    : admittedAt_(aSeenAt.sinceStart_.count())
  {
  }

  /// Records a complete answer.
  [[nodiscard]] HealthChange OnComplete(double aMicrosPerUnit,
                                        TypicalUnitTime& aTypical,
                                        TimePoint aNow) noexcept;
  /// Records an attempt that was cancelled at its deadline.
  /// @param aMicrosPerUnit lower bound of the time that it would have taken
  [[nodiscard]] HealthChange OnTimeout(double aMicrosPerUnit,
                                       const TypicalUnitTime& aTypical,
                                       TimePoint aNow) noexcept;
  /// Records an incomplete or missing answer caused by the upstream.
  [[nodiscard]] HealthChange OnFailure(TimePoint aNow) noexcept;

  [[nodiscard]] bool Ejected(TimePoint aNow) const noexcept;
  /// @returns whether it was ejected and has not yet been readmitted in full
  [[nodiscard]] bool OnProbation() const noexcept
  {
    return probation_.load(std::memory_order_relaxed);
  }
  /// @returns maximum number of requests in flight in slow start; doubles with
  /// each period since the upstream was admitted
  [[nodiscard]] std::uint64_t SlowStartLimit(TimePoint aNow) const noexcept;
  /// @param aBusy whether requests are in flight
  /// @returns expected time per unit of work; increases while answers are
  /// overdue
  [[nodiscard]] double MicrosPerUnit(const TypicalUnitTime& aTypical,
                                     bool aBusy,
                                     TimePoint aNow) const noexcept;

private:
  [[nodiscard]] HealthChange EjectIfOutlier(const TypicalUnitTime& aTypical,
                                            TimePoint aNow) noexcept;
  [[nodiscard]] HealthChange Eject(TimePoint aNow) noexcept;
  [[nodiscard]] double StallFactor(bool aBusy, TimePoint aNow) const noexcept;
  void AddSample(double aMicrosPerUnit,
                 const TypicalUnitTime& aTypical,
                 TimePoint aNow) noexcept;
  /// @returns estimated time per unit of work; approaches the typical one while
  /// no answers arrive
  [[nodiscard]] double KnownUnitTime(const TypicalUnitTime& aTypical,
                                     TimePoint aNow) const noexcept;

  /// Smoothed microseconds per unit of work; 0 without samples.
  std::atomic<double> unitTime_{ 0 };
  /// Samples since the last ejection.
  std::atomic<std::uint32_t> samples_{ 0 };
  std::atomic<Duration::rep> lastSampleAt_{ 0 };
  /// Smoothed time between two complete answers.
  std::atomic<double> answerGapMicros_{ 0 };
  std::atomic<Duration::rep> lastCompleteAt_{ -1 };
  std::atomic<std::uint32_t> failures_{ 0 };
  std::atomic<std::uint32_t> ejections_{ 0 };
  std::atomic<Duration::rep> ejectedUntil_{ 0 };
  std::atomic<Duration::rep> admittedAt_;
  std::atomic<bool> probation_{ false };
};

} // namespace marjoramtally
