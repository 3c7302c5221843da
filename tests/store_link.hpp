/// The store as each of several processes reaches it, with faults on the way.
#pragma once

#include "fake_store.hpp"

#include <deque>

namespace marjoramtally::test {

/// The store as one process reaches it.
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

  /// While cut off, calls do nothing and get no answer, those under way get
  /// none, and watches are told once the cut is over.
  void SetCut(bool aCut);
  /// Watches are told this much late, as through a relay that is gone.
  void SetLag(Duration aLag) { lag_ = aLag; }
  /// All watches lose their place.
  void LoseHistory();

  /// Told of each lease that was granted or renewed, with its end.
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
  /// Tells watches that nothing was heard, if the cut of that number lasts.
  void Interrupt(std::uint64_t aCuts);

  FakeStore& store_;
  LoopTimers& timers_;
  bool cut_ = false;
  /// Counts cuts and their ends.
  std::uint64_t cuts_ = 0;
  Duration lag_{ 0 };
  StoreWatchId last_ = 0;
  std::map<StoreWatchId, OwnWatch> watches_;
};

} // namespace marjoramtally::test
