/// Passes tasks to the thread of an event loop.
#pragma once

#include <functional>
#include <kj/async.h>
#include <mutex>
#include <vector>

namespace marjoramtally {

/// Queue of tasks that other threads post to an event loop. `Post` is
/// thread-safe; `RunPosted` may be called on the loop's thread only.
class RpcMailbox
{
public:
  void Post(std::function<void()> aTask);
  /// Runs the tasks posted so far.
  /// @returns a promise that is fulfilled when another task is posted
  [[nodiscard]] kj::Promise<void> RunPosted();

private:
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_;
};

} // namespace marjoramtally
