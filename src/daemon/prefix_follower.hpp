/// Follows the records under a prefix of the store: reads them all, watches for
/// changes, and reads them all again if the watch ends.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/store.hpp"

namespace marjoramtally {

/// Reports the records of one prefix through callbacks. Used on one loop.
class PrefixFollower
{
public:
  /// All arguments outlive this.
  PrefixFollower(Store& aStore, LoopTimers& aTimers, std::string aPrefix);
  ~PrefixFollower();
  PrefixFollower(const PrefixFollower&) = delete;
  PrefixFollower& operator=(const PrefixFollower&) = delete;

  /// Set before `Start`. Called with a complete read: records that it does not
  /// contain no longer exist.
  std::function<void(const StoreRange&)> onSnapshot_;
  /// Called for each change.
  std::function<void(const StoreEvent&)> onChange_;
  /// Called once after all changes of one batch, and after a complete read.
  std::function<void()> onBatchEnd_;
  /// Called when a source of the watch confirms that the records are complete,
  /// after the changes it sent, with the age of that confirmation.
  std::function<void(Duration)> onConfirmed_;
  /// Called when no source confirms the records any more, until the next
  /// `onConfirmed_`.
  std::function<void()> onInterrupted_;
  /// Called when a read failed; it is retried.
  std::function<void(const Error&)> onFailure_;

  /// @param aFirstWatchDelay minimum time from the start until the first watch
  /// opens; that watch also reports the changes made until then
  void Start(Duration aFirstWatchDelay = Duration{ 0 });
  void Stop();

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace marjoramtally
