#include "programs/orderd/order_duty.hpp"

#include "marjoramtally/process/job_takeover.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr const char* kDutyPrefix = "mt/duty/";
constexpr const char* kDutyKey = "mt/duty/orders";
/// The instance that gave orders last; stays when the duty's lease ends.
constexpr const char* kLastHolderKey = "mt/duty/orders-last";

/// An upstream answers an order in some milliseconds; one that does not may
/// still carry it out.
constexpr auto kOrderTimeout = std::chrono::milliseconds(500);
/// A load takes about 0.9 s; reports lag by some hundred milliseconds.
constexpr auto kFirstLook = std::chrono::milliseconds(1050);
constexpr auto kNextLook = std::chrono::milliseconds(100);
/// A load that is not seen to end is ordered anew after this time.
constexpr auto kLongestLoad = std::chrono::seconds(5);
/// The configuration only tells which kind of order is better, not which is
/// allowed; a watch would cost seven times the calls.
constexpr auto kConfigPause = std::chrono::seconds(10);
/// Where upstreams check no fencing numbers, another instance than the last
/// holder has to wait out its turn, 3 s; so at a start the last holder gets
/// this much time to come back, which processes that are killed together do
/// within some 100 ms of each other. Without it and the record of the last
/// holder no orders went out for 4.2 s after all processes were killed; with
/// them, for 1 s.
constexpr auto kLastHolderFirst = std::chrono::milliseconds(500);
/// Pause after a failure; longer than reports lag.
constexpr auto kRestTime = std::chrono::milliseconds(500);

} // namespace

OrderDuty::OrderDuty(GatewayContext& aHost)
  : host_(aHost)
  , reader_(aHost.Formats())
  , duty_(aHost.PlatformStore(),
          aHost.Timers(),
          aHost.LeaseClock(),
          { kDutyKey,
            aHost.Incarnation(),
            aHost.Settings().leaseTtl_,
            true,
            [own = InstanceOf(aHost.Incarnation())](const std::string& aOther) {
              return InstanceOf(aOther) == own;
            } })
  , holders_(aHost.PlatformStore(), aHost.Timers(), kDutyPrefix)
{
  duty_.onHeld_ = [this](FencingNumber aFence) { OnHeld(aFence); };
  duty_.onLost_ = [this] { OnLost(); };
  holders_.onChange_ = [this](const StoreEvent& aEvent) {
    if (aEvent.deleted_ && aEvent.record_.key_ == kDutyKey) {
      duty_.Retry();
    }
  };
  holders_.onAll_ = [this](const StoreRange& aRange) {
    const bool held = std::any_of(
      aRange.records_.begin(),
      aRange.records_.end(),
      [](const StoreRecord& aRecord) { return aRecord.key_ == kDutyKey; });
    if (!held) {
      duty_.Retry();
    }
  };
}

void
OrderDuty::Start()
{
  if (host_.Settings().fencing_) {
    Contend();
    return;
  }
  ReadLastHolder([this](std::optional<bool> aOurs) {
    if (aOurs.value_or(true)) {
      Contend();
    } else {
      host_.Timers().After(kLastHolderFirst, [this] { Contend(); });
    }
  });
}

void
OrderDuty::Contend()
{
  if (!stopped_) {
    duty_.Start();
    holders_.Start();
  }
}

void
OrderDuty::ReadLastHolder(std::function<void(std::optional<bool>)> aDone)
{
  host_.PlatformStore().Read(
    kLastHolderKey,
    [this, done = std::move(aDone)](const Result<StoreRange>& aRange) {
      std::optional<bool> ours;
      if (aRange && !aRange.value().records_.empty()) {
        ours = aRange.value().records_.front().value_ ==
               InstanceOf(host_.Incarnation()).Get();
      }
      lastHolder_ = ours.value_or(false);
      done(ours);
    });
}

void
OrderDuty::WriteLastHolder(FencingNumber aFence)
{
  StoreTxn txn;
  txn.compares_.push_back({ kDutyKey, aFence.Get() });
  txn.puts_.push_back(
    { kLastHolderKey, InstanceOf(host_.Incarnation()).Get(), 0 });
  host_.PlatformStore().Commit(
    std::move(txn), [this, aFence](const Result<StoreCommit>& aEnd) {
      lastHolder_ = aEnd && aEnd.value().applied_;
      if (lastHolder_) {
        FollowOnceHeld(aFence);
      } else if (!aEnd) {
        host_.Timers().After(kRestTime,
                             [this, aFence] { FollowOnceHeld(aFence); });
      }
    });
}

void
OrderDuty::Stop()
{
  stopped_ = true;
  OnLost();
  holders_.Stop();
  duty_.Release();
}

void
OrderDuty::Withdraw()
{
  OnLost();
  holders_.Stop();
  const Duration since = host_.Now() - lastOrder_;
  const Duration rest =
    std::max(host_.Settings().orderTurn_ - since, Duration{ 0 });
  host_.Timers().After(rest, [this] { duty_.Release(); });
}

void
OrderDuty::OnHeld(FencingNumber aFence)
{
  LogEvent(LogLevel::Info,
           "duty_held",
           { { "duty", "orders" }, { "fence", std::to_string(aFence.Get()) } });
  awaited_ = aFence;
  // A holder whose lease lapsed was out of reach, and upstreams refuse its
  // number from our first order on. Where they check none, its last orders
  // have to be over; our own instance's are.
  if (host_.Settings().fencing_) {
    FollowOnceHeld(aFence);
    return;
  }
  ReadLastHolder([this, aFence](std::optional<bool> aOurs) {
    const Duration wait =
      aOurs.value_or(false) ? Duration{ 0 } : host_.Settings().orderTurn_;
    host_.Timers().After(wait, [this, aFence] { FollowOnceHeld(aFence); });
  });
}

/// The answers that made the key ours may have come so late that the lease is
/// nearly over; the next renewal makes it certain.
void
OrderDuty::FollowOnceHeld(FencingNumber aFence)
{
  if (awaited_ != aFence || active_) {
    return;
  }
  if (!duty_.Held()) {
    host_.Timers().After(kRestTime, [this, aFence] { FollowOnceHeld(aFence); });
  } else if (host_.Settings().fencing_ || lastHolder_) {
    Follow();
  } else {
    WriteLastHolder(aFence);
  }
}

void
OrderDuty::OnLost()
{
  if (active_) {
    LogEvent(LogLevel::Info, "duty_lost", { { "duty", "orders" } });
  }
  active_ = false;
  awaited_ = {};
  upstreams_.reset();
  versions_.reset();
  retirements_.reset();
  targets_.clear();
}

void
OrderDuty::Follow()
{
  active_ = true;
  ReadConfig(++term_);
  const StorePlaces& places = host_.Formats().Places();
  const auto follow = [this](const std::string& aPrefix,
                             void (OrderDuty::*aTake)(const StoreRecord&)) {
    auto follower = std::make_unique<PrefixFollower>(
      host_.PlatformStore(), host_.Timers(), aPrefix);
    follower->onAll_ = [this, aTake](const StoreRange& aRange) {
      for (const StoreRecord& record : aRange.records_) {
        (this->*aTake)(record);
      }
    };
    follower->onChange_ = [this, aTake](const StoreEvent& aEvent) {
      if (!aEvent.deleted_) {
        (this->*aTake)(aEvent.record_);
      } else {
        targets_.erase(host_.Formats().UpstreamOf(aEvent.record_.key_));
      }
    };
    follower->onSettled_ = [this] { Plan(); };
    follower->Start();
    return follower;
  };
  upstreams_ = follow(places.upstreams_, &OrderDuty::TakeUpstream);
  versions_ = follow(places.versions_, &OrderDuty::TakeVersion);
  retirements_ = follow(places.retirements_, &OrderDuty::TakeRetirement);
}

void
OrderDuty::ReadConfig(std::uint64_t aTerm)
{
  const std::string& key = host_.Formats().Places().config_;
  host_.PlatformStore().Read(
    key, [this, aTerm, key](const Result<StoreRange>& aRange) {
      if (!active_ || term_ != aTerm) {
        return;
      }
      if (aRange) {
        for (const StoreRecord& record : aRange.value().records_) {
          const auto config = host_.Formats().ReadConfig(record.value_);
          if (record.key_ == key && config) {
            singleVersion_ = SingleVersionModels(config.value());
            services_ = ServicesOf(config.value());
            Plan();
          } else if (!config) {
            LogEvent(LogLevel::Error,
                     "config_unreadable",
                     { { "error", config.error().message_ } });
          }
        }
      }
      const auto pause =
        aRange ? Duration{ kConfigPause } : Duration{ kRestTime };
      host_.Timers().After(pause, [this, aTerm] {
        if (active_ && term_ == aTerm) {
          ReadConfig(aTerm);
        }
      });
    });
}

void
OrderDuty::TakeUpstream(const StoreRecord& aRecord)
{
  auto entry = reader_.Read(aRecord);
  const UpstreamId id = host_.Formats().UpstreamOf(aRecord.key_);
  const auto known = targets_.find(id);
  if (known != targets_.end() && entry &&
      entry->start_ < known->second.entry_.start_) {
    return;
  }
  if (!entry || entry->draining_) {
    targets_.erase(id);
    return;
  }
  if (known != targets_.end()) {
    StartOver(known->second, entry->start_);
  }
  Target& target = targets_[id];
  TakeModels(target, entry->models_);
  target.entry_ = std::move(*entry);
}

bool
OrderDuty::StartOver(Target& aTarget, UpstreamStart aStart)
{
  if (aStart <= aTarget.entry_.start_) {
    return false;
  }
  LogEvent(LogLevel::Info,
           "upstream_restarted",
           { { "id", aTarget.entry_.id_.Get() },
             { "start", std::to_string(aStart.Get()) } });
  UpstreamEntry entry = std::move(aTarget.entry_);
  entry.start_ = aStart;
  // Answers to steps of before are ignored.
  const std::uint64_t step = aTarget.step_ + 1;
  aTarget = Target{};
  aTarget.entry_ = std::move(entry);
  aTarget.step_ = step;
  return true;
}

void
OrderDuty::TakeModels(Target& aTarget, const std::vector<ModelVersion>& aModels)
{
  for (const ModelVersion& model : aModels) {
    WeightVersion& known = aTarget.versions_[model.model_];
    known = std::max(known, model.version_);
  }
}

void
OrderDuty::TakeVersion(const StoreRecord& aRecord)
{
  const auto named = host_.Formats().ReadVersion(aRecord.value_);
  if (!named) {
    LogEvent(LogLevel::Error,
             "version_unreadable",
             { { "key", aRecord.key_ }, { "error", named.error().message_ } });
    return;
  }
  LogEvent(LogLevel::Info,
           "version_named",
           { { "model", named.value().model_ },
             { "version", std::to_string(named.value().version_.Get()) } });
  plan_.OnNamed(named.value().model_, named.value().version_, host_.Now());
}

void
OrderDuty::TakeRetirement(const StoreRecord& aRecord)
{
  const std::string& prefix = host_.Formats().Places().retirements_;
  const std::string instance = aRecord.key_.substr(prefix.size());
  if (!retired_.insert(instance).second) {
    return;
  }
  // Instances keep nothing of their own; what lasts lies in the store.
  const auto [key, value] =
    host_.Formats().RetireStatus(InstanceId{ instance }, true);
  LogEvent(LogLevel::Info, "instance_retired", { { "instance", instance } });
  if (instance == host_.Settings().instance_) {
    Withdraw();
  }
  StoreTxn txn;
  txn.puts_.push_back({ key, value, 0 });
  host_.PlatformStore().Commit(
    std::move(txn), [this, aRecord, instance](const Result<StoreCommit>& aEnd) {
      if (!aEnd) {
        retired_.erase(instance);
        host_.Timers().After(kRestTime,
                             [this, aRecord] { TakeRetirement(aRecord); });
      }
    });
}

/// A service that the configuration does not name may have been added since it
/// was read; so it is read once more for each such name.
void
OrderDuty::LookUpServices()
{
  bool read = false;
  for (const auto& [id, target] : targets_) {
    const ServiceId& service = target.entry_.service_;
    read = (!Named(service) && unnamed_.insert(service).second) || read;
  }
  if (read) {
    ReadConfig(++term_);
  }
}

void
OrderDuty::Plan()
{
  if (!active_ || !duty_.Held()) {
    return;
  }
  LookUpServices();
  std::vector<PlanUpstream> upstreams;
  for (const auto& [id, target] : targets_) {
    if (!target.versions_.empty() && Named(target.entry_.service_)) {
      upstreams.push_back({ id,
                            target.entry_.service_,
                            target.entry_.zone_,
                            target.versions_,
                            target.phase_ != Phase::Idle });
    }
  }
  for (const PlannedLoad& load : plan_.Next(upstreams)) {
    Begin(load);
  }
}

void
OrderDuty::Begin(const PlannedLoad& aLoad)
{
  Target& target = targets_.at(aLoad.upstream_);
  target.load_ = aLoad;
  target.since_ = host_.Now();
  if (target.orders_) {
    SendOrder(target);
  } else {
    ReadState(target);
  }
}

HttpDone
OrderDuty::Answer(Target& aTarget,
                  void (OrderDuty::*aTake)(const UpstreamId&,
                                           const HttpResult&))
{
  const UpstreamId id = aTarget.entry_.id_;
  const std::uint64_t step = ++aTarget.step_;
  return [this, id, step, aTake](const HttpResult& aResult) {
    const auto it = targets_.find(id);
    if (active_ && it != targets_.end() && it->second.step_ == step) {
      (this->*aTake)(id, aResult);
    }
  };
}

void
OrderDuty::Later(Target& aTarget,
                 Duration aPause,
                 void (OrderDuty::*aStep)(Target&))
{
  const UpstreamId id = aTarget.entry_.id_;
  const std::uint64_t step = ++aTarget.step_;
  host_.Timers().After(aPause, [this, id, step, aStep] {
    const auto it = targets_.find(id);
    if (active_ && it != targets_.end() && it->second.step_ == step) {
      (this->*aStep)(it->second);
    }
  });
}

void
OrderDuty::ReadState(Target& aTarget)
{
  if (aTarget.phase_ != Phase::Loading) {
    aTarget.phase_ = Phase::Reading;
  }
  HttpCall call = host_.Formats().MakeReportCall(aTarget.entry_);
  call.timeout_ = kOrderTimeout;
  call.connectTimeout_ = kUpstreamConnectTimeout;
  host_.Client().Send(std::move(call), Answer(aTarget, &OrderDuty::OnState));
}

void
OrderDuty::OnState(const UpstreamId& aId, const HttpResult& aResult)
{
  Target& target = targets_.at(aId);
  if (aResult.end_ != HttpEnd::Whole || aResult.response_.status_ != 200) {
    Rest(target, "no report");
    return;
  }
  const auto report = host_.Formats().ReadReport(aResult.response_.body_);
  if (!report) {
    Rest(target, report.error().message_);
    return;
  }
  const bool startKnown = target.entry_.start_ != UpstreamStart{};
  const bool restarted = startKnown && StartOver(target, report.value().start_);
  TakeModels(target, report.value().models_);
  if (restarted) {
    Plan();
    return;
  }
  const bool reached =
    target.versions_[target.load_.model_] >= target.load_.version_;
  if (target.phase_ == Phase::Loading) {
    if (reached || host_.Now() - target.since_ > kLongestLoad) {
      LogEvent(LogLevel::Info,
               "load_ended",
               { { "upstream", aId.Get() },
                 { "model", target.load_.model_ },
                 { "version", std::to_string(target.load_.version_.Get()) },
                 { "outcome", reached ? "loaded" : "not seen to end" } });
      target.phase_ = Phase::Idle;
      if (!reached) {
        target.orders_.reset();
      }
      Plan();
    } else {
      LookAgain(target, kNextLook);
    }
    return;
  }
  target.orders_ = report.value().orders_;
  if (reached) {
    target.phase_ = Phase::Idle;
    Plan();
  } else if (report.value().busy_) {
    Rest(target, "another order is under way");
  } else {
    SendOrder(target);
  }
}

void
OrderDuty::SendOrder(Target& aTarget)
{
  if (!duty_.Held()) {
    aTarget.phase_ = Phase::Idle;
    return;
  }
  aTarget.phase_ = Phase::Sending;
  const VersionOrder order{
    aTarget.load_.model_, aTarget.load_.version_,
    host_.Incarnation(),  duty_.Fence(),
    aTarget.orders_,      singleVersion_.contains(aTarget.load_.model_)
  };
  LogEvent(
    LogLevel::Info,
    "order_sent",
    { { "upstream", aTarget.entry_.id_.Get() },
      { "model", order.model_ },
      { "version", std::to_string(order.version_.Get()) },
      { "fence", std::to_string(order.fence_.Get()) },
      { "runs", order.runsFinish_ ? "finish first" : "go on" },
      { "expected", std::to_string(order.expectedOrders_.value_or(0)) } });
  HttpCall call = host_.Formats().MakeOrder(aTarget.entry_, order);
  call.timeout_ = kOrderTimeout;
  call.connectTimeout_ = kUpstreamConnectTimeout;
  lastOrder_ = host_.Now();
  host_.Client().Send(std::move(call),
                      Answer(aTarget, &OrderDuty::OnOrderAnswer));
}

void
OrderDuty::OnOrderAnswer(const UpstreamId& aId, const HttpResult& aResult)
{
  Target& target = targets_.at(aId);
  const int status =
    aResult.end_ == HttpEnd::Whole ? aResult.response_.status_ : 0;
  LogEvent(LogLevel::Info,
           "order_answered",
           { { "upstream", aId.Get() },
             { "status", std::to_string(status) },
             { "error", aResult.message_ } });
  switch (status) {
    case 202:
      ++*target.orders_;
      target.phase_ = Phase::Loading;
      LookAgain(target, kFirstLook);
      return;
    case 200:
      target.versions_[target.load_.model_] = target.load_.version_;
      target.phase_ = Phase::Idle;
      target.orders_.reset();
      Plan();
      return;
    case 412:
      // Another process has given orders under a higher number.
      duty_.StartOver();
      OnLost();
      return;
    case 421:
      targets_.erase(aId);
      Plan();
      return;
    default:
      Rest(target, status == 0 ? "no answer" : "refused");
      return;
  }
}

void
OrderDuty::LookAgain(Target& aTarget, Duration aPause)
{
  Later(aTarget, aPause, &OrderDuty::ReadState);
}

void
OrderDuty::Rest(Target& aTarget, std::string_view aWhy)
{
  LogEvent(
    LogLevel::Info,
    "order_put_off",
    { { "upstream", aTarget.entry_.id_.Get() }, { "why", std::string(aWhy) } });
  aTarget.phase_ = Phase::Resting;
  aTarget.orders_.reset();
  Later(aTarget, kRestTime, &OrderDuty::WakeUp);
}

void
OrderDuty::WakeUp(Target& aTarget)
{
  aTarget.phase_ = Phase::Idle;
  Plan();
}

} // namespace marjoramtally
