/// Local copy of the store's records that change at run time. A few instances
/// of a zone watch the store; the others read the groups that these report as
/// changed.
#pragma once

#include "daemon/settings.hpp"
#include "marjoramtally/process/lease.hpp"
#include "marjoramtally/runtime.hpp"

#include <map>
#include <mutex>

namespace marjoramtally {

/// Records by key.
using LiveRecordMap = std::map<std::string, StoreRecord>;

/// Keeps a copy of the records under one prefix. Thread-safe.
class LiveRecords
{
public:
  using Listener = std::function<void(const LiveRecordMap&)>;
  /// Called with a group of records and the revision at which it changed.
  using ChangeListener =
    std::function<void(const std::string& aGroup, std::uint64_t aRevision)>;

  /// All arguments outlive this.
  /// @param aGroups prefixes that are read separately after a hint
  LiveRecords(const DaemonSettings& aSettings,
              Store& aStore,
              Timers& aTimers,
              std::string aPrefix,
              std::vector<std::string> aGroups);

  /// Set before `Start`.
  Listener onRecords_;
  ChangeListener onChange_;
  /// @returns whether this process watches the store; it does if this is empty
  std::function<bool()> shouldWatch_;

  void Start();
  /// Reads all records now.
  void ReadAll();
  /// Handles a peer's report that a group changed: reads it if it is not known
  /// up to that revision.
  void OnHint(const std::string& aGroup, std::uint64_t aRevision);

private:
  void Step();
  bool IsKnown(const std::string& aGroup, std::uint64_t aRevision);
  void Read(const std::string& aPrefix);
  void OnRead(const std::string& aPrefix, const StoreRange& aRange);
  void OpenWatch();
  void OnBatch(const StoreWatchBatch& aBatch);
  void OnWatchEnded();
  void NotifyRecords();

  const DaemonSettings& settings_;
  Store& store_;
  Timers& timers_;
  std::string prefix_;
  std::vector<std::string> groups_;
  SystemClock clock_;
  mutable std::mutex mutex_;
  LiveRecordMap records_;
  /// Revision up to which the records of each prefix are known.
  std::map<std::string, std::uint64_t> knownRevisions_;
  std::uint64_t revision_ = 0;
  Backoff backoff_;
  Random random_;
  bool complete_ = false;
  bool reading_ = false;
  bool watching_ = false;
  StoreWatchId watch_ = 0;
  TimePoint nextRead_;
};

} // namespace marjoramtally
