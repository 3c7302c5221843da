#include "daemon/relay_reading.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <utility>

namespace marjoramtally {

namespace {

/// How long a relay may delay an answer until it has loaded the records itself.
constexpr auto kLoadWait = std::chrono::milliseconds(400);
/// If a relay has not answered the first request after this time, the next one
/// is queried: it may be cut off. Later parts may take longer, as the links of
/// relays are busy when a fleet starts, and second copies would add to that.
constexpr auto kMaxFirstAnswer = std::chrono::milliseconds(600);
/// If all relays refuse, they are queried again after this time.
constexpr auto kRetryDelay = std::chrono::milliseconds(250);
/// A process reads from the store if none of its relays answers for this long,
/// times their number. What the store sends then grows with the square of the
/// fleet, and so does the time worth waiting for a relay.
constexpr auto kStallPerRelay = std::chrono::milliseconds(500);
/// The same if relays answer that they load the records but send none.
constexpr auto kLoadingPerRelay = std::chrono::milliseconds(2000);

} // namespace

RelayReading::RelayReading(LoopTimers& aTimers,
                           const Clock& aClock,
                           QueryPeer aQueryPeer,
                           RelaysOf aRelays)
  : timers_(aTimers)
  , clock_(aClock)
  , queryPeer_(std::move(aQueryPeer))
  , relays_(std::move(aRelays))
{
}

RelayReading::~RelayReading()
{
  *alive_ = false;
}

void
RelayReading::Read(std::string aPrefix, StoreDone<StoreRange> aDone)
{
  const ReadingId id = ++last_;
  Reading& reading = readings_[id];
  reading.prefix_ = std::move(aPrefix);
  reading.done_ = std::move(aDone);
  reading.startedAt_ = clock_.Now();
  reading.progressAt_ = reading.startedAt_;
  reading.heardAt_ = reading.startedAt_;
  Query(id);
}

void
RelayReading::Query(ReadingId aId)
{
  const auto it = readings_.find(aId);
  if (it == readings_.end()) {
    return;
  }
  Reading& reading = it->second;
  const std::vector<std::string>& relays = relays_(reading.prefix_);
  if (relays.empty()) {
    Finish(aId, Error{ ErrorKind::Unavailable, "no relay is known" });
    return;
  }
  WatchAsk ask;
  ask.prefix_ = reading.prefix_;
  ask.after_ = reading.after_;
  ask.wait_ = kLoadWait;
  ask.removalsAfter_ = reading.until_;
  const std::uint64_t round = ++reading.round_;
  const auto isCurrent = [this, alive = alive_, aId, round] {
    if (!*alive) {
      return false;
    }
    const auto current = readings_.find(aId);
    return current != readings_.end() && current->second.round_ == round;
  };
  if (reading.until_ == 0) {
    timers_.After(kMaxFirstAnswer, [this, isCurrent, aId] {
      if (isCurrent()) {
        OnRefusal(aId, Error{ ErrorKind::Timeout, "no answer" });
      }
    });
  }
  queryPeer_(relays[reading.nextRelay_ % relays.size()],
             ask,
             [this, isCurrent, aId](const Result<StoreWatchBatch>& aBatch) {
               if (isCurrent()) {
                 OnAnswer(aId, aBatch);
               }
             });
}

void
RelayReading::OnAnswer(ReadingId aId, const Result<StoreWatchBatch>& aBatch)
{
  if (!aBatch) {
    OnRefusal(aId, aBatch.error());
    return;
  }
  Reading& reading = readings_.at(aId);
  reading.heardAt_ = clock_.Now();
  const StoreWatchBatch& batch = aBatch.value();
  if (batch.latest_ == 0) {
    OnRefusal(
      aId,
      Error{ ErrorKind::Unavailable, "the relay loads the records itself" });
    return;
  }
  if (reading.until_ == 0) {
    reading.until_ = batch.latest_;
  }
  if (batch.revision_ <= reading.after_ && reading.after_ < reading.until_) {
    // Another relay, which is behind the one that sent the first parts.
    OnRefusal(aId, Error{ ErrorKind::Unavailable, "the relay is behind" });
    return;
  }
  for (const StoreEvent& event : batch.events_) {
    if (event.deleted_) {
      reading.records_.erase(event.record_.key_);
    } else {
      reading.records_[event.record_.key_] = event.record_;
    }
  }
  reading.after_ = std::max(reading.after_, batch.revision_);
  reading.refusals_ = 0;
  reading.progressAt_ = clock_.Now();
  ++reading.parts_;
  if (reading.after_ < reading.until_) {
    Query(aId);
    return;
  }
  StoreRange range{ reading.after_, {} };
  range.records_.reserve(reading.records_.size());
  for (auto& [key, record] : reading.records_) {
    range.records_.push_back(std::move(record));
  }
  LogEvent(
    LogLevel::Info,
    "records_read_from_relays",
    { { "prefix", reading.prefix_ },
      { "count", std::to_string(range.records_.size()) },
      { "parts", std::to_string(reading.parts_) },
      { "revision", std::to_string(range.revision_) },
      { "ms",
        std::to_string(WholeMillis(clock_.Now() - reading.startedAt_)) } });
  Finish(aId, std::move(range));
}

void
RelayReading::OnRefusal(ReadingId aId, const Error& aError)
{
  const Reading& reading = readings_.at(aId);
  // A conflict: the records are too large for relays, or too old.
  if (aError.kind_ == ErrorKind::Conflict || IsStalled(reading)) {
    LogEvent(LogLevel::Info,
             "relays_unread",
             { { "prefix", reading.prefix_ },
               { "after", std::to_string(reading.after_) },
               { "parts", std::to_string(reading.parts_) },
               { "error", aError.message_ } });
    Finish(aId, aError);
    return;
  }
  QueryNext(aId);
}

bool
RelayReading::IsStalled(const Reading& aReading) const
{
  const TimePoint now = clock_.Now();
  const auto relays =
    static_cast<std::int64_t>(relays_(aReading.prefix_).size());
  return now - aReading.heardAt_ > relays * Duration{ kStallPerRelay } ||
         now - aReading.progressAt_ > relays * Duration{ kLoadingPerRelay };
}

void
RelayReading::QueryNext(ReadingId aId)
{
  Reading& reading = readings_.at(aId);
  ++reading.nextRelay_;
  if (++reading.refusals_ < relays_(reading.prefix_).size()) {
    Query(aId);
    return;
  }
  reading.refusals_ = 0;
  // Ignores a late answer, as the next query does.
  ++reading.round_;
  timers_.After(kRetryDelay, [this, alive = alive_, aId] {
    if (*alive) {
      Query(aId);
    }
  });
}

void
RelayReading::Finish(ReadingId aId, Result<StoreRange> aRange)
{
  auto node = readings_.extract(aId);
  node.mapped().done_(std::move(aRange));
}

} // namespace marjoramtally
