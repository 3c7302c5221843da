/// A relay's answers to peers that request changes.
#pragma once

#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/watch_history.hpp"
#include "marjoramtally/runtime/watch_messages.hpp"

#include <functional>
#include <map>
#include <optional>

namespace marjoramtally {

/// @returns this process's history of a prefix; nullptr if it does not watch
/// the prefix at the store
using HistoryOf =
  std::function<const WatchHistory*(const std::string& aPrefix)>;

/// Answers the requests of peers, which wait until there is a change. Used on
/// one loop.
class RelayAnswers
{
public:
  /// All arguments outlive this.
  RelayAnswers(LoopTimers& aTimers, const Clock& aClock, HistoryOf aHistory);

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
    std::uint64_t after_ = 0;
    bool inflates_ = false;
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

  /// @returns why a peer that knows all changes up to a revision cannot be
  /// answered from a history; nothing if it can
  [[nodiscard]] std::optional<Error> RefusalOf(const WatchHistory* aHistory,
                                               std::uint64_t aAfter) const;
  /// @returns an encoded batch of the changes after a revision, with the age of
  /// the history's last confirmation
  [[nodiscard]] const std::string& AnswerFor(const std::string& aPrefix,
                                             const WatchHistory& aHistory,
                                             std::uint64_t aAfter,
                                             bool aDeflated);
  void Complete(const std::string& aPrefix, std::uint64_t aNumber);

  LoopTimers& timers_;
  const Clock& clock_;
  HistoryOf history_;
  std::uint64_t lastRequest_ = 0;
  std::map<std::string, std::map<std::uint64_t, PendingRequest>> pending_;
  Answer lastAnswer_;
};

} // namespace marjoramtally
