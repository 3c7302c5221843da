#include "marjoramtally/runtime/loop_timers.hpp"

#include "marjoramtally/runtime/io_pool.hpp"
#include "runtime/io_loop.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <unordered_map>

namespace marjoramtally {

namespace {

/// State shared by the loop's timers and the handler of the one kernel timer.
struct TimerState : std::enable_shared_from_this<TimerState>
{
  using Instant = std::chrono::steady_clock::time_point;
  /// Ids increase, so that timers due at the same time run in the order in
  /// which they were set.
  using TimerKey = std::pair<Instant, LoopTimerId>;

  explicit TimerState(asio::io_context& aContext)
    : timer_(aContext)
  {
  }

  /// Arms the kernel timer unless it already expires early enough.
  void Arm()
  {
    if (tasks_.empty() || tasks_.begin()->first.first >= armed_) {
      return;
    }
    armed_ = tasks_.begin()->first.first;
    timer_.expires_at(armed_);
    timer_.async_wait(
      [self = shared_from_this()](const asio::error_code& aError) {
        if (!aError) {
          self->armed_ = Instant::max();
          self->RunDue();
          self->Arm();
        }
      });
  }

  void RunDue()
  {
    const Instant now = std::chrono::steady_clock::now();
    while (!tasks_.empty() && tasks_.begin()->first.first <= now) {
      auto node = tasks_.extract(tasks_.begin());
      dueTimes_.erase(node.key().second);
      node.mapped()();
    }
  }

  asio::steady_timer timer_;
  Instant armed_ = Instant::max();
  LoopTimerId last_ = 0;
  std::map<TimerKey, std::function<void()>> tasks_;
  std::unordered_map<LoopTimerId, Instant> dueTimes_;
};

class AsioTimers final : public LoopTimers
{
public:
  AsioTimers(IoPool& aPool, std::size_t aIndex)
    : state_(std::make_shared<TimerState>(aPool.Loop(aIndex).Context()))
  {
  }

  ~AsioTimers() override
  {
    state_->tasks_.clear();
    state_->dueTimes_.clear();
  }

  LoopTimerId After(Duration aDelay, std::function<void()> aTask) override
  {
    const auto due = std::chrono::steady_clock::now() + aDelay;
    const LoopTimerId id = ++state_->last_;
    state_->tasks_.emplace(TimerState::TimerKey{ due, id }, std::move(aTask));
    state_->dueTimes_.emplace(id, due);
    state_->Arm();
    return id;
  }

  void Cancel(LoopTimerId aTimer) override
  {
    const auto due = state_->dueTimes_.find(aTimer);
    if (due != state_->dueTimes_.end()) {
      state_->tasks_.erase(TimerState::TimerKey{ due->second, aTimer });
      state_->dueTimes_.erase(due);
    }
  }

private:
  std::shared_ptr<TimerState> state_;
};

} // namespace

std::unique_ptr<LoopTimers>
LoopTimers::Create(IoPool& aPool, std::size_t aIndex)
{
  return std::make_unique<AsioTimers>(aPool, aIndex);
}

LoopTimerId
ManualTimers::After(Duration aDelay, std::function<void()> aTask)
{
  const LoopTimerId id = ++last_;
  tasks_.emplace(TimerKey{ clock_.Now() + aDelay, id }, std::move(aTask));
  return id;
}

void
ManualTimers::Cancel(LoopTimerId aTimer)
{
  std::erase_if(tasks_, [aTimer](const auto& aTask) {
    return aTask.first.second == aTimer;
  });
}

void
ManualTimers::Advance(Duration aDelta)
{
  const TimePoint end = clock_.Now() + aDelta;
  while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
    auto node = tasks_.extract(tasks_.begin());
    clock_.Advance(node.key().first - clock_.Now());
    node.mapped()();
  }
  clock_.Advance(end - clock_.Now());
}

} // namespace marjoramtally
