/// An in-memory store on manual timers, with injected faults.
#pragma once

#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <map>
#include <utility>

namespace marjoramtally::test {

/// How the store fails.
enum class StoreFault
{
  None,
  /// Commits are not executed, and all calls fail.
  Refuses,
  /// Commits are executed, but all calls time out.
  LosesAnswers,
  /// Commits are not executed, and all calls time out.
  Unresponsive,
  /// Commits are executed, but all calls fail as if nothing had been done.
  ExecutesAndRefuses,
};

/// Records, leases and watches. Each call is answered after `delay_`.
class FakeStore final : public Store
{
public:
  explicit FakeStore(LoopTimers& aTimers)
    : timers_(aTimers)
  {
  }

  StoreFault fault_ = StoreFault::None;
  /// Watches receive no events while this is set.
  bool dropsEvents_ = false;
  std::size_t commits_ = 0;
  /// Number of calls of `ReadEarlier`.
  std::size_t earlierReads_ = 0;
  /// Revision that `ReadEarlier` returns, with no records; 0: the latest
  /// revision with its records.
  std::uint64_t earlierRevision_ = 0;
  std::size_t openedWatches_ = 0;
  /// Revision at which the last watch of each prefix started.
  std::map<std::string, std::uint64_t> watchedFrom_;
  /// Number of next commits that are refused.
  std::size_t refusals_ = 0;
  /// Number of the commit that is refused, counted from 1; 0: none.
  std::size_t refuseCommit_ = 0;
  /// If not 0, the next commit gets no answer and is executed after this time,
  /// if its condition still holds.
  Duration nextCommitAfter_{ 0 };
  /// Number of calls of `Read`, including those made by `ReadEarlier`.
  std::size_t reads_ = 0;
  /// Reads of exactly this prefix are refused.
  std::string unreadable_;
  /// Time until each call is answered.
  Duration delay_ = std::chrono::milliseconds(4);
  std::map<std::string, StoreRecord> records_;

  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    ++reads_;
    if (aPrefix == unreadable_) {
      timers_.After(delay_, [done = std::move(aDone)] {
        done(Error{ ErrorKind::Unavailable, "refused" });
      });
      return;
    }
    StoreRange range{ revision_, {} };
    for (const auto& [key, record] : records_) {
      if (key.starts_with(aPrefix)) {
        range.records_.push_back(record);
      }
    }
    Answer<StoreRange>(std::move(range), std::move(aDone));
  }

  void ReadEarlier(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    ++earlierReads_;
    if (earlierRevision_ != 0) {
      Answer<StoreRange>(StoreRange{ earlierRevision_, {} }, std::move(aDone));
    } else {
      Read(std::move(aPrefix), std::move(aDone));
    }
  }

  void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) override
  {
    ++commits_;
    if (refusals_ > 0 || commits_ == refuseCommit_) {
      refusals_ -= refusals_ > 0 ? 1 : 0;
      timers_.After(delay_, [done = std::move(aDone)] {
        done(Error{ ErrorKind::Unavailable, "refused" });
      });
      return;
    }
    if (nextCommitAfter_ > Duration{ 0 }) {
      timers_.After(std::exchange(nextCommitAfter_, Duration{ 0 }),
                    [this, txn = std::move(aTxn)] {
                      Commit(txn, [](const Result<StoreCommit>&) {});
                    });
      timers_.After(delay_, [done = std::move(aDone)] {
        done(Error{ ErrorKind::Timeout, "no answer" });
      });
      return;
    }
    if (fault_ == StoreFault::Refuses || fault_ == StoreFault::Unresponsive) {
      Answer<StoreCommit>(StoreCommit{}, std::move(aDone));
      return;
    }
    for (const StoreCompare& compare : aTxn.compares_) {
      const auto it = records_.find(compare.key_);
      const std::uint64_t found =
        it == records_.end() ? 0 : it->second.modRevision_;
      if (found != compare.modRevision_) {
        Answer<StoreCommit>(StoreCommit{ false, revision_ }, std::move(aDone));
        return;
      }
    }
    ++revision_;
    std::vector<StoreEvent> events;
    for (const StorePut& put : aTxn.puts_) {
      StoreRecord& record = records_[put.key_];
      record.key_ = put.key_;
      record.value_ = put.value_;
      record.modRevision_ = revision_;
      record.lease_ = put.lease_;
      events.push_back({ false, record });
    }
    for (const std::string& key : aTxn.deletes_) {
      Erase(key, events);
    }
    SendEvents(events);
    Answer<StoreCommit>(StoreCommit{ true, revision_ }, std::move(aDone));
  }

  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override
  {
    leases_.insert({ ++lastLease_, aTtl });
    Answer<StoreLease>(StoreLease{ lastLease_, aTtl }, std::move(aDone));
  }

  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override
  {
    const auto it = leases_.find(aLease);
    if (it == leases_.end() && fault_ == StoreFault::None) {
      Answer<StoreLease>(Error{ ErrorKind::NotFound, "no such lease" },
                         std::move(aDone));
      return;
    }
    Answer<StoreLease>(
      StoreLease{ aLease, it == leases_.end() ? Duration{} : it->second },
      std::move(aDone));
  }

  void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) override
  {
    ExpireLease(aLease);
    Answer<bool>(true, std::move(aDone));
  }

  StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) override
  {
    watchedFrom_[aPrefix] = aFromRevision;
    ++openedWatches_;
    watches_[++lastWatch_] = { std::move(aPrefix), std::move(aOnBatch) };
    return lastWatch_;
  }

  void StopWatch(StoreWatchId aWatch) override { watches_.erase(aWatch); }

  /// Writes one record from outside, as an operator does.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    ++revision_;
    StoreRecord& record = records_[aKey];
    record = { aKey, aValue, revision_, revision_, 0 };
    SendEvents({ { false, record } });
  }

  void Remove(const std::string& aKey)
  {
    ++revision_;
    std::vector<StoreEvent> events;
    Erase(aKey, events);
    SendEvents(events);
  }

  /// Expires a lease and removes its keys.
  void ExpireLease(StoreLeaseId aLease)
  {
    leases_.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, record] : records_) {
      if (record.lease_ == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
  }

  void ExpireAllLeases()
  {
    const auto leases = leases_;
    for (const auto& [lease, ttl] : leases) {
      ExpireLease(lease);
    }
  }

  /// Sends a batch to all watches of exactly this prefix.
  void SendBatch(const std::string& aPrefix, const StoreWatchBatch& aBatch)
  {
    const auto watches = watches_;
    for (const auto& [id, watch] : watches) {
      if (watch.first == aPrefix) {
        watch.second(aBatch);
      }
    }
  }

  [[nodiscard]] std::size_t CountWatches(const std::string& aPrefix) const
  {
    std::size_t count = 0;
    for (const auto& [id, watch] : watches_) {
      count += watch.first == aPrefix ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] std::uint64_t Revision() const noexcept { return revision_; }
  /// @returns the time to live with which a lease was granted
  [[nodiscard]] Duration TtlOf(StoreLeaseId aLease) const
  {
    return leases_.at(aLease);
  }

private:
  template<typename T>
  void Answer(Result<T> aResult, StoreDone<T> aDone)
  {
    if (fault_ == StoreFault::Refuses ||
        fault_ == StoreFault::ExecutesAndRefuses) {
      aResult = Error{ ErrorKind::Unavailable, "refused" };
    } else if (fault_ != StoreFault::None) {
      aResult = Error{ ErrorKind::Timeout, "no answer" };
    }
    timers_.After(
      delay_,
      [result = std::move(aResult), done = std::move(aDone)] { done(result); });
  }

  void Erase(const std::string& aKey, std::vector<StoreEvent>& aEvents)
  {
    auto node = records_.extract(aKey);
    if (!node.empty()) {
      node.mapped().modRevision_ = revision_;
      aEvents.push_back({ true, node.mapped() });
    }
  }

  void SendEvents(const std::vector<StoreEvent>& aEvents)
  {
    if (dropsEvents_) {
      return;
    }
    const auto watches = watches_;
    for (const auto& [id, watch] : watches) {
      StoreWatchBatch batch;
      batch.revision_ = revision_;
      for (const StoreEvent& event : aEvents) {
        if (event.record_.key_.starts_with(watch.first)) {
          batch.events_.push_back(event);
        }
      }
      if (!batch.events_.empty()) {
        watch.second(batch);
      }
    }
  }

  LoopTimers& timers_;
  std::uint64_t revision_ = 1;
  StoreLeaseId lastLease_ = 0;
  std::map<StoreLeaseId, Duration> leases_;
  StoreWatchId lastWatch_ = 0;
  std::map<StoreWatchId,
           std::pair<std::string, std::function<void(const StoreWatchBatch&)>>>
    watches_;
};

} // namespace marjoramtally::test
