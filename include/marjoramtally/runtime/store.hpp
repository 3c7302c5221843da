/// Interface to the platform's key-value store.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace marjoramtally {

/// Identifies a lease of the store; 0 is none.
using StoreLeaseId = std::int64_t;

struct StoreRecord
{
  std::string key_;
  std::string value_;
  std::uint64_t createRevision_ = 0;
  std::uint64_t modRevision_ = 0;
  StoreLeaseId lease_ = 0;
};

/// Records under a prefix and the revision at which they were read.
struct StoreRange
{
  std::uint64_t revision_ = 0;
  std::vector<StoreRecord> records_;
};

/// True if the key's last modification has this revision; 0 requires that the
/// key does not exist.
struct StoreCompare
{
  std::string key_;
  std::uint64_t modRevision_ = 0;
};

/// Writes one key.
struct StorePut
{
  std::string key_;
  std::string value_;
  StoreLeaseId lease_ = 0;
};

/// All puts and deletes take effect atomically if all compares hold.
struct StoreTxn
{
  std::vector<StoreCompare> compares_;
  std::vector<StorePut> puts_;
  std::vector<std::string> deletes_;
};

/// Result of a transaction.
struct StoreCommit
{
  bool applied_ = false;
  std::uint64_t revision_ = 0;
};

/// One change seen by a watch.
struct StoreEvent
{
  bool deleted_ = false;
  StoreRecord record_;
};

/// Reports changes to a watcher, or that the watch ended; the watcher must then
/// read again and open a new watch.
struct StoreWatchBatch
{
  bool ended_ = false;
  /// The watch continues, but nothing was received for a while. Only some
  /// stores report this, and only they send batches without events, which state
  /// that nothing changed up to their revision.
  bool interrupted_ = false;
  std::uint64_t revision_ = 0;
  std::vector<StoreEvent> events_;
  /// Time since the store confirmed this state. Relays add their own ages, so
  /// that no clocks are compared.
  Duration age_{ 0 };
  /// Greater than the revision if a relay knows more changes than it sent.
  std::uint64_t latest_ = 0;
};

struct StoreLease
{
  StoreLeaseId id_ = 0;
  Duration ttl_{ 0 };
};

template<typename T>
using StoreDone = std::function<void(Result<T>)>;
using StoreWatchId = std::uint64_t;

/// The store. An `Unavailable` error proves that a write took no effect; after
/// any other error it may have taken effect.
class Store
{
public:
  virtual ~Store() = default;
  /// Reads all records whose key starts with the prefix.
  virtual void Read(std::string aPrefix, StoreDone<StoreRange> aDone) = 0;
  /// Reads all records under the prefix as of a revision that may be some
  /// seconds old, for callers that then watch the changes from that revision
  /// on. Cheaper if the store can answer without looking up the newest
  /// revision.
  virtual void ReadEarlier(std::string aPrefix, StoreDone<StoreRange> aDone)
  {
    Read(std::move(aPrefix), std::move(aDone));
  }
  /// Reads all records under the prefix again after a watch of it ended.
  virtual void ReadAgain(std::string aPrefix, StoreDone<StoreRange> aDone)
  {
    Read(std::move(aPrefix), std::move(aDone));
  }
  /// Reads the records under the prefix whose keys are greater than a key.
  virtual void ReadAfter(std::string aPrefix,
                         std::string aAfter,
                         StoreDone<StoreRange> aDone);
  virtual void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) = 0;
  virtual void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) = 0;
  virtual void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) = 0;
  virtual void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) = 0;
  /// Watches a prefix from a revision on. `aOnBatch` is called until a batch
  /// with `ended_` or until `StopWatch`.
  virtual StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) = 0;
  virtual void StopWatch(StoreWatchId aWatch) = 0;
};

} // namespace marjoramtally
