#include "programs/orderd/order_duty.hpp"

#include "marjoramtally/process/job_takeover.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace marjoramtally {

namespace {

constexpr const char* kDutyPrefix = "mt/duty/";
constexpr const char* kDutyKey = "mt/duty/orders";
/// The instance that gave orders last; stays when the duty's lease ends.
constexpr const char* kLastHolderKey = "mt/duty/orders-last";

/// The configuration tells which kind of order is better and which services
/// there are; a service that is missing is looked up at once. A watch would
/// cost seven times the calls.
constexpr auto kConfigPause = std::chrono::seconds(10);
/// Where upstreams check no fencing numbers, another instance than the last
/// holder has to wait out its turn, 3 s; so at a start the last holder gets
/// this much time to come back, which processes that are killed together do
/// within some 100 ms of each other. Without it and the record of the last
/// holder no orders went out for 4.2 s after all processes were killed; with
/// them, for 0.6 s, of which the processes were down for 0.5 s.
constexpr auto kLastHolderFirst = std::chrono::milliseconds(500);

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
  host_.Timers().Cancel(std::exchange(planTimer_, 0));
  upstreams_.reset();
  versions_.reset();
  retirements_.reset();
  targets_.clear();
}

void
OrderDuty::Follow()
{
  active_ = true;
  // What was read in an earlier turn may have changed since.
  services_.reset();
  singleVersion_.clear();
  planDue_ = true;
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
        DropUpstream(host_.Formats().UpstreamOf(aEvent.record_.key_));
      }
    };
    follower->onSettled_ = [this] { Plan(); };
    return follower;
  };
  upstreams_ = follow(places.upstreams_, &OrderDuty::TakeUpstream);
  upstreams_->onAll_ = [this](const StoreRange& aRange) {
    TakeUpstreams(aRange);
  };
  versions_ = follow(places.versions_, &OrderDuty::TakeVersion);
  retirements_ = follow(places.retirements_, &OrderDuty::TakeRetirement);
  upstreams_->Start();
  versions_->Start();
  retirements_->Start();
}

void
OrderDuty::ReadConfig(std::uint64_t aTerm)
{
  host_.PlatformStore().Read(
    host_.Formats().Places().config_,
    [this, aTerm](const Result<StoreRange>& aRange) {
      if (!active_ || term_ != aTerm) {
        return;
      }
      if (aRange) {
        TakeConfig(aRange.value());
      } else {
        LogEvent(LogLevel::Warn,
                 "config_not_read",
                 { { "error", aRange.error().message_ } });
      }
      if (term_ != aTerm) {
        return;
      }
      // As long as none is known, orders wait for it.
      const bool known = aRange && services_;
      const auto pause =
        known ? Duration{ kConfigPause } : Duration{ kRestTime };
      host_.Timers().After(pause, [this, aTerm] {
        if (active_ && term_ == aTerm) {
          ReadConfig(aTerm);
        }
      });
    });
}

void
OrderDuty::TakeConfig(const StoreRange& aRange)
{
  for (const StoreRecord& record : aRange.records_) {
    if (record.key_ != host_.Formats().Places().config_) {
      continue;
    }
    const auto config = host_.Formats().ReadConfig(record.value_);
    if (!config) {
      LogEvent(LogLevel::Error,
               "config_unreadable",
               { { "error", config.error().message_ },
                 { "orders", services_ ? "go on by the last" : "wait" } });
      continue;
    }
    singleVersion_ = SingleVersionModels(config.value());
    services_ = ServicesOf(config.value());
    Replan();
  }
}

/// What left while no watch was open is told of only by being missing here; it
/// would stay a home of its models that no order reaches.
void
OrderDuty::TakeUpstreams(const StoreRange& aRange)
{
  std::set<UpstreamId> listed;
  for (const StoreRecord& record : aRange.records_) {
    listed.insert(host_.Formats().UpstreamOf(record.key_));
    TakeUpstream(record);
  }
  const std::size_t gone = std::erase_if(targets_, [&](const auto& aTarget) {
    return !listed.contains(aTarget.first);
  });
  planDue_ = planDue_ || gone > 0;
}

void
OrderDuty::DropUpstream(const UpstreamId& aId)
{
  planDue_ = targets_.erase(aId) > 0 || planDue_;
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
    DropUpstream(id);
    return;
  }
  const bool added = known == targets_.end();
  Target& target = targets_[id];
  const bool restarted = !added && StartOver(target, entry->start_);
  const bool moved = target.entry_.service_ != entry->service_ ||
                     target.entry_.zone_ != entry->zone_;
  const bool newer = TakeModels(target, entry->models_);
  planDue_ = planDue_ || added || restarted || moved || newer;
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

bool
OrderDuty::TakeModels(Target& aTarget, const std::vector<ModelVersion>& aModels)
{
  bool newer = false;
  for (const ModelVersion& model : aModels) {
    const auto [it, added] =
      aTarget.versions_.try_emplace(model.model_, model.version_);
    newer = newer || added || it->second < model.version_;
    it->second = std::max(it->second, model.version_);
  }
  return newer;
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
  planDue_ = true;
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

} // namespace marjoramtally
