/// The connection of one process to a shared fake store, with network faults.
#pragma once

#include "fake_store.hpp"

#include <deque>

namespace marjoramtally::test {

/// The store over one process's connection.
class StoreLink final : public Store
{
public:
  StoreLink(FakeStore& aStore, LoopTimers& aTimers)
    : store_(aStore)
    , timers_(aTimers)
  {
  }

  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override;
  void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) override;
  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override;
  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override;
  void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) override;
  StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) override;
  void StopWatch(StoreWatchId aWatch) override;

  /// While the link is cut, calls are not executed and time out, as do calls in
  /// progress. Watches receive their events once the link is restored.
  void SetCut(bool aCut);
  /// Delays the events of watches, as an unresponsive relay does.
  void SetLag(Duration aLag) { lag_ = aLag; }
  /// Ends all watches, as a store does whose history is compacted.
  void LoseHistory();

  /// Called for each lease that was granted or renewed, with its expiry time.
  std::function<void(StoreLeaseId, TimePoint)> onLease_;
  std::function<TimePoint()> now_;

private:
  struct OwnWatch
  {
    StoreWatchId inner_ = 0;
    std::function<void(const StoreWatchBatch&)> onBatch_;
    std::deque<StoreWatchBatch> queued_;
  };

  template<typename T>
  StoreDone<T> UnlessCut(StoreDone<T> aDone);
  void Deliver(StoreWatchId aId);
  /// Interrupts all watches if the cut with this number still lasts.
  void Interrupt(std::uint64_t aCuts);

  FakeStore& store_;
  LoopTimers& timers_;
  bool cut_ = false;
  /// Number of calls of `SetCut`.
  std::uint64_t cuts_ = 0;
  Duration lag_{ 0 };
  StoreWatchId last_ = 0;
  std::map<StoreWatchId, OwnWatch> watches_;
};

} // namespace marjoramtally::test
