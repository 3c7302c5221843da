#include "daemon/prefix_follower.hpp"

#include "marjoramtally/base/backoff.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <optional>
#include <utility>

namespace marjoramtally {

namespace {

/// Pauses after a reading that failed.
constexpr auto kFirstPause = std::chrono::milliseconds(100);
constexpr auto kLongestPause = std::chrono::milliseconds(800);

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

  /// The first reading may be old, as the watch goes on from its revision. A
  /// later one comes after a watch that lost its place: an old one would lose
  /// it again, as long as the store's replicas lag. A process read so for 6 s
  /// after history was forgotten and kept an old configuration in force.
  void Read()
  {
    const auto take = [self =
                         weak_from_this()](const Result<StoreRange>& aRange) {
      const auto state = self.lock();
      if (state && !state->stopped_) {
        state->Take(aRange);
      }
    };
    if (known_) {
      store_.Read(prefix_, take);
    } else {
      store_.ReadEarlier(prefix_, take);
    }
  }

  void Take(const Result<StoreRange>& aRange)
  {
    if (!aRange) {
      const Duration pause = pauses_.Next();
      LogEvent(LogLevel::Info,
               "reading_failed",
               { { "prefix", prefix_ },
                 { "error", aRange.error().message_ },
                 { "again_in", FormatDuration(pause) } });
      Tell(&PrefixFollower::onFailure_, aRange.error());
      timers_.After(pause, [self = weak_from_this()] {
        const auto state = self.lock();
        if (state && !state->stopped_) {
          state->Read();
        }
      });
      return;
    }
    pauses_.Reset();
    known_ = true;
    Tell(&PrefixFollower::onAll_, aRange.value());
    Tell(&PrefixFollower::onSettled_);
    const std::uint64_t from = aRange.value().revision_ + 1;
    if (stopped_) {
      return;
    }
    if (watchMayOpen_) {
      Watch(from);
      return;
    }
    // The first watch waits for its time.
    firstFrom_ = from;
  }

  /// The first watch may open from now on.
  void LetWatch()
  {
    watchMayOpen_ = true;
    if (firstFrom_) {
      Watch(*std::exchange(firstFrom_, std::nullopt));
    }
  }

  void Watch(std::uint64_t aFrom)
  {
    watch_ = store_.Watch(
      prefix_, aFrom, [self = weak_from_this()](const StoreWatchBatch& aBatch) {
        const auto state = self.lock();
        if (state && !state->stopped_) {
          state->TakeBatch(aBatch);
        }
      });
  }

  void TakeBatch(const StoreWatchBatch& aBatch)
  {
    if (aBatch.ended_) {
      Read();
      return;
    }
    if (aBatch.interrupted_) {
      Tell(&PrefixFollower::onDoubted_);
      return;
    }
    for (const StoreEvent& event : aBatch.events_) {
      Tell(&PrefixFollower::onChange_, event);
    }
    Tell(&PrefixFollower::onVouched_, aBatch.age_);
    if (!aBatch.events_.empty()) {
      Tell(&PrefixFollower::onSettled_);
    }
  }

  /// A callback may stop or destroy the follower: then nothing more is told.
  template<typename Callback, typename... Args>
  void Tell(Callback PrefixFollower::*aCallback, const Args&... aArgs)
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
  Backoff pauses_{ kFirstPause, kLongestPause, 1 };
  StoreWatchId watch_ = 0;
  /// A reading came.
  bool known_ = false;
  bool watchMayOpen_ = true;
  /// Where the first watch begins, while it waits for its time.
  std::optional<std::uint64_t> firstFrom_;
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
PrefixFollower::Start(Duration aWatchAfter)
{
  if (aWatchAfter > Duration{ 0 }) {
    state_->watchMayOpen_ = false;
    state_->timers_.After(aWatchAfter, [self = state_->weak_from_this()] {
      const auto state = self.lock();
      if (state && !state->stopped_) {
        state->LetWatch();
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
