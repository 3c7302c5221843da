/// Timers that run on one thread of their own.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <functional>
#include <memory>

namespace marjoramtally {

/// Runs functions after a delay. They must not block.
class Timers
{
public:
  Timers();
  ~Timers();
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;
  /// Runs a function once.
  void After(Duration aDelay, std::function<void()> aTask);
  /// Runs a function periodically until the timers are stopped.
  void Every(Duration aPeriod, std::function<void()> aTask);
  /// Stops; tasks not yet run are dropped.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace marjoramtally
