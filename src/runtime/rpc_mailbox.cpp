#include "runtime/rpc_mailbox.hpp"

namespace marjoramtally {

void
RpcMailbox::Post(std::function<void()> aTask)
{
  const std::lock_guard lock(mutex_);
  tasks_.push_back(std::move(aTask));
  if (wake_.get() != nullptr) {
    wake_->fulfill();
    wake_ = nullptr;
  }
}

kj::Promise<void>
RpcMailbox::RunPosted()
{
  std::vector<std::function<void()>> tasks;
  auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(tasks_);
    wake_ = kj::mv(pair.fulfiller);
  }
  for (auto& task : tasks) {
    task();
  }
  return kj::mv(pair.promise);
}

} // namespace marjoramtally
