#include "programs/orderd/duty_lease.hpp"

#include "marjoramtally/process/job_takeover.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace marjoramtally {

namespace {

constexpr const char* kDutyPrefix = "mt/duty/";
constexpr const char* kDutyKey = "mt/duty/orders";
/// Names the instance that held the lease last; outlives the lease.
constexpr const char* kLastHolderKey = "mt/duty/orders-last";

constexpr auto kRetryPause = std::chrono::milliseconds(500);
/// If upstreams do not check fencing numbers, an instance other than the last
/// holder must wait for `order-turn` (3 s) before it sends orders. At startup
/// the last holder is therefore given this head start: processes that were
/// killed together restart within about 100 ms of each other. After a kill of
/// all processes, orders stopped for 4.2 s without the head start and the
/// record of the last holder, and for 0.6 s with them, including 0.5 s of
/// downtime.
constexpr auto kLastHolderHeadStart = std::chrono::milliseconds(500);

} // namespace

DutyLease::DutyLease(GatewayContext& aHost)
  : host_(aHost)
  , key_(aHost.PlatformStore(),
         aHost.Timers(),
         aHost.LeaseClock(),
         { kDutyKey,
           aHost.Incarnation(),
           aHost.Settings().leaseTtl_,
           true,
           [own = InstanceOf(aHost.Incarnation())](const std::string& aOther) {
             return InstanceOf(aOther) == own;
           } })
  , dutyRecords_(aHost.PlatformStore(), aHost.Timers(), kDutyPrefix)
{
  key_.onHeld_ = [this](FencingNumber aFence) { OnHeld(aFence); };
  key_.onLost_ = [this] { End(); };
  dutyRecords_.onChange_ = [this](const StoreEvent& aEvent) {
    if (aEvent.deleted_ && aEvent.record_.key_ == kDutyKey) {
      key_.Retry();
    } else if (!aEvent.deleted_ && onRecord_) {
      onRecord_(aEvent.record_);
    }
  };
  dutyRecords_.onSnapshot_ = [this](const StoreRange& aRange) {
    const bool held = std::any_of(
      aRange.records_.begin(),
      aRange.records_.end(),
      [](const StoreRecord& aRecord) { return aRecord.key_ == kDutyKey; });
    for (const StoreRecord& record : aRange.records_) {
      if (onRecord_) {
        onRecord_(record);
      }
    }
    if (!held) {
      key_.Retry();
    }
  };
}

void
DutyLease::Start()
{
  if (host_.Settings().fencing_) {
    Contend();
    return;
  }
  ReadLastHolder([this](std::optional<bool> aWasSelf) {
    if (aWasSelf.value_or(true)) {
      Contend();
    } else {
      host_.Timers().After(kLastHolderHeadStart, [this] { Contend(); });
    }
  });
}

void
DutyLease::Contend()
{
  if (!stopped_) {
    key_.Start();
    dutyRecords_.Start();
  }
}

void
DutyLease::ReadLastHolder(std::function<void(std::optional<bool>)> aDone)
{
  host_.PlatformStore().Read(
    kLastHolderKey,
    [this, done = std::move(aDone)](const Result<StoreRange>& aRange) {
      std::optional<bool> wasSelf;
      if (aRange && !aRange.value().records_.empty()) {
        wasSelf = aRange.value().records_.front().value_ ==
                  InstanceOf(host_.Incarnation()).Get();
      }
      isLastHolder_ = wasSelf.value_or(false);
      done(wasSelf);
    });
}

void
DutyLease::WriteLastHolder(FencingNumber aFence)
{
  StoreTxn txn;
  txn.compares_.push_back({ kDutyKey, aFence.Get() });
  txn.puts_.push_back(
    { kLastHolderKey, InstanceOf(host_.Incarnation()).Get(), 0 });
  host_.PlatformStore().Commit(
    std::move(txn), [this, aFence](const Result<StoreCommit>& aEnd) {
      isLastHolder_ = aEnd && aEnd.value().applied_;
      if (isLastHolder_) {
        BeginOnceHeld(aFence);
      } else if (!aEnd) {
        host_.Timers().After(kRetryPause,
                             [this, aFence] { BeginOnceHeld(aFence); });
      }
    });
}

void
DutyLease::Stop()
{
  stopped_ = true;
  End();
  dutyRecords_.Stop();
  key_.Release();
}

void
DutyLease::Withdraw()
{
  End();
  dutyRecords_.Stop();
  const Duration since = host_.Now() - lastCallAt_;
  const Duration remaining =
    std::max(host_.Settings().orderTurn_ - since, Duration{ 0 });
  host_.Timers().After(remaining, [this] { key_.Release(); });
}

void
DutyLease::OnHeld(FencingNumber aFence)
{
  LogEvent(LogLevel::Info,
           "duty_held",
           { { "duty", "orders" }, { "fence", std::to_string(aFence.Get()) } });
  pendingFence_ = aFence;
  // A previous holder whose lease expired may still send orders. With fencing,
  // upstreams refuse them from the first order of this holder on. Without it,
  // this holder waits until they can no longer take effect, unless they came
  // from an earlier run of this instance.
  if (host_.Settings().fencing_) {
    BeginOnceHeld(aFence);
    return;
  }
  ReadLastHolder([this, aFence](std::optional<bool> aWasSelf) {
    const Duration wait =
      aWasSelf.value_or(false) ? Duration{ 0 } : host_.Settings().orderTurn_;
    host_.Timers().After(wait, [this, aFence] { BeginOnceHeld(aFence); });
  });
}

/// The replies that granted the lease may arrive so late that it has nearly
/// expired. In that case the duties begin after the next renewal.
void
DutyLease::BeginOnceHeld(FencingNumber aFence)
{
  if (pendingFence_ != aFence || active_) {
    return;
  }
  if (!key_.Held()) {
    host_.Timers().After(kRetryPause,
                         [this, aFence] { BeginOnceHeld(aFence); });
  } else if (host_.Settings().fencing_ || isLastHolder_) {
    Begin();
  } else {
    WriteLastHolder(aFence);
  }
}

void
DutyLease::Begin()
{
  active_ = true;
  host_.Measures().Set("duty_fence", static_cast<double>(key_.Fence().Get()));
  for (const Listener& listener : listeners_) {
    listener.onBegin_();
  }
}

void
DutyLease::End()
{
  if (active_) {
    LogEvent(LogLevel::Info, "duty_lost", { { "duty", "orders" } });
  }
  active_ = false;
  pendingFence_ = {};
  host_.Measures().Set("duty_fence", 0);
  for (const Listener& listener : listeners_) {
    listener.onEnd_();
  }
}

void
DutyLease::OnFenced()
{
  LogEvent(LogLevel::Warn,
           "duty_fenced",
           { { "fence", std::to_string(key_.Fence().Get()) },
             { "outcome", "the lease is abandoned" } });
  End();
  key_.StartOver();
}

StoreCompare
DutyLease::Compare() const
{
  return { kDutyKey, key_.Fence().Get() };
}

} // namespace marjoramtally
