#include "daemon/prefix_follower.hpp"

#include "marjoramtally/base/backoff.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <optional>
#include <utility>

namespace marjoramtally {

namespace {

/// Delays after a failed read.
constexpr auto kMinRetryDelay = std::chrono::milliseconds(100);
constexpr auto kMaxRetryDelay = std::chrono::milliseconds(800);

} // namespace

struct PrefixFollower::State : std::enable_shared_from_this<State>
{
  State(PrefixFollower& aOwner,
        Store& aStore,
        LoopTimers& aTimers,
        std::string aPrefix)
    : owner_(aOwner)
    , store_(aStore)
    , timers_(aTimers)
    , prefix_(std::move(aPrefix))
  {
  }

  /// The first read may return an older revision, as the watch continues from
  /// it. Later reads follow a watch that ended because the store no longer has
  /// the changes after its revision. While the store's replicas lag, an older
  /// read would end the next watch as well: a process that read so kept an
  /// outdated configuration in force for 6 s.
  void Read()
  {
    const auto onRead = [self =
                           weak_from_this()](const Result<StoreRange>& aRange) {
      const auto state = self.lock();
      if (state && !state->stopped_) {
        state->OnRead(aRange);
      }
    };
    if (hasRead_) {
      store_.ReadAgain(prefix_, onRead);
    } else {
      store_.ReadEarlier(prefix_, onRead);
    }
  }

  void OnRead(const Result<StoreRange>& aRange)
  {
    if (!aRange) {
      const Duration delay = retryDelays_.Next();
      LogEvent(LogLevel::Info,
               "reading_failed",
               { { "prefix", prefix_ },
                 { "error", aRange.error().message_ },
                 { "again_in", FormatDuration(delay) } });
      Notify(&PrefixFollower::onFailure_, aRange.error());
      timers_.After(delay, [self = weak_from_this()] {
        const auto state = self.lock();
        if (state && !state->stopped_) {
          state->Read();
        }
      });
      return;
    }
    retryDelays_.Reset();
    hasRead_ = true;
    Notify(&PrefixFollower::onSnapshot_, aRange.value());
    Notify(&PrefixFollower::onBatchEnd_);
    const std::uint64_t from = aRange.value().revision_ + 1;
    if (stopped_) {
      return;
    }
    if (watchAllowed_) {
      Watch(from);
      return;
    }
    firstWatchFrom_ = from;
  }

  /// Allows the first watch, and opens it if a read has completed.
  void AllowWatch()
  {
    watchAllowed_ = true;
    if (firstWatchFrom_) {
      Watch(*std::exchange(firstWatchFrom_, std::nullopt));
    }
  }

  void Watch(std::uint64_t aFrom)
  {
    watch_ = store_.Watch(
      prefix_, aFrom, [self = weak_from_this()](const StoreWatchBatch& aBatch) {
        const auto state = self.lock();
        if (state && !state->stopped_) {
          state->OnBatch(aBatch);
        }
      });
  }

  void OnBatch(const StoreWatchBatch& aBatch)
  {
    if (aBatch.ended_) {
      Read();
      return;
    }
    if (aBatch.interrupted_) {
      Notify(&PrefixFollower::onInterrupted_);
      return;
    }
    for (const StoreEvent& event : aBatch.events_) {
      Notify(&PrefixFollower::onChange_, event);
    }
    Notify(&PrefixFollower::onConfirmed_, aBatch.age_);
    if (!aBatch.events_.empty()) {
      Notify(&PrefixFollower::onBatchEnd_);
    }
  }

  /// Runs a callback of the owner. A callback may stop or destroy the follower;
  /// then no more callbacks run.
  template<typename Callback, typename... Args>
  void Notify(Callback PrefixFollower::*aCallback, const Args&... aArgs)
  {
    if (stopped_) {
      return;
    }
    const Callback callback = owner_.*aCallback;
    if (callback) {
      callback(aArgs...);
    }
  }

  PrefixFollower& owner_;
  Store& store_;
  LoopTimers& timers_;
  std::string prefix_;
  Backoff retryDelays_{ kMinRetryDelay, kMaxRetryDelay, 1 };
  StoreWatchId watch_ = 0;
  /// A read has succeeded.
  bool hasRead_ = false;
  bool watchAllowed_ = true;
  /// Revision at which the delayed first watch starts.
  std::optional<std::uint64_t> firstWatchFrom_;
  bool stopped_ = false;
};

PrefixFollower::PrefixFollower(Store& aStore,
                               LoopTimers& aTimers,
                               std::string aPrefix)
  : state_(std::make_shared<State>(*this, aStore, aTimers, std::move(aPrefix)))
{
}

PrefixFollower::~PrefixFollower()
{
  Stop();
}

void
PrefixFollower::Start(Duration aFirstWatchDelay)
{
  if (aFirstWatchDelay > Duration{ 0 }) {
    state_->watchAllowed_ = false;
    state_->timers_.After(aFirstWatchDelay, [self = state_->weak_from_this()] {
      const auto state = self.lock();
      if (state && !state->stopped_) {
        state->AllowWatch();
      }
    });
  }
  state_->Read();
}

void
PrefixFollower::Stop()
{
  if (!state_->stopped_) {
    state_->stopped_ = true;
    state_->store_.StopWatch(state_->watch_);
  }
}

} // namespace marjoramtally
