/// Speed and health of an upstream: outlier ejection and slow start.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <atomic>
#include <cstdint>

namespace marjoramtally {

/// The usual speed of a pool's upstreams: a running median. Thread-safe.
class TypicalUnitTime
{
public:
  void Add(double aMicrosPerUnit) noexcept;
  /// @returns 0 while nothing is known
  [[nodiscard]] double Get() const noexcept
  {
    return value_.load(std::memory_order_relaxed);
  }

private:
  std::atomic<double> value_{ 0 };
};

/// What became of the upstream by an event.
enum class HealthChange : std::uint8_t
{
  None,
  Ejected,
};

/// Health of one upstream. A unit of work is one token of a request while
/// one request is there. Thread-safe without locks.
class UpstreamHealth
{
public:
  /// An upstream that is new starts slowly.
  explicit UpstreamHealth(TimePoint aSeenAt) noexcept
    : admittedAt_(aSeenAt.sinceStart_.count())
  {
  }

  /// A whole answer came.
  [[nodiscard]] HealthChange OnComplete(double aMicrosPerUnit,
                                        TypicalUnitTime& aTypical,
                                        TimePoint aNow) noexcept;
  /// An attempt was given up after this long: it would have taken longer.
  [[nodiscard]] HealthChange OnTimeout(double aMicrosPerUnit,
                                       const TypicalUnitTime& aTypical,
                                       TimePoint aNow) noexcept;
  /// No whole answer, by the upstream's fault.
  [[nodiscard]] HealthChange OnFailure(TimePoint aNow) noexcept;

  [[nodiscard]] bool Ejected(TimePoint aNow) const noexcept;
  /// @returns whether it is back from an ejection and not yet proven
  [[nodiscard]] bool OnProbation() const noexcept
  {
    return probation_.load(std::memory_order_relaxed);
  }
  /// @returns requests that may be in flight in slow start; doubles with
  /// each period since it was admitted
  [[nodiscard]] std::uint64_t SlowStartLimit(TimePoint aNow) const noexcept;
  /// @returns expected time of a unit of work; longer while answers that
  /// should have come do not
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
  /// @returns what is known of its speed; the usual one after long silence
  [[nodiscard]] double KnownUnitTime(const TypicalUnitTime& aTypical,
                                     TimePoint aNow) const noexcept;

  std::atomic<double> unitTime_{ 0 };
  /// Speeds taken in since it was admitted.
  std::atomic<std::uint32_t> samples_{ 0 };
  std::atomic<Duration::rep> lastSampleAt_{ 0 };
  std::atomic<double> answerGapMicros_{ 0 };
  std::atomic<Duration::rep> lastCompleteAt_{ -1 };
  std::atomic<std::uint32_t> failures_{ 0 };
  std::atomic<std::uint32_t> ejections_{ 0 };
  std::atomic<Duration::rep> ejectedUntil_{ 0 };
  std::atomic<Duration::rep> admittedAt_;
  std::atomic<bool> probation_{ false };
};

} // namespace marjoramtally
