/// A relay's answers to peers that request changes.
#pragma once

#include "marjoramtally/runtime/change_source.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/watch_messages.hpp"

#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace marjoramtally {

/// @returns the changes of a prefix that this process holds; nullptr if it does
/// not watch the prefix at the store
using SourceOf = std::function<const ChangeSource*(const std::string& aPrefix)>;

/// Reads all records of a prefix that this process relays, unless it does so
/// already, so that peers can read them here.
/// @returns whether peers should wait for them; false if they are held, or this
/// process is no relay
using LoadRecords = std::function<bool(const std::string& aPrefix)>;

/// Answers the requests of peers, which wait until there is a change. Used on
/// one loop.
class RelayAnswers
{
public:
  /// All arguments outlive this.
  RelayAnswers(LoopTimers& aTimers,
               const Clock& aClock,
               SourceOf aSource,
               LoadRecords aLoad);

  ~RelayAnswers();
  RelayAnswers(const RelayAnswers&) = delete;
  RelayAnswers& operator=(const RelayAnswers&) = delete;

  /// Answers a peer with an encoded batch: immediately if there are changes,
  /// else at the next change or when the requested wait ends.
  void Serve(const WatchAsk& aAsk, StoreDone<std::string> aDone);
  /// Answers the pending requests for a prefix that have changes now, or for
  /// which the history is no longer confirmed.
  void NotifyChange(const std::string& aPrefix);
  /// Fails the pending requests for a prefix with `Conflict`: the peers must
  /// read all records again.
  void FailAll(const std::string& aPrefix);

private:
  /// A request that waits for a change.
  struct PendingRequest
  {
    WatchAsk ask_;
    StoreDone<std::string> done_;
    LoopTimerId timer_ = 0;
  };

  /// The last encoded answer. Waiting peers mostly know the same revision and
  /// get the same answer.
  struct Answer
  {
    std::string prefix_;
    std::uint64_t after_ = 0;
    bool deflated_ = false;
    std::uint64_t revision_ = 0;
    TimePoint encodedAt_;
    std::string bytes_;
  };
  /// An encoded part of all records.
  struct Part
  {
    TimePoint encodedAt_;
    std::string bytes_;
  };
  /// Prefix, revision after which the part begins, whether it is deflated.
  using PartKey = std::tuple<std::string, std::uint64_t, bool>;

  /// @returns whether the peer reads all records instead of watching changes
  [[nodiscard]] static bool Reads(const WatchAsk& aAsk) noexcept
  {
    return aAsk.after_ == 0 || aAsk.removalsAfter_ != 0;
  }
  /// @returns why a request cannot be answered from a source; nothing if it can
  [[nodiscard]] std::optional<Error> RefusalOf(const ChangeSource* aSource,
                                               const WatchAsk& aAsk) const;
  /// @returns whether the answer must wait until all records are loaded
  [[nodiscard]] bool AwaitsLoad(const ChangeSource* aSource,
                                const WatchAsk& aAsk) const;
  /// @returns an encoded batch of the changes that the peer lacks, with the age
  /// of the source's last confirmation
  [[nodiscard]] const std::string& AnswerFor(const WatchAsk& aAsk,
                                             const ChangeSource& aSource);
  /// @returns an encoded part of all records; nullptr if the rest fits into one
  /// answer, which is not kept
  [[nodiscard]] const std::string* PartFor(const WatchAsk& aAsk,
                                           const ChangeSource& aSource);
  void DropOldParts(TimePoint aNow);
  void Complete(const std::string& aPrefix, std::uint64_t aNumber);

  LoopTimers& timers_;
  const Clock& clock_;
  SourceOf source_;
  LoadRecords load_;
  std::uint64_t lastRequest_ = 0;
  std::map<std::string, std::map<std::uint64_t, PendingRequest>> pending_;
  Answer lastAnswer_;
  std::map<PartKey, Part> parts_;
};

} // namespace marjoramtally
