#include "marjoramtally/runtime/caller_registry.hpp"

#include "marjoramtally/runtime/io_pool.hpp"
#include "marjoramtally/runtime/log.hpp"
#include "marjoramtally/runtime/metrics.hpp"
#include "runtime/io_loop.hpp"

#include <asio/steady_timer.hpp>
#include <mutex>
#include <sys/resource.h>
#include <unistd.h>

namespace marjoramtally {

namespace {

/// Connections are looked at no more often than this.
constexpr auto kMinSweepInterval = std::chrono::milliseconds(250);

CallerShares
SharesOf(const MachineLimits& aLimits)
{
  std::uint64_t memory = aLimits.memory_;
  if (memory == 0) {
    memory = static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) *
             static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  }
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  const std::uint64_t descriptors =
    aLimits.descriptors_ == 0
      ? files.rlim_cur
      : std::min<std::uint64_t>(files.rlim_cur, aLimits.descriptors_);
  return CallerSharesOf(memory, descriptors);
}

class Registry final
  : public CallerRegistry
  , public std::enable_shared_from_this<Registry>
{
public:
  Registry(std::shared_ptr<IoPool> aPool,
           const MachineLimits& aLimits,
           Metrics* aMetrics)
    : pool_(std::move(aPool))
    , metrics_(aMetrics)
    , limits_(SharesOf(aLimits))
    , timer_(pool_->Loop(0).Context())
  {
  }

  void SetTimeouts(CallerTimeouts aTimeouts) override
  {
    const std::lock_guard lock(mutex_);
    if (limits_.Timeouts() != aTimeouts) {
      limits_.SetTimeouts(aTimeouts);
      ArmBy(clock_.Now());
    }
  }

  void OnRefused(CallerId aCaller, std::string_view aWhy) override
  {
    const std::string why(aWhy);
    LogEvent(
      LogLevel::Info,
      "caller_refused",
      { { "connection", std::to_string(aCaller.Get()) }, { "why", why } });
    if (metrics_ != nullptr) {
      metrics_->Count("caller_requests_refused_total{why=\"" + why + "\"}");
    }
  }

  std::optional<CallerId> Open(GiveWay aGiveWay) override
  {
    const CallerId id{ ++lastId_ };
    const bool open = Apply([&](TimePoint aNow) {
      const bool admitted = limits_.OnOpened(id, aNow);
      if (admitted) {
        giveWay_.emplace(id, std::move(aGiveWay));
        ArmBy(aNow + limits_.Timeouts().idle_);
      }
      return admitted;
    });
    if (!open) {
      CountClosed(EvictionCause::Descriptors);
      return std::nullopt;
    }
    return id;
  }

  void Close(CallerId aCaller) override
  {
    const std::lock_guard lock(mutex_);
    limits_.OnClosed(aCaller);
    giveWay_.erase(aCaller);
  }

  bool OnHead(CallerId aCaller, std::uint64_t aHeld) override
  {
    return Apply([&](TimePoint aNow) {
      ArmBy(aNow + limits_.Timeouts().header_);
      return limits_.OnHead(aCaller, aHeld, aNow);
    });
  }

  bool HasRoomFor(std::uint64_t aBody) override
  {
    return Apply(
      [&](TimePoint aNow) { return limits_.HasRoomFor(aBody, aNow); });
  }

  bool OnBody(CallerId aCaller, std::uint64_t aHeld) override
  {
    return Apply(
      [&](TimePoint aNow) { return limits_.OnBody(aCaller, aHeld, aNow); });
  }

  void OnRequest(CallerId aCaller, std::uint64_t aHeld) override
  {
    const std::lock_guard lock(mutex_);
    limits_.OnRequest(aCaller, aHeld);
  }

  void OnResponse(CallerId aCaller, std::uint64_t aBytes) override
  {
    Apply([&](TimePoint aNow) {
      limits_.OnResponse(aCaller, aBytes, aNow);
      return true;
    });
  }

  void OnProgress(CallerId aCaller) override
  {
    const std::lock_guard lock(mutex_);
    limits_.OnProgress(aCaller, clock_.Now());
  }

  void OnWritten(CallerId aCaller, std::uint64_t aBytes) override
  {
    const std::lock_guard lock(mutex_);
    limits_.OnWritten(aCaller, aBytes, clock_.Now());
  }

  void OnAnswered(CallerId aCaller) override
  {
    const std::lock_guard lock(mutex_);
    limits_.OnAnswered(aCaller, clock_.Now());
  }

  bool Reserve(std::uint64_t aBytes) override
  {
    return Apply([&](TimePoint aNow) { return limits_.Reserve(aBytes, aNow); });
  }

  void Release(std::uint64_t aBytes) override
  {
    const std::lock_guard lock(mutex_);
    limits_.Release(aBytes);
  }

private:
  /// Runs a part of the decisions and then lets connections give way.
  template<typename Decide>
  bool Apply(Decide aDecide)
  {
    bool result = false;
    std::vector<std::pair<Eviction, GiveWay>> evictions;
    {
      const std::lock_guard lock(mutex_);
      result = aDecide(clock_.Now());
      evictions = TakeEvictions();
    }
    for (const auto& [eviction, giveWay] : evictions) {
      Report(eviction);
      giveWay(eviction);
    }
    return result;
  }

  std::vector<std::pair<Eviction, GiveWay>> TakeEvictions()
  {
    std::vector<std::pair<Eviction, GiveWay>> evictions;
    for (const Eviction& eviction : limits_.TakeEvictions()) {
      const auto it = giveWay_.find(eviction.caller_);
      if (it != giveWay_.end()) {
        evictions.emplace_back(eviction, it->second);
      }
    }
    return evictions;
  }

  void Report(const Eviction& aEviction) const
  {
    if (aEviction.refuse_) {
      // Reported once the request has really been refused.
      return;
    }
    LogEvent(LogLevel::Info,
             "caller_closed",
             { { "connection", std::to_string(aEviction.caller_.Get()) },
               { "why", std::string(NameOf(aEviction.cause_)) } });
    CountClosed(aEviction.cause_);
  }

  void CountClosed(EvictionCause aCause) const
  {
    if (metrics_ != nullptr) {
      metrics_->Count("caller_connections_closed_total{why=\"" +
                      std::string(NameOf(aCause)) + "\"}");
    }
  }

  /// Lets the timer fire no later than at a time.
  void ArmBy(TimePoint aTime)
  {
    if (aTime >= armedFor_) {
      return;
    }
    armedFor_ = aTime;
    const Duration delay =
      std::max<Duration>(aTime - clock_.Now(), Duration{ kMinSweepInterval });
    timer_.expires_after(delay);
    timer_.async_wait(
      [self = weak_from_this()](const asio::error_code& aError) {
        const auto registry = self.lock();
        if (!aError && registry) {
          registry->Sweep();
        }
      });
  }

  void Sweep()
  {
    Apply([this](TimePoint aNow) {
      armedFor_ = kNever;
      const TimePoint next = limits_.Expire(aNow);
      if (metrics_ != nullptr) {
        metrics_->Set("caller_connections",
                      static_cast<double>(limits_.Connections()));
        metrics_->Set("caller_bytes", static_cast<double>(limits_.HeldBytes()));
      }
      if (limits_.Connections() > 0) {
        // A running request may end, and its connection be idle from then on.
        ArmBy(std::min(next, aNow + limits_.Timeouts().idle_));
      }
      return true;
    });
  }

  /// Outlives the timer.
  std::shared_ptr<IoPool> pool_;
  Metrics* metrics_;
  SystemClock clock_;
  std::atomic<std::uint64_t> lastId_{ 0 };
  std::mutex mutex_;
  CallerLimits limits_;
  std::unordered_map<CallerId, GiveWay> giveWay_;
  asio::steady_timer timer_;
  /// When the timer fires.
  TimePoint armedFor_ = kNever;
};

} // namespace

std::shared_ptr<CallerRegistry>
CallerRegistry::Create(std::shared_ptr<IoPool> aPool,
                       const MachineLimits& aLimits,
                       Metrics* aMetrics)
{
  return std::make_shared<Registry>(std::move(aPool), aLimits, aMetrics);
}

} // namespace marjoramtally
