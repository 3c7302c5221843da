/// Hands tasks to the thread of an event loop.
#pragma once

#include <functional>
#include <kj/async.h>
#include <mutex>
#include <vector>

namespace marjoramtally {

/// Tasks handed to the event loop's thread from others. `Post` is
/// thread-safe; `RunPosted` belongs to the loop's thread.
class RpcMailbox
{
public:
  void Post(std::function<void()> aTask);
  /// Runs the tasks posted so far, then arms the next wake-up.
  [[nodiscard]] kj::Promise<void> RunPosted();

private:
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_;
};

} // namespace marjoramtally
