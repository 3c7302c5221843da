/// Discrete-event loop of the benches; its clock jumps from event to event.
#pragma once

#include "marjoramtally/base.hpp"

#include <functional>
#include <queue>
#include <vector>

namespace marjoramtally::bench {

/// Runs actions in the order of their times, and in the order of scheduling
/// where times are equal. Not thread-safe.
class EventLoop
{
public:
  using Action = std::function<void()>;

  [[nodiscard]] TimePoint Now() const noexcept { return now_; }

  /// Schedules an action; a time in the past means now.
  void At(TimePoint aTime, Action aAction)
  {
    events_.push({ std::max(aTime, now_), ++lastOrder_, std::move(aAction) });
  }

  void After(Duration aDelay, Action aAction)
  {
    At(now_ + aDelay, std::move(aAction));
  }

  /// Repeats an action with a period until the end of the run.
  void Every(Duration aPeriod, const Action& aAction)
  {
    After(aPeriod, [this, aPeriod, aAction] {
      aAction();
      Every(aPeriod, aAction);
    });
  }

  /// Runs all events up to and including a time and sets the clock to it.
  void RunUntil(TimePoint aEnd)
  {
    while (!events_.empty() && events_.top().at_ <= aEnd) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at_;
      event.action_();
    }
    now_ = aEnd;
  }

private:
  struct Event
  {
    TimePoint at_;
    std::uint64_t order_ = 0;
    Action action_;
    bool operator<(const Event& aOther) const noexcept
    {
      return at_ == aOther.at_ ? order_ > aOther.order_ : at_ > aOther.at_;
    }
  };

  TimePoint now_;
  std::uint64_t lastOrder_ = 0;
  std::priority_queue<Event> events_;
};

} // namespace marjoramtally::bench
