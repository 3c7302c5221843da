/// What a relay answers to the peers that ask it for changes.
#pragma once

#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/watch_history.hpp"
#include "marjoramtally/runtime/watch_messages.hpp"

#include <functional>
#include <map>
#include <optional>

namespace marjoramtally {

/// @returns what this process holds of a prefix; nullptr if it does not watch
/// it at the store
using HistoryOf =
  std::function<const WatchHistory*(const std::string& aPrefix)>;

/// Peers that wait. Used on one loop.
class RelayAnswers
{
public:
  /// All arguments outlive this.
  RelayAnswers(LoopTimers& aTimers, const Clock& aClock, HistoryOf aHistory);

  /// Answers a peer with an encoded batch, at once or when there is a change.
  void Serve(const WatchAsk& aAsk, StoreDone<std::string> aDone);
  /// Answers those that wait for changes under a prefix, if there are any now
  /// or nothing can be vouched for any more.
  void NotifyChange(const std::string& aPrefix);
  /// Tells those that wait under a prefix that they must read anew.
  void FailAll(const std::string& aPrefix);

private:
  /// A peer that waits for a change.
  struct PendingRequest
  {
    std::uint64_t after_ = 0;
    bool inflates_ = false;
    StoreDone<std::string> done_;
    LoopTimerId timer_ = 0;
  };

  /// An encoded answer. Peers that wait know the same and are told the same.
  struct Answer
  {
    std::string prefix_;
    std::uint64_t after_ = 0;
    bool deflated_ = false;
    std::uint64_t revision_ = 0;
    TimePoint encodedAt_;
    std::string bytes_;
  };

  /// @returns why a peer that knows all up to a revision gets no changes here;
  /// nothing if it does
  [[nodiscard]] std::optional<Error> RefusalOf(const WatchHistory* aHistory,
                                               std::uint64_t aAfter) const;
  /// @returns the changes that are held, with the age of what is known here
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
