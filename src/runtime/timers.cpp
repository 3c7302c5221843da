#include "marjoramtally/runtime/timers.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace marjoramtally {

struct Timers::State
{
  using Instant = std::chrono::steady_clock::time_point;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::multimap<Instant, std::function<void()>> tasks_;
  bool stopping_ = false;
  std::thread thread_;

  void Add(Duration aDelay, std::function<void()> aTask)
  {
    const auto due = std::chrono::steady_clock::now() + aDelay;
    {
      const std::lock_guard lock(mutex_);
      tasks_.emplace(due, std::move(aTask));
    }
    wake_.notify_one();
  }

  void Repeat(Duration aPeriod, std::function<void()> aTask)
  {
    Add(aPeriod, [this, aPeriod, task = std::move(aTask)]() mutable {
      task();
      Repeat(aPeriod, std::move(task));
    });
  }

  void Run()
  {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      if (tasks_.empty()) {
        wake_.wait(lock);
        continue;
      }
      const auto first = tasks_.begin();
      if (first->first > std::chrono::steady_clock::now()) {
        const Instant due = first->first;
        wake_.wait_until(lock, due);
        continue;
      }
      auto task = std::move(first->second);
      tasks_.erase(first);
      lock.unlock();
      task();
      lock.lock();
    }
  }
};

Timers::Timers()
  : state_(std::make_unique<State>())
{
  state_->thread_ = std::thread([this] { state_->Run(); });
}

Timers::~Timers()
{
  Stop();
}

void
Timers::Stop()
{
  {
    const std::lock_guard lock(state_->mutex_);
    state_->stopping_ = true;
  }
  state_->wake_.notify_one();
  if (state_->thread_.joinable()) {
    state_->thread_.join();
  }
}

void
Timers::After(Duration aDelay, std::function<void()> aTask)
{
  state_->Add(aDelay, std::move(aTask));
}

void
Timers::Every(Duration aPeriod, std::function<void()> aTask)
{
  state_->Repeat(aPeriod, std::move(aTask));
}

} // namespace marjoramtally
