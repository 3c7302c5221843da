/// Reads all records under a prefix from relays, which are other processes.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/store.hpp"
#include "marjoramtally/runtime/watch_messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marjoramtally {

/// Requests changes from a peer; `aDone` runs on the loop.
using QueryPeer = std::function<void(const std::string& aAddress,
                                     const WatchAsk& aAsk,
                                     StoreDone<StoreWatchBatch> aDone)>;

/// @returns the addresses of a prefix's relays, in order of preference; empty
/// if this process watches the prefix at the store
using RelaysOf =
  std::function<const std::vector<std::string>&(const std::string& aPrefix)>;

/// Readings by parts. What a fleet reads at a common start grows with the
/// square of its size; the store would send all of it over one link. Used on
/// one loop.
class RelayReading
{
public:
  /// All arguments outlive this.
  RelayReading(LoopTimers& aTimers,
               const Clock& aClock,
               QueryPeer aQueryPeer,
               RelaysOf aRelays);
  ~RelayReading();
  RelayReading(const RelayReading&) = delete;
  RelayReading& operator=(const RelayReading&) = delete;

  /// @param aDone gets an error if the relays cannot provide the records; they
  /// must then be read from the store
  void Read(std::string aPrefix, StoreDone<StoreRange> aDone);

private:
  using ReadingId = std::uint64_t;

  struct Reading
  {
    std::string prefix_;
    StoreDone<StoreRange> done_;
    std::map<std::string, StoreRecord> records_;
    /// All changes up to this revision are received.
    std::uint64_t after_ = 0;
    /// The records are complete once they include this revision; 0: not known.
    std::uint64_t until_ = 0;
    std::size_t nextRelay_ = 0;
    /// Number of the current query; answers to earlier ones are ignored.
    std::uint64_t round_ = 0;
    /// Number of consecutive relays that refused.
    std::size_t refusals_ = 0;
    TimePoint startedAt_;
    /// When the last part was received.
    TimePoint progressAt_;
    /// When a relay last sent a part or told that it loads the records.
    TimePoint heardAt_;
    std::size_t parts_ = 0;
  };

  void Query(ReadingId aId);
  void OnAnswer(ReadingId aId, const Result<StoreWatchBatch>& aBatch);
  void OnRefusal(ReadingId aId, const Error& aError);
  void QueryNext(ReadingId aId);
  /// @returns whether the records should be read from the store instead
  [[nodiscard]] bool IsStalled(const Reading& aReading) const;
  void Finish(ReadingId aId, Result<StoreRange> aRange);

  LoopTimers& timers_;
  const Clock& clock_;
  QueryPeer queryPeer_;
  RelaysOf relays_;
  ReadingId last_ = 0;
  std::map<ReadingId, Reading> readings_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace marjoramtally
