#include "marjoramtally/runtime/io_pool.hpp"

#include "runtime/io_loop.hpp"

#include <asio/steady_timer.hpp>
#include <map>

namespace marjoramtally {

struct LoopTimers::State : std::enable_shared_from_this<State>
{
  using Instant = std::chrono::steady_clock::time_point;
  /// Ids grow, so that timers due at once run in the order they were set.
  using Place = std::pair<Instant, LoopTimerId>;

  explicit State(asio::io_context& aContext)
    : timer_(aContext)
  {
  }

  /// A wake-up that comes early enough for all is left as it is.
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
      places_.erase(node.key().second);
      node.mapped()();
    }
  }

  asio::steady_timer timer_;
  Instant armed_ = Instant::max();
  LoopTimerId last_ = 0;
  std::map<Place, std::function<void()>> tasks_;
  std::map<LoopTimerId, Instant> places_;
};

LoopTimers::LoopTimers(IoPool& aPool, std::size_t aIndex)
  : state_(std::make_shared<State>(aPool.Loop(aIndex).Context()))
{
}

LoopTimers::~LoopTimers()
{
  state_->tasks_.clear();
  state_->places_.clear();
}

LoopTimerId
LoopTimers::After(Duration aDelay, std::function<void()> aTask)
{
  const auto due = std::chrono::steady_clock::now() + aDelay;
  const LoopTimerId id = ++state_->last_;
  state_->tasks_.emplace(State::Place{ due, id }, std::move(aTask));
  state_->places_.emplace(id, due);
  state_->Arm();
  return id;
}

void
LoopTimers::Cancel(LoopTimerId aTimer)
{
  const auto place = state_->places_.find(aTimer);
  if (place != state_->places_.end()) {
    state_->tasks_.erase(State::Place{ place->second, aTimer });
    state_->places_.erase(place);
  }
}

} // namespace marjoramtally
