/// Follows the records under a prefix of the store: reads them all, then
/// watches; reads again when the watch lost its place.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/store.hpp"

namespace marjoramtally {

/// Told of the records of one prefix. Used on one loop.
class PrefixFollower
{
public:
  /// All arguments outlive this.
  PrefixFollower(Store& aStore, LoopTimers& aTimers, std::string aPrefix);
  ~PrefixFollower();
  PrefixFollower(const PrefixFollower&) = delete;
  PrefixFollower& operator=(const PrefixFollower&) = delete;

  /// Set before `Start`. Told of a whole reading: what is not in it is gone.
  std::function<void(const StoreRange&)> onSnapshot_;
  /// Told of one change.
  std::function<void(const StoreEvent&)> onChange_;
  /// Told once after all changes of one answer, and after a whole reading.
  std::function<void()> onBatchEnd_;
  /// Told how old the knowledge is that a source of the watch vouched for just
  /// now, after the changes it brought.
  std::function<void(Duration)> onConfirmed_;
  /// Told that no source vouches for what is known, until one does again.
  std::function<void()> onInterrupted_;
  /// Told why a reading failed.
  std::function<void(const Error&)> onFailure_;

  /// @param aFirstWatchDelay the first watch opens no sooner than this after
  /// the start; what changes until then is told by it
  void Start(Duration aFirstWatchDelay = Duration{ 0 });
  void Stop();

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace marjoramtally
