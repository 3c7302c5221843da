/// Event loops that a server and a client can share, so that a request is
/// received, sent on and answered on one thread.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace marjoramtally {

class IoLoop;

/// A fixed number of event loops, each on a thread of its own.
class IoPool
{
public:
  [[nodiscard]] static std::shared_ptr<IoPool> Create(std::uint32_t aThreads);

  virtual ~IoPool() = default;
  [[nodiscard]] virtual std::size_t Size() const noexcept = 0;
  [[nodiscard]] virtual IoLoop& Loop(std::size_t aIndex) noexcept = 0;
  /// @returns the index of the calling thread's loop; of the next in turn
  /// if the caller runs on none
  [[nodiscard]] virtual std::size_t Pick() noexcept = 0;
  /// Runs a task on a loop's thread, soon.
  virtual void Post(std::size_t aIndex, std::function<void()> aTask) = 0;
  /// Ends all loops; what they had not yet run is dropped. Servers and
  /// clients stop their pool when they are destroyed.
  virtual void Stop() = 0;
};

/// Names a timer that was set.
using LoopTimerId = std::uint64_t;

/// Timers of one loop, which alone uses them. One timer of the kernel serves
/// all, and one that is cancelled causes no wake-up of its own.
class LoopTimers
{
public:
  /// @param aPool outlives this
  LoopTimers(IoPool& aPool, std::size_t aIndex);
  ~LoopTimers();
  LoopTimers(const LoopTimers&) = delete;
  LoopTimers& operator=(const LoopTimers&) = delete;

  /// Runs a function once after a delay.
  LoopTimerId After(Duration aDelay, std::function<void()> aTask);
  /// Drops a timer; one that ran or was dropped is ignored.
  void Cancel(LoopTimerId aTimer);

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace marjoramtally
