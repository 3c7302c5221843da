/// Timers of one loop, and a paused kind for tests.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <functional>
#include <map>
#include <memory>

namespace marjoramtally {

class IoPool;

/// Names a timer that was set.
using LoopTimerId = std::uint64_t;

/// Timers of one loop, which alone uses them.
class LoopTimers
{
public:
  /// One timer of the kernel serves all, and one that is cancelled causes no
  /// wake-up of its own.
  /// @param aPool outlives the timers
  [[nodiscard]] static std::unique_ptr<LoopTimers> Create(IoPool& aPool,
                                                          std::size_t aIndex);

  virtual ~LoopTimers() = default;
  /// Runs a function once after a delay.
  virtual LoopTimerId After(Duration aDelay, std::function<void()> aTask) = 0;
  /// Drops a timer; one that ran or was dropped is ignored.
  virtual void Cancel(LoopTimerId aTimer) = 0;
};

/// Timers of a paused clock: they run within `Advance`.
class ManualTimers final : public LoopTimers
{
public:
  /// @param aClock outlives this
  explicit ManualTimers(ManualClock& aClock)
    : clock_(aClock)
  {
  }

  LoopTimerId After(Duration aDelay, std::function<void()> aTask) override;
  void Cancel(LoopTimerId aTimer) override;
  /// Moves the clock on, stopping at each timer that is due on the way.
  void Advance(Duration aDelta);
  [[nodiscard]] std::size_t size() const noexcept { return tasks_.size(); }

private:
  /// Ids grow, so that timers due at once run in the order they were set.
  using TimerKey = std::pair<TimePoint, LoopTimerId>;

  ManualClock& clock_;
  LoopTimerId last_ = 0;
  std::map<TimerKey, std::function<void()>> tasks_;
};

} // namespace marjoramtally
