/// A store whose watches go through relays, which are other processes, where
/// the relay plan assigns any. Serves the watches of this process to its peers.
/// Complete reads of a watched prefix go through relays as well; other reads
/// and writes go to the store directly.
#pragma once

#include "daemon/relay_answers.hpp"
#include "daemon/relay_reading.hpp"
#include "marjoramtally/base/backoff.hpp"
#include "marjoramtally/process/relay_plan.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/prefix_mirror.hpp"
#include "marjoramtally/runtime/store.hpp"
#include "marjoramtally/runtime/watch_history.hpp"

#include <map>
#include <set>

namespace marjoramtally {

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
  void ReadAgain(std::string aPrefix, StoreDone<StoreRange> aDone) override;
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

  /// Answers a peer with an encoded batch: immediately if there are changes,
  /// else at the next change or when the requested wait ends.
  void Serve(const WatchAsk& aAsk, StoreDone<std::string> aDone)
  {
    answers_.Serve(aAsk, std::move(aDone));
  }

private:
  /// One watch of this process, through relays or directly at the store.
  struct OwnWatch
  {
    std::string prefix_;
    std::uint64_t after_ = 0;
    std::function<void(const StoreWatchBatch&)> onBatch_;
    /// The watch at the store, while this process watches directly; else 0.
    StoreWatchId direct_ = 0;
    /// When to use relays again.
    TimePoint directUntil_;
    /// Changes received from the direct watch, for peers.
    WatchHistory history_;
    std::size_t nextRelay_ = 0;
    /// Number of consecutive relays that refused.
    std::size_t refusals_ = 0;
    /// Since when no relay has confirmed this watch.
    TimePoint unconfirmedSince_;
    std::uint64_t round_ = 0;
    /// Queries the backup relay.
    LoopTimerId backupTimer_ = 0;
    /// The last answer of a relay exceeded `kLargeAnswerBytes`.
    bool largeAnswers_ = false;
    /// A relay has refused since the last confirmation because its history does
    /// not cover `after_`.
    bool historyLost_ = false;
    /// When the store or a relay last confirmed this watch.
    TimePoint confirmedAt_;
  };

  /// Wraps the callback of a call so that a successful answer is noted.
  template<typename T>
  [[nodiscard]] StoreDone<T> Noting(StoreDone<T> aDone);
  /// The store answers this process: lets the watches probe it soon, should
  /// they wait for its return.
  void OnStoreAnswer();
  /// Reads a store range of a prefix that is watched afterwards.
  using ReadStore = void (Store::*)(std::string, StoreDone<StoreRange>);
  void ReadWatched(const std::string& aPrefix,
                   ReadStore aReadStore,
                   StoreDone<StoreRange> aDone);
  void ReadFromStore(const std::string& aPrefix,
                     ReadStore aReadStore,
                     StoreDone<StoreRange> aDone);
  /// Loads the mirror of a prefix that this process began to relay after it had
  /// read the records elsewhere.
  /// @returns whether a peer should wait for it, or for the first read
  bool LoadMirror(const std::string& aPrefix);
  void OnLoaded(const std::string& aPrefix, const Result<StoreRange>& aRange);
  void Open(StoreWatchId aId);
  void ReopenAfterDelay(StoreWatchId aId);
  /// Handles that no relay confirms a watch: ends it if a relay has lost the
  /// history, else watches directly or retries later.
  void OnUnconfirmed(StoreWatchId aId);
  /// Notifies the watcher that no source confirms its state.
  void NotifyInterrupted(StoreWatchId aId);
  void OpenDirect(StoreWatchId aId);
  void OnDirect(StoreWatchId aId, const StoreWatchBatch& aBatch);
  void QueryRelay(StoreWatchId aId, const std::string& aAddress);
  /// Queries a second relay if the first has not answered yet.
  void QueryBackup(StoreWatchId aId, std::uint64_t aRound);
  void OnBackupAnswer(StoreWatchId aId, const Result<StoreWatchBatch>& aBatch);
  void OnRelay(StoreWatchId aId, const Result<StoreWatchBatch>& aBatch);
  /// Delivers the changes of a batch that are not known here yet. Two sources
  /// may send the same ones.
  void Deliver(StoreWatchId aId, const StoreWatchBatch& aBatch);
  /// Records that a source confirmed a watch, and logs a long gap before it.
  void OnConfirmed(OwnWatch& aOwn, std::string_view aSource);
  [[nodiscard]] OwnWatch* Find(StoreWatchId aId);
  [[nodiscard]] OwnWatch* FindDirect(const std::string& aPrefix);
  /// @returns what peers are answered from: the mirror of a prefix, else the
  /// history of its direct watch; nullptr if there is none
  [[nodiscard]] const ChangeSource* SourceOfServed(const std::string& aPrefix);

  Store& store_;
  LoopTimers& timers_;
  const Clock& clock_;
  QueryPeer queryPeer_;
  RelaysOf relays_;
  /// While the store does not answer this process, no direct watch is opened
  /// before this time; relays or other calls may report its return sooner.
  /// Zero: the store answers.
  TimePoint nextProbeAt_;
  /// When a direct watch last probed the store.
  TimePoint probedAt_;
  /// When the store last answered another call than a watch.
  TimePoint answeredAt_;
  Backoff probeDelays_;
  /// The watch that probes the store on behalf of all watches.
  StoreWatchId probingWatch_ = 0;
  StoreWatchId last_ = 0;
  std::map<StoreWatchId, OwnWatch> watches_;
  /// Mirrors of the prefixes that this process relays.
  std::map<std::string, PrefixMirror> mirrors_;
  /// Prefixes whose mirrors are being loaded.
  std::set<std::string> loading_;
  RelayReading reading_;
  RelayAnswers answers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace marjoramtally
