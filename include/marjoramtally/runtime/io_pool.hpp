/// Event loops that a server and a client can share, so that a request is
/// received, forwarded and answered on one thread.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace marjoramtally {

class IoLoop;

/// A fixed number of event loops, each on its own thread.
class IoPool
{
public:
  [[nodiscard]] static std::shared_ptr<IoPool> Create(std::uint32_t aThreads);

  virtual ~IoPool() = default;
  [[nodiscard]] virtual std::size_t Size() const noexcept = 0;
  [[nodiscard]] virtual IoLoop& Loop(std::size_t aIndex) noexcept = 0;
  /// @returns the index of the calling thread's loop, or the next one in
  /// round-robin order if the caller runs on none
  [[nodiscard]] virtual std::size_t Pick() noexcept = 0;
  /// Runs a task on a loop's thread later, also if called on that thread.
  virtual void Post(std::size_t aIndex, std::function<void()> aTask) = 0;
  /// Stops all loops; tasks not yet run are dropped. Servers and clients stop
  /// their pool when they are destroyed.
  virtual void Stop() = 0;
};

} // namespace marjoramtally
