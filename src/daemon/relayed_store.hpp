/// The store with watches that go through other processes where the plan says
/// so, and that serves its own watches to others. Reads and writes go to the
/// store itself.
#pragma once

#include "daemon/relay_answers.hpp"
#include "marjoramtally/base/backoff.hpp"
#include "marjoramtally/process/relay_plan.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <map>

namespace marjoramtally {

/// Asks a peer for changes; the answer comes on the loop.
using QueryPeer = std::function<void(const std::string& aAddress,
                                     const WatchAsk& aAsk,
                                     StoreDone<StoreWatchBatch> aDone)>;

/// @returns addresses of a prefix's relays to ask now, in order
using RelaysOf =
  std::function<const std::vector<std::string>&(const std::string& aPrefix)>;

/// Used on one loop.
class RelayedStore final : public Store
{
public:
  /// All arguments outlive this.
  RelayedStore(Store& aStore,
               LoopTimers& aTimers,
               const Clock& aClock,
               QueryPeer aQueryPeer,
               RelaysOf aRelays);
  ~RelayedStore() override;

  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override;
  void ReadEarlier(std::string aPrefix, StoreDone<StoreRange> aDone) override;
  void ReadAfter(std::string aPrefix,
                 std::string aAfter,
                 StoreDone<StoreRange> aDone) override;
  void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) override;
  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override;
  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override;
  void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) override;
  StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) override;
  void StopWatch(StoreWatchId aWatch) override;

  /// Answers a peer with an encoded batch, at once or when there is a change.
  void Serve(const WatchAsk& aAsk, StoreDone<std::string> aDone)
  {
    answers_.Serve(aAsk, std::move(aDone));
  }

private:
  /// One watch of this process.
  struct OwnWatch
  {
    std::string prefix_;
    std::uint64_t after_ = 0;
    std::function<void(const StoreWatchBatch&)> onBatch_;
    /// The store's watch, while this process watches itself.
    StoreWatchId direct_ = 0;
    /// When to look for a relay again.
    TimePoint directUntil_;
    /// What came over the store's watch, for peers.
    WatchHistory history_;
    std::size_t nextRelay_ = 0;
    /// Relays in a row that answered no.
    std::size_t refusals_ = 0;
    /// Since when no relay has vouched for what is known here.
    TimePoint unconfirmedSince_;
    std::uint64_t round_ = 0;
    /// When a second relay is asked beside the first.
    LoopTimerId backupTimer_ = 0;
    /// The last relay told much.
    bool largeAnswers_ = false;
    /// In this round of relays one held too little history.
    bool historyLost_ = false;
    /// When the store or a relay last vouched for what is known here.
    TimePoint confirmedAt_;
  };

  void Open(StoreWatchId aId);
  void ReopenAfterDelay(StoreWatchId aId);
  /// No relay vouches for what is known here.
  void OnUnconfirmed(StoreWatchId aId);
  /// Tells the watcher that nobody vouches for what it knows.
  void NotifyInterrupted(StoreWatchId aId);
  void OpenDirect(StoreWatchId aId);
  void OnDirect(StoreWatchId aId, const StoreWatchBatch& aBatch);
  void QueryRelay(StoreWatchId aId, const std::string& aAddress);
  /// Asks a second relay for what the first has not told yet.
  void QueryBackup(StoreWatchId aId, std::uint64_t aRound);
  void OnBackupAnswer(StoreWatchId aId, const Result<StoreWatchBatch>& aBatch);
  void OnRelay(StoreWatchId aId, const Result<StoreWatchBatch>& aBatch);
  /// Tells of changes that are not known here yet: two sources tell of the
  /// same ones.
  void Deliver(StoreWatchId aId, const StoreWatchBatch& aBatch);
  /// Notes that a source vouched for what is known here, and tells for how
  /// long none had.
  void OnConfirmed(OwnWatch& aOwn, std::string_view aSource);
  [[nodiscard]] OwnWatch* Find(StoreWatchId aId);
  /// @returns what the store's own watch of a prefix told; nullptr if there is
  /// none
  [[nodiscard]] const WatchHistory* HistoryOfServed(
    const std::string& aPrefix) const;

  Store& store_;
  LoopTimers& timers_;
  const Clock& clock_;
  QueryPeer queryPeer_;
  RelaysOf relays_;
  /// The store did not answer here; it is not asked for watches before this
  /// time, as long as relays may say when it is back.
  TimePoint nextProbeAt_;
  Backoff probeDelays_;
  /// The watch that tries the store for all of this process.
  StoreWatchId probingWatch_ = 0;
  StoreWatchId last_ = 0;
  std::map<StoreWatchId, OwnWatch> watches_;
  RelayAnswers answers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace marjoramtally
