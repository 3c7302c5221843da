#include "daemon/relay_answers.hpp"

#include <algorithm>
#include <utility>

namespace marjoramtally {

namespace {

/// An encoded answer is reused for this long, so that peers that are answered
/// at the same time share it. The age in it may be too small by this much.
constexpr auto kAnswerReuseTime = std::chrono::milliseconds(20);
/// Minimum wait before an answer without changes: time for a relay to receive a
/// revision that the peer already knows.
constexpr auto kMinWait = std::chrono::milliseconds(50);

} // namespace

RelayAnswers::RelayAnswers(LoopTimers& aTimers,
                           const Clock& aClock,
                           HistoryOf aHistory)
  : timers_(aTimers)
  , clock_(aClock)
  , history_(std::move(aHistory))
{
}

std::optional<Error>
RelayAnswers::RefusalOf(const WatchHistory* aHistory,
                        std::uint64_t aAfter) const
{
  if (aHistory == nullptr) {
    return Error{ ErrorKind::NotFound, "this process does not relay that" };
  }
  if (!aHistory->Confirmed(clock_.Now())) {
    return Error{ ErrorKind::Unavailable, "the store does not answer here" };
  }
  if (!aHistory->Covers(aAfter)) {
    return Error{ ErrorKind::Conflict, "that history is not held here" };
  }
  return std::nullopt;
}

const std::string&
RelayAnswers::AnswerFor(const std::string& aPrefix,
                        const WatchHistory& aHistory,
                        std::uint64_t aAfter,
                        bool aDeflated)
{
  const TimePoint now = clock_.Now();
  const std::uint64_t revision = aHistory.Known();
  const bool same =
    lastAnswer_.prefix_ == aPrefix && lastAnswer_.after_ == aAfter &&
    lastAnswer_.deflated_ == aDeflated && lastAnswer_.revision_ == revision &&
    now - lastAnswer_.encodedAt_ <= Duration{ kAnswerReuseTime };
  if (!same) {
    StoreWatchBatch batch = aHistory.After(aAfter);
    batch.age_ = aHistory.Age(now);
    lastAnswer_ = { aPrefix,  aAfter, aDeflated,
                    revision, now,    EncodeWatchBatch(batch, aDeflated) };
  }
  return lastAnswer_.bytes_;
}

void
RelayAnswers::Serve(const WatchAsk& aAsk, StoreDone<std::string> aDone)
{
  const WatchHistory* history = history_(aAsk.prefix_);
  if (const auto refusal = RefusalOf(history, aAsk.after_)) {
    aDone(*refusal);
    return;
  }
  if (history->HasAfter(aAsk.after_)) {
    aDone(AnswerFor(aAsk.prefix_, *history, aAsk.after_, aAsk.inflates_));
    return;
  }
  const std::uint64_t number = ++lastRequest_;
  const std::string& prefix = aAsk.prefix_;
  const LoopTimerId timer =
    timers_.After(std::max<Duration>(aAsk.wait_, kMinWait),
                  [this, prefix, number] { Complete(prefix, number); });
  pending_[prefix][number] = {
    aAsk.after_, aAsk.inflates_, std::move(aDone), timer
  };
}

void
RelayAnswers::NotifyChange(const std::string& aPrefix)
{
  const auto it = pending_.find(aPrefix);
  if (it == pending_.end()) {
    return;
  }
  const WatchHistory* history = history_(aPrefix);
  std::vector<std::uint64_t> due;
  for (const auto& [number, request] : it->second) {
    if (RefusalOf(history, request.after_) ||
        history->HasAfter(request.after_)) {
      due.push_back(number);
    }
  }
  for (const std::uint64_t number : due) {
    Complete(aPrefix, number);
  }
}

void
RelayAnswers::FailAll(const std::string& aPrefix)
{
  auto node = pending_.extract(aPrefix);
  if (node.empty()) {
    return;
  }
  for (const auto& [number, request] : node.mapped()) {
    timers_.Cancel(request.timer_);
    request.done_(Error{ ErrorKind::Conflict, "the history was lost" });
  }
}

void
RelayAnswers::Complete(const std::string& aPrefix, std::uint64_t aNumber)
{
  auto node = pending_[aPrefix].extract(aNumber);
  if (node.empty()) {
    return;
  }
  const PendingRequest& request = node.mapped();
  timers_.Cancel(request.timer_);
  const WatchHistory* history = history_(aPrefix);
  if (const auto refusal = RefusalOf(history, request.after_)) {
    request.done_(*refusal);
    return;
  }
  request.done_(
    AnswerFor(aPrefix, *history, request.after_, request.inflates_));
}

} // namespace marjoramtally
