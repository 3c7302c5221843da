#include "daemon/prefix_follower.hpp"

#include "marjoramtally/base/backoff.hpp"

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

  void Read()
  {
    store_.Read(prefix_,
                [self = weak_from_this()](const Result<StoreRange>& aRange) {
                  const auto state = self.lock();
                  if (state && !state->stopped_) {
                    state->Take(aRange);
                  }
                });
  }

  void Take(const Result<StoreRange>& aRange)
  {
    if (!aRange) {
      Tell(&PrefixFollower::onFailure_, aRange.error());
      timers_.After(pauses_.Next(), [self = weak_from_this()] {
        const auto state = self.lock();
        if (state && !state->stopped_) {
          state->Read();
        }
      });
      return;
    }
    pauses_.Reset();
    Tell(&PrefixFollower::onAll_, aRange.value());
    Tell(&PrefixFollower::onSettled_);
    if (stopped_) {
      return;
    }
    watch_ =
      store_.Watch(prefix_,
                   aRange.value().revision_ + 1,
                   [self = weak_from_this()](const StoreWatchBatch& aBatch) {
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
    if (aBatch.events_.empty()) {
      return;
    }
    for (const StoreEvent& event : aBatch.events_) {
      Tell(&PrefixFollower::onChange_, event);
    }
    Tell(&PrefixFollower::onSettled_);
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
PrefixFollower::Start()
{
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
