#include "marjoramtally/runtime/io_pool.hpp"

#include "runtime/io_loop.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace marjoramtally {

namespace {

/// The loop that the current thread runs.
struct CurrentLoop
{
  const IoPool* pool_ = nullptr;
  std::size_t index_ = 0;
};

thread_local CurrentLoop gCurrentLoop;

class ThreadPool final : public IoPool
{
public:
  explicit ThreadPool(std::uint32_t aThreads)
  {
    for (std::uint32_t i = 0; i < std::max(aThreads, 1U); ++i) {
      loops_.push_back(std::make_unique<IoLoop>());
    }
    for (std::size_t i = 0; i < loops_.size(); ++i) {
      threads_.emplace_back([this, i] {
        gCurrentLoop = { this, i };
        loops_[i]->Context().run();
      });
    }
  }

  ~ThreadPool() override { Stop(); }

  [[nodiscard]] std::size_t Size() const noexcept override
  {
    return loops_.size();
  }

  [[nodiscard]] IoLoop& Loop(std::size_t aIndex) noexcept override
  {
    return *loops_[aIndex];
  }

  [[nodiscard]] std::size_t Pick() noexcept override
  {
    return gCurrentLoop.pool_ == this ? gCurrentLoop.index_
                                      : next_++ % loops_.size();
  }

  void Post(std::size_t aIndex, std::function<void()> aTask) override
  {
    asio::post(loops_[aIndex]->Context(), std::move(aTask));
  }

  void Stop() override
  {
    const std::lock_guard lock(mutex_);
    for (const auto& loop : loops_) {
      loop->Context().stop();
    }
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

private:
  std::vector<std::unique_ptr<IoLoop>> loops_;
  std::atomic<std::size_t> next_{ 0 };
  std::mutex mutex_;
  std::vector<std::thread> threads_;
};

} // namespace

std::shared_ptr<IoPool>
IoPool::Create(std::uint32_t aThreads)
{
  return std::make_shared<ThreadPool>(aThreads);
}

} // namespace marjoramtally
