#include "daemon/relayed_store.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <numeric>
#include <utility>

namespace marjoramtally {

namespace {

/// How long a relay may delay an answer without changes. An unresponsive relay
/// is detected after this and the slack of the call, 1.3 s together.
constexpr auto kRelayWait = std::chrono::milliseconds(1000);
/// If a relay has not answered after this time, a backup relay is queried as
/// well: a relay that loses its connection to the store still confirms its
/// history for 1.7 s, and an unresponsive one times out only after 1.3 s.
/// Longer than the time for which the store's adapter collects changes, so that
/// the backup is seldom queried for a busy prefix.
constexpr auto kBackupDelay = std::chrono::milliseconds(500);
/// No backup relay is queried if the last answer was larger: second copies of
/// large answers double the load of relays and links, which delays answers and
/// so causes even more backup queries.
constexpr std::size_t kLargeAnswerBytes = 4096;
/// How long a process watches the store directly after its relay failed, before
/// it tries another relay.
constexpr auto kDirectWatchTime = std::chrono::seconds(3);
/// A process watches the store directly if no relay has confirmed its state for
/// this long: the next relay may take 1.3 s to time out, and a change must be
/// in force after 2 s. Without this bound, relays that each hold the request
/// for a second before they refuse it would add up to more than 3 s.
constexpr auto kMaxUnconfirmedTime = std::chrono::milliseconds(600);
/// If all relays refuse, they are queried again after this time.
constexpr auto kRelayRetryDelay = std::chrono::milliseconds(250);
/// Delays between attempts to reach the store directly while neither this
/// process nor its relays reach it. With delays of 0.1 to 0.8 s, a fleet of 250
/// processes made 6,400 of a day's 17,000 calls in the 4 s around an outage
/// of 2.5 s.
constexpr auto kMinProbeDelay = std::chrono::milliseconds(700);
constexpr auto kMaxProbeDelay = std::chrono::seconds(3);
/// A watch that was not confirmed for longer than this is logged when it
/// resumes, as a change may have taken effect late. Longer than any gap of a
/// healthy watch.
constexpr auto kLoggedGap = std::chrono::milliseconds(1700);

std::size_t
BytesOf(const StoreWatchBatch& aBatch)
{
  return std::accumulate(aBatch.events_.begin(),
                         aBatch.events_.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const StoreEvent& aEvent) {
                           return aSum + aEvent.record_.key_.size() +
                                  aEvent.record_.value_.size();
                         });
}

} // namespace

RelayedStore::RelayedStore(Store& aStore,
                           LoopTimers& aTimers,
                           const Clock& aClock,
                           QueryPeer aQueryPeer,
                           RelaysOf aRelays)
  : store_(aStore)
  , timers_(aTimers)
  , clock_(aClock)
  , queryPeer_(std::move(aQueryPeer))
  , relays_(std::move(aRelays))
  , probeDelays_(kMinProbeDelay, kMaxProbeDelay, 1)
  , reading_(aTimers, aClock, queryPeer_, relays_)
  , answers_(
      aTimers,
      aClock,
      [this](const std::string& aPrefix) { return SourceOfServed(aPrefix); },
      [this](const std::string& aPrefix) { return LoadMirror(aPrefix); })
{
}

RelayedStore::~RelayedStore()
{
  *alive_ = false;
}

template<typename T>
StoreDone<T>
RelayedStore::Noting(StoreDone<T> aDone)
{
  return
    [this, alive = alive_, done = std::move(aDone)](const Result<T>& aAnswer) {
      if (*alive && (aAnswer || aAnswer.error().kind_ == ErrorKind::NotFound)) {
        OnStoreAnswer();
      }
      done(aAnswer);
    };
}

/// Between two attempts the store may have come back for up to the longest
/// delay, in which this process acts on outdated records.
void
RelayedStore::OnStoreAnswer()
{
  answeredAt_ = clock_.Now();
  nextProbeAt_ = std::min(nextProbeAt_, probedAt_ + Duration{ kMinProbeDelay });
}

void
RelayedStore::Read(std::string aPrefix, StoreDone<StoreRange> aDone)
{
  store_.Read(std::move(aPrefix), Noting(std::move(aDone)));
}

void
RelayedStore::ReadAfter(std::string aPrefix,
                        std::string aAfter,
                        StoreDone<StoreRange> aDone)
{
  store_.ReadAfter(
    std::move(aPrefix), std::move(aAfter), Noting(std::move(aDone)));
}

void
RelayedStore::Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone)
{
  store_.Commit(std::move(aTxn), Noting(std::move(aDone)));
}

void
RelayedStore::GrantLease(Duration aTtl, StoreDone<StoreLease> aDone)
{
  store_.GrantLease(aTtl, Noting(std::move(aDone)));
}

void
RelayedStore::KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone)
{
  store_.KeepAlive(aLease, Noting(std::move(aDone)));
}

void
RelayedStore::RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone)
{
  store_.RevokeLease(aLease, std::move(aDone));
}

StoreWatchId
RelayedStore::Watch(std::string aPrefix,
                    std::uint64_t aFromRevision,
                    std::function<void(const StoreWatchBatch&)> aOnBatch)
{
  const StoreWatchId id = ++last_;
  OwnWatch& own = watches_[id];
  own.prefix_ = std::move(aPrefix);
  own.after_ = aFromRevision == 0 ? 0 : aFromRevision - 1;
  own.onBatch_ = std::move(aOnBatch);
  own.confirmedAt_ = clock_.Now();
  Open(id);
  return id;
}

void
RelayedStore::StopWatch(StoreWatchId aWatch)
{
  const auto it = watches_.find(aWatch);
  if (it != watches_.end()) {
    store_.StopWatch(it->second.direct_);
    timers_.Cancel(it->second.backupTimer_);
    watches_.erase(it);
  }
}

RelayedStore::OwnWatch*
RelayedStore::Find(StoreWatchId aId)
{
  const auto it = watches_.find(aId);
  return it == watches_.end() ? nullptr : &it->second;
}

/// Opens or reopens a watch, through a relay if the plan assigns any.
void
RelayedStore::Open(StoreWatchId aId)
{
  OwnWatch& own = watches_.at(aId);
  const std::vector<std::string>& relays = relays_(own.prefix_);
  if (relays.empty() || clock_.Now() < own.directUntil_) {
    OpenDirect(aId);
    return;
  }
  mirrors_.erase(own.prefix_);
  QueryRelay(aId, relays[own.nextRelay_ % relays.size()]);
}

void
RelayedStore::ReopenAfterDelay(StoreWatchId aId)
{
  const std::uint64_t round = ++watches_.at(aId).round_;
  timers_.After(kRelayRetryDelay, [this, alive = alive_, aId, round] {
    if (!*alive) {
      return;
    }
    const OwnWatch* own = Find(aId);
    if (own != nullptr && own->round_ == round) {
      Open(aId);
    }
  });
}

void
RelayedStore::OpenDirect(StoreWatchId aId)
{
  OwnWatch& own = watches_.at(aId);
  ++own.round_;
  timers_.Cancel(std::exchange(own.backupTimer_, 0));
  own.history_.Start(own.after_, clock_.Now());
  const auto mirror = mirrors_.find(own.prefix_);
  if (mirror != mirrors_.end() && mirror->second.Known() < own.after_) {
    // Relays have sent changes that the mirror lacks.
    mirrors_.erase(mirror);
  }
  own.direct_ = store_.Watch(
    own.prefix_, own.after_ + 1, [this, aId](const StoreWatchBatch& aBatch) {
      OnDirect(aId, aBatch);
    });
}

void
RelayedStore::OnDirect(StoreWatchId aId, const StoreWatchBatch& aBatch)
{
  OwnWatch* own = Find(aId);
  if (own == nullptr) {
    return;
  }
  if (aBatch.interrupted_) {
    NotifyInterrupted(aId);
    own = Find(aId);
    if (own == nullptr) {
      return;
    }
    own->history_.Invalidate();
    const auto mirror = mirrors_.find(own->prefix_);
    if (mirror != mirrors_.end()) {
      mirror->second.Unconfirm();
    }
    answers_.NotifyChange(own->prefix_);
    own->history_.Start(own->after_, {});
    if (!relays_(own->prefix_).empty()) {
      // Relays report the return of the store sooner, and with fewer calls,
      // than attempts of each process.
      store_.StopWatch(own->direct_);
      own->direct_ = 0;
      own->directUntil_ = {};
      if (clock_.Now() >= nextProbeAt_ || probingWatch_ == aId) {
        // A probe that was sent before the store came back may be lost.
        const bool back =
          nextProbeAt_ != TimePoint{} && answeredAt_ > probedAt_;
        nextProbeAt_ = clock_.Now() + (back ? Duration{ kMinProbeDelay }
                                            : probeDelays_.Next());
      }
      ReopenAfterDelay(aId);
    }
    return;
  }
  // A watch that the store has ended is an answer as well.
  nextProbeAt_ = {};
  probeDelays_.Reset();
  if (aBatch.ended_) {
    own->history_.Invalidate();
    // With a mirror, the peers wait for the changes that the next read shows.
    if (!mirrors_.contains(own->prefix_)) {
      answers_.FailAll(own->prefix_);
    }
    Deliver(aId, aBatch);
    return;
  }
  OnConfirmed(*own, "store");
  own->history_.Append(aBatch, clock_.Now());
  const auto mirror = mirrors_.find(own->prefix_);
  if (mirror != mirrors_.end()) {
    mirror->second.Append(aBatch, clock_.Now());
  }
  answers_.NotifyChange(own->prefix_);
  const bool relayed =
    !relays_(own->prefix_).empty() && clock_.Now() >= own->directUntil_;
  const StoreWatchId direct = own->direct_;
  Deliver(aId, aBatch);
  own = Find(aId);
  if (own != nullptr && relayed && own->direct_ == direct) {
    store_.StopWatch(direct);
    own->direct_ = 0;
    own->history_.Invalidate();
    Open(aId);
  }
}

void
RelayedStore::QueryRelay(StoreWatchId aId, const std::string& aAddress)
{
  OwnWatch& own = watches_.at(aId);
  const std::uint64_t round = ++own.round_;
  if (own.refusals_ == 0) {
    own.unconfirmedSince_ = clock_.Now();
  }
  timers_.Cancel(std::exchange(own.backupTimer_, 0));
  if (!own.largeAnswers_) {
    own.backupTimer_ =
      timers_.After(kBackupDelay, [this, alive = alive_, aId, round] {
        if (*alive) {
          QueryBackup(aId, round);
        }
      });
  }
  const WatchAsk ask{ own.prefix_, own.after_, kRelayWait };
  queryPeer_(
    aAddress,
    ask,
    [this, alive = alive_, aId, round](const Result<StoreWatchBatch>& aBatch) {
      if (!*alive) {
        return;
      }
      const OwnWatch* watch = Find(aId);
      if (watch != nullptr && watch->round_ == round) {
        OnRelay(aId, aBatch);
      }
    });
}

void
RelayedStore::QueryBackup(StoreWatchId aId, std::uint64_t aRound)
{
  const OwnWatch* own = Find(aId);
  if (own == nullptr || own->round_ != aRound) {
    return;
  }
  const std::vector<std::string>& relays = relays_(own->prefix_);
  if (relays.size() < 2) {
    return;
  }
  const WatchAsk ask{ own->prefix_, own->after_, kRelayWait };
  queryPeer_(
    relays[(own->nextRelay_ + 1) % relays.size()],
    ask,
    [this, alive = alive_, aId](const Result<StoreWatchBatch>& aBatch) {
      if (*alive && Find(aId) != nullptr) {
        OnBackupAnswer(aId, aBatch);
      }
    });
}

/// Changes from the backup relay are delivered whenever they arrive. An error
/// or an answer without changes is ignored: it gives no information about the
/// first relay, which stays in use.
void
RelayedStore::OnBackupAnswer(StoreWatchId aId,
                             const Result<StoreWatchBatch>& aBatch)
{
  const OwnWatch& own = watches_.at(aId);
  if (!aBatch || aBatch.value().events_.empty() ||
      aBatch.value().revision_ <= own.after_) {
    return;
  }
  LogEvent(LogLevel::Debug,
           "relay_outrun",
           { { "prefix", own.prefix_ },
             { "after", std::to_string(own.after_) },
             { "revision", std::to_string(aBatch.value().revision_) } });
  Deliver(aId, aBatch.value());
}

void
RelayedStore::OnRelay(StoreWatchId aId, const Result<StoreWatchBatch>& aBatch)
{
  OwnWatch& own = watches_.at(aId);
  if (!aBatch) {
    if (nextProbeAt_ == TimePoint{}) {
      // Not logged while the store is unreachable, when relays refuse four
      // times a second.
      LogEvent(LogLevel::Info,
               "relay_failed",
               { { "prefix", own.prefix_ },
                 { "after", std::to_string(own.after_) },
                 { "error", aBatch.error().message_ } });
    }
    // A refusal is fast, so the next relay is queried. A timeout has taken
    // 1.3 s; if the next relay timed out too, a change would take effect too
    // late.
    ++own.nextRelay_;
    const bool timedOut = aBatch.error().kind_ == ErrorKind::Timeout;
    own.historyLost_ =
      own.historyLost_ || aBatch.error().kind_ == ErrorKind::Conflict;
    const bool late =
      clock_.Now() - own.unconfirmedSince_ > Duration{ kMaxUnconfirmedTime };
    if (timedOut || late || ++own.refusals_ >= relays_(own.prefix_).size()) {
      OnUnconfirmed(aId);
    } else {
      Open(aId);
    }
    return;
  }
  own.refusals_ = 0;
  own.historyLost_ = false;
  own.unconfirmedSince_ = clock_.Now();
  own.largeAnswers_ = BytesOf(aBatch.value()) > kLargeAnswerBytes;
  OnConfirmed(own, "relay");
  Deliver(aId, aBatch.value());
  if (Find(aId) != nullptr) {
    Open(aId);
  }
}

void
RelayedStore::NotifyInterrupted(StoreWatchId aId)
{
  // Copied, as the callback may stop the watch.
  const auto onBatch = watches_.at(aId).onBatch_;
  StoreWatchBatch interruption;
  interruption.interrupted_ = true;
  onBatch(interruption);
}

void
RelayedStore::OnUnconfirmed(StoreWatchId aId)
{
  NotifyInterrupted(aId);
  if (Find(aId) == nullptr) {
    return;
  }
  OwnWatch& own = watches_.at(aId);
  own.refusals_ = 0;
  if (std::exchange(own.historyLost_, false)) {
    // Relays can continue from a later revision, and one read by this process
    // costs less than a direct watch.
    Deliver(aId, StoreWatchBatch{ true, false, 0, {} });
  } else if (clock_.Now() >= nextProbeAt_) {
    if (nextProbeAt_ != TimePoint{}) {
      // The other watches wait for the outcome of this one.
      probingWatch_ = aId;
      probedAt_ = clock_.Now();
      nextProbeAt_ = probedAt_ + Duration{ kMinProbeDelay };
    }
    own.directUntil_ = clock_.Now() + kDirectWatchTime;
    OpenDirect(aId);
  } else {
    ReopenAfterDelay(aId);
  }
}

void
RelayedStore::OnConfirmed(OwnWatch& aOwn, std::string_view aSource)
{
  const Duration gap = clock_.Now() - aOwn.confirmedAt_;
  aOwn.confirmedAt_ = clock_.Now();
  if (gap > Duration{ kLoggedGap }) {
    LogEvent(LogLevel::Info,
             "watch_resumed",
             { { "prefix", aOwn.prefix_ },
               { "after", std::to_string(aOwn.after_) },
               { "silent_ms", std::to_string(WholeMillis(gap)) },
               { "source", std::string(aSource) } });
  }
}

void
RelayedStore::Deliver(StoreWatchId aId, const StoreWatchBatch& aBatch)
{
  OwnWatch& own = watches_.at(aId);
  StoreWatchBatch unseen = aBatch;
  std::erase_if(unseen.events_, [&own](const StoreEvent& aEvent) {
    return aEvent.record_.modRevision_ <= own.after_;
  });
  own.after_ = std::max(own.after_, aBatch.revision_);
  const auto onBatch = own.onBatch_;
  if (aBatch.ended_) {
    timers_.Cancel(own.backupTimer_);
    watches_.erase(aId);
  }
  onBatch(unseen);
}

} // namespace marjoramtally
