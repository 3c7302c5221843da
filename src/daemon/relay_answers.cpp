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
/// An encoded part of all records is reused for this long. Peers that read them
/// after a common start are seconds apart, and encoding the parts for each of
/// them would take a small processor longer than sending them. A part may be
/// outdated, as later parts contain what has changed since.
constexpr auto kPartReuseTime = std::chrono::seconds(2);

} // namespace

RelayAnswers::RelayAnswers(LoopTimers& aTimers,
                           const Clock& aClock,
                           SourceOf aSource,
                           LoadRecords aLoad)
  : timers_(aTimers)
  , clock_(aClock)
  , source_(std::move(aSource))
  , load_(std::move(aLoad))
{
}

RelayAnswers::~RelayAnswers()
{
  for (const auto& [prefix, requests] : pending_) {
    for (const auto& [number, request] : requests) {
      timers_.Cancel(request.timer_);
    }
  }
}

std::optional<Error>
RelayAnswers::RefusalOf(const ChangeSource* aSource, const WatchAsk& aAsk) const
{
  if (aSource == nullptr) {
    return Error{ ErrorKind::NotFound, "this process does not relay that" };
  }
  if (!aSource->Confirmed(clock_.Now())) {
    return Error{ ErrorKind::Unavailable, "the store does not answer here" };
  }
  const std::uint64_t removals =
    aAsk.removalsAfter_ == 0 ? aAsk.after_ : aAsk.removalsAfter_;
  if (!aSource->Covers({ aAsk.after_, removals })) {
    return Error{ ErrorKind::Conflict, "that history is not held here" };
  }
  return std::nullopt;
}

bool
RelayAnswers::AwaitsLoad(const ChangeSource* aSource,
                         const WatchAsk& aAsk) const
{
  return Reads(aAsk) && RefusalOf(aSource, aAsk).has_value() &&
         (aSource == nullptr || aSource->Confirmed(clock_.Now())) &&
         load_(aAsk.prefix_);
}

const std::string*
RelayAnswers::PartFor(const WatchAsk& aAsk, const ChangeSource& aSource)
{
  const TimePoint now = clock_.Now();
  const PartKey key{ aAsk.prefix_, aAsk.after_, aAsk.inflates_ };
  const auto kept = parts_.find(key);
  if (kept != parts_.end() &&
      now - kept->second.encodedAt_ <= Duration{ kPartReuseTime }) {
    return &kept->second.bytes_;
  }
  StoreWatchBatch batch = aSource.After(aAsk.after_);
  if (batch.revision_ >= batch.latest_) {
    return nullptr;
  }
  DropOldParts(now);
  batch.age_ = aSource.Age(now);
  Part& part = parts_[key];
  part = { now, EncodeWatchBatch(batch, aAsk.inflates_) };
  return &part.bytes_;
}

void
RelayAnswers::DropOldParts(TimePoint aNow)
{
  std::erase_if(parts_, [aNow](const auto& aPart) {
    return aNow - aPart.second.encodedAt_ > Duration{ kPartReuseTime };
  });
}

const std::string&
RelayAnswers::AnswerFor(const WatchAsk& aAsk, const ChangeSource& aSource)
{
  if (Reads(aAsk)) {
    if (const std::string* part = PartFor(aAsk, aSource)) {
      return *part;
    }
  }
  const TimePoint now = clock_.Now();
  const std::uint64_t revision = aSource.Known();
  const bool same =
    lastAnswer_.prefix_ == aAsk.prefix_ && lastAnswer_.after_ == aAsk.after_ &&
    lastAnswer_.deflated_ == aAsk.inflates_ &&
    lastAnswer_.revision_ == revision &&
    now - lastAnswer_.encodedAt_ <= Duration{ kAnswerReuseTime };
  if (!same) {
    StoreWatchBatch batch = aSource.After(aAsk.after_);
    batch.age_ = aSource.Age(now);
    lastAnswer_ = {
      aAsk.prefix_, aAsk.after_, aAsk.inflates_,
      revision,     now,         EncodeWatchBatch(batch, aAsk.inflates_)
    };
  }
  return lastAnswer_.bytes_;
}

void
RelayAnswers::Serve(const WatchAsk& aAsk, StoreDone<std::string> aDone)
{
  const ChangeSource* source = source_(aAsk.prefix_);
  if (!AwaitsLoad(source, aAsk)) {
    if (const auto refusal = RefusalOf(source, aAsk)) {
      aDone(*refusal);
      return;
    }
    if (Reads(aAsk) || source->HasAfter(aAsk.after_)) {
      aDone(AnswerFor(aAsk, *source));
      return;
    }
  }
  const std::uint64_t number = ++lastRequest_;
  const std::string& prefix = aAsk.prefix_;
  const LoopTimerId timer =
    timers_.After(std::max<Duration>(aAsk.wait_, kMinWait),
                  [this, prefix, number] { Complete(prefix, number); });
  pending_[prefix][number] = { aAsk, std::move(aDone), timer };
}

void
RelayAnswers::NotifyChange(const std::string& aPrefix)
{
  const auto it = pending_.find(aPrefix);
  if (it == pending_.end()) {
    return;
  }
  const ChangeSource* source = source_(aPrefix);
  std::vector<std::uint64_t> due;
  for (const auto& [number, request] : it->second) {
    if (AwaitsLoad(source, request.ask_)) {
      continue;
    }
    if (RefusalOf(source, request.ask_) || Reads(request.ask_) ||
        source->HasAfter(request.ask_.after_)) {
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
  const ChangeSource* source = source_(aPrefix);
  if (AwaitsLoad(source, request.ask_)) {
    // Without a revision: the peer asks again.
    request.done_(EncodeWatchBatch({}, request.ask_.inflates_));
    return;
  }
  if (const auto refusal = RefusalOf(source, request.ask_)) {
    request.done_(*refusal);
    return;
  }
  request.done_(AnswerFor(request.ask_, *source));
}

} // namespace marjoramtally
