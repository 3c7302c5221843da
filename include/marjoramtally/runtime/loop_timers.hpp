/// Timers of one event loop, and timers on a manual clock for tests.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <functional>
#include <map>
#include <memory>

namespace marjoramtally {

class IoPool;

/// Identifies a timer.
using LoopTimerId = std::uint64_t;

/// Timers of one event loop; used on its thread only.
class LoopTimers
{
public:
  /// Creates timers that share one kernel timer; a cancelled timer causes no
  /// wake-up of its own.
  /// @param aPool must outlive the timers
  [[nodiscard]] static std::unique_ptr<LoopTimers> Create(IoPool& aPool,
                                                          std::size_t aIndex);

  virtual ~LoopTimers() = default;
  /// Runs a function once after a delay.
  virtual LoopTimerId After(Duration aDelay, std::function<void()> aTask) = 0;
  /// Cancels a timer; no effect if it has run or was cancelled before.
  virtual void Cancel(LoopTimerId aTimer) = 0;
};

/// Timers on a manual clock; they run within `Advance`.
class ManualTimers final : public LoopTimers
{
public:
  /// @param aClock must outlive this object
  explicit ManualTimers(ManualClock& aClock)
    : clock_(aClock)
  {
  }

  LoopTimerId After(Duration aDelay, std::function<void()> aTask) override;
  void Cancel(LoopTimerId aTimer) override;
  /// Advances the clock, stopping at each timer that becomes due.
  void Advance(Duration aDelta);
  [[nodiscard]] std::size_t size() const noexcept { return tasks_.size(); }

private:
  /// Ids increase, so that timers due at the same time run in the order in
  /// which they were set.
  using TimerKey = std::pair<TimePoint, LoopTimerId>;

  ManualClock& clock_;
  LoopTimerId last_ = 0;
  std::map<TimerKey, std::function<void()>> tasks_;
};

} // namespace marjoramtally
