#include "programs/orderd/order_duty.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace marjoramtally {

namespace {

/// The configuration determines the kind of orders and the known services; an
/// unknown service causes an immediate read. A watch would need seven times as
/// many calls.
constexpr auto kConfigReadInterval = std::chrono::seconds(10);
/// The limit of concurrent loads that the holder of the duty has found.
constexpr const char* kLoadLimitKey = "mt/duty/load-limit";
/// Upper bound of a recorded limit, which guards against an invalid record.
constexpr std::uint32_t kMaxLoadLimit = 100'000;

} // namespace

OrderDuty::OrderDuty(GatewayContext& aHost, DutyLease& aLease)
  : host_(aHost)
  , lease_(aLease)
  , reader_(aHost.Formats())
{
  lease_.Add({ [this] { Begin(); }, [this] { End(); } });
  lease_.onRecord_ = [this](const StoreRecord& aRecord) {
    OnDutyRecord(aRecord);
  };
}

void
OrderDuty::OnDutyRecord(const StoreRecord& aRecord)
{
  const std::string_view key = aRecord.key_;
  const std::string_view bursts = kBurstPrefix;
  if (!key.starts_with(bursts)) {
    return;
  }
  const auto slots = ParseNumber(aRecord.value_, 1, UINT32_MAX);
  if (!slots) {
    LogEvent(LogLevel::Error,
             "record_unreadable",
             { { "key", aRecord.key_ }, { "error", "not a number" } });
    return;
  }
  plan_.OnBurst(std::string(key.substr(bursts.size())), *slots);
}

void
OrderDuty::End()
{
  host_.Timers().Cancel(std::exchange(planTimer_, 0));
  upstreams_.reset();
  versions_.reset();
  retirements_.reset();
  targets_.clear();
  longRuns_.clear();
  reportedLongRuns_.clear();
  reportedDemand_.clear();
}

void
OrderDuty::Begin()
{
  // A configuration read in an earlier term may be outdated.
  services_.reset();
  singleVersion_.clear();
  planDue_ = true;
  ReadConfig(++term_);
  ReadLoadLimit(term_);
  const StorePlaces& places = host_.Formats().Places();
  const auto follow = [this](const std::string& aPrefix,
                             void (OrderDuty::*aHandler)(const StoreRecord&)) {
    auto follower = std::make_unique<PrefixFollower>(
      host_.PlatformStore(), host_.Timers(), aPrefix);
    follower->onSnapshot_ = [this, aHandler](const StoreRange& aRange) {
      for (const StoreRecord& record : aRange.records_) {
        (this->*aHandler)(record);
      }
    };
    follower->onChange_ = [this, aHandler](const StoreEvent& aEvent) {
      if (!aEvent.deleted_) {
        (this->*aHandler)(aEvent.record_);
      } else {
        RemoveUpstream(host_.Formats().UpstreamOf(aEvent.record_.key_));
      }
    };
    follower->onBatchEnd_ = [this] { Plan(); };
    return follower;
  };
  upstreams_ = follow(places.upstreams_, &OrderDuty::OnUpstreamRecord);
  upstreams_->onSnapshot_ = [this](const StoreRange& aRange) {
    OnUpstreamsRead(aRange);
  };
  versions_ = follow(places.versions_, &OrderDuty::OnVersionRecord);
  retirements_ = follow(places.retirements_, &OrderDuty::OnRetirementRecord);
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
      if (!lease_.Active() || term_ != aTerm) {
        return;
      }
      if (aRange) {
        ApplyConfig(aRange.value());
      } else {
        LogEvent(LogLevel::Warn,
                 "config_not_read",
                 { { "error", aRange.error().message_ } });
      }
      if (term_ != aTerm) {
        return;
      }
      // Orders wait until the configuration is known.
      const bool known = aRange && services_;
      const auto pause =
        known ? Duration{ kConfigReadInterval } : Duration{ kOrderRetryPause };
      host_.Timers().After(pause, [this, aTerm] {
        if (lease_.Active() && term_ == aTerm) {
          ReadConfig(aTerm);
        }
      });
    });
}

void
OrderDuty::ReadLoadLimit(std::uint64_t aTerm)
{
  host_.PlatformStore().Read(
    kLoadLimitKey, [this, aTerm](const Result<StoreRange>& aRange) {
      if (!lease_.Active() || term_ != aTerm) {
        return;
      }
      if (!aRange) {
        LogEvent(LogLevel::Info,
                 "load_limit_not_read",
                 { { "error", aRange.error().message_ } });
        return;
      }
      for (const StoreRecord& record : aRange.value().records_) {
        const auto limit = ParseNumber(record.value_, 1, kMaxLoadLimit);
        if (record.key_ == kLoadLimitKey && limit) {
          recordedLimit_ = static_cast<std::uint32_t>(*limit);
          plan_.RememberLoadLimit(recordedLimit_);
          Replan();
        }
      }
    });
}

/// Small limits are not recorded: they are found again at once.
void
OrderDuty::RecordLoadLimit()
{
  const std::uint32_t limit = plan_.ConcurrentLoadLimit();
  const bool changed =
    limit >= 2 * recordedLimit_ || 2 * limit <= recordedLimit_;
  const bool small = limit <= LoadLimit::kMaxInitialLimit &&
                     recordedLimit_ <= LoadLimit::kMaxInitialLimit;
  if (!changed || small) {
    return;
  }
  recordedLimit_ = limit;
  StoreTxn txn;
  txn.compares_.push_back(lease_.Compare());
  txn.puts_.push_back({ kLoadLimitKey, std::to_string(limit), 0 });
  host_.PlatformStore().Commit(
    std::move(txn), [limit](const Result<StoreCommit>& aEnd) {
      if (!aEnd) {
        LogEvent(LogLevel::Info,
                 "load_limit_not_recorded",
                 { { "limit", std::to_string(limit) },
                   { "error", aEnd.error().message_ } });
      }
    });
}

void
OrderDuty::ApplyConfig(const StoreRange& aRange)
{
  for (const StoreRecord& record : aRange.records_) {
    if (record.key_ != host_.Formats().Places().config_) {
      continue;
    }
    const auto config = host_.Formats().ReadConfig(record.value_);
    if (!config) {
      LogEvent(
        LogLevel::Error,
        "config_unreadable",
        { { "error", config.error().message_ },
          { "orders",
            services_ ? "continue with the last configuration" : "wait" } });
      continue;
    }
    singleVersion_ = SingleVersionModels(config.value());
    services_ = ServicesOf(config.value());
    supplies_.clear();
    for (const auto& [service, spec] : config.value().services_) {
      if (spec.supply_) {
        supplies_.emplace(service, *spec.supply_);
      }
    }
    Replan();
  }
}

void
OrderDuty::OnUsage(const GatewayUsage& aUsage)
{
  for (const auto& [upstream, runs] : aUsage.longRuns_) {
    reportedLongRuns_[upstream] += runs;
  }
  for (const auto& [model, places] : aUsage.modelDemand_) {
    reportedDemand_[model] += places;
  }
}

void
OrderDuty::OnPollRound()
{
  longRuns_ = std::exchange(reportedLongRuns_, {});
  for (const auto& [model, places] : std::exchange(reportedDemand_, {})) {
    if (places > 0) {
      plan_.OnDemand(model, places, host_.Now());
    }
  }
}

std::vector<SupplyView>
OrderDuty::SupplyViews() const
{
  std::vector<SupplyView> views;
  for (const auto& [service, supply] : supplies_) {
    SupplyView view;
    view.service_ = service;
    view.supply_ = supply;
    for (const auto& [id, target] : targets_) {
      const UpstreamEntry& entry = target.entry_;
      if (entry.service_ == service) {
        ++view.serving_[entry.zone_];
        view.spot_[entry.zone_] += entry.spot_ ? 1 : 0;
        view.slots_ = entry.slots_;
      }
    }
    // Include zones in which no upstream serves now.
    for (const auto& [zone, price] : supply.zonePrices_) {
      view.serving_.try_emplace(zone, 0);
    }
    if (!targets_.empty()) {
      views.push_back(std::move(view));
    }
  }
  return views;
}

/// An upstream that left while no watch was open appears in no event; it is
/// only missing from the complete read. Unless removed here, it would still
/// count as serving its models, although no order reaches it.
void
OrderDuty::OnUpstreamsRead(const StoreRange& aRange)
{
  std::set<UpstreamId> listed;
  for (const StoreRecord& record : aRange.records_) {
    listed.insert(host_.Formats().UpstreamOf(record.key_));
    OnUpstreamRecord(record);
  }
  const std::size_t gone = std::erase_if(targets_, [&](const auto& aTarget) {
    return !listed.contains(aTarget.first);
  });
  planDue_ = planDue_ || gone > 0;
}

void
OrderDuty::RemoveUpstream(const UpstreamId& aId)
{
  planDue_ = targets_.erase(aId) > 0 || planDue_;
}

void
OrderDuty::OnUpstreamRecord(const StoreRecord& aRecord)
{
  auto entry = reader_.Read(aRecord);
  const UpstreamId id = host_.Formats().UpstreamOf(aRecord.key_);
  const auto known = targets_.find(id);
  if (known != targets_.end() && entry &&
      entry->start_ < known->second.entry_.start_) {
    return;
  }
  if (!entry || entry->draining_) {
    RemoveUpstream(id);
    return;
  }
  const bool added = known == targets_.end();
  Target& target = targets_[id];
  const bool restarted = !added && ResetIfRestarted(target, entry->start_);
  const bool moved = target.entry_.service_ != entry->service_ ||
                     target.entry_.zone_ != entry->zone_;
  const bool newer = MergeModels(target, entry->models_);
  planDue_ = planDue_ || added || restarted || moved || newer;
  target.entry_ = std::move(*entry);
}

bool
OrderDuty::ResetIfRestarted(Target& aTarget, UpstreamStart aStart)
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
  // Replies to steps of the earlier incarnation are ignored.
  const std::uint64_t step = aTarget.step_ + 1;
  aTarget = Target{};
  aTarget.entry_ = std::move(entry);
  aTarget.step_ = step;
  return true;
}

bool
OrderDuty::MergeModels(Target& aTarget,
                       const std::vector<ModelVersion>& aModels)
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
OrderDuty::OnVersionRecord(const StoreRecord& aRecord)
{
  const auto announced = host_.Formats().ReadVersion(aRecord.value_);
  if (!announced) {
    LogEvent(
      LogLevel::Error,
      "version_unreadable",
      { { "key", aRecord.key_ }, { "error", announced.error().message_ } });
    return;
  }
  LogEvent(LogLevel::Info,
           "version_named",
           { { "model", announced.value().model_ },
             { "version", std::to_string(announced.value().version_.Get()) } });
  plan_.OnVersionAnnounced(
    announced.value().model_, announced.value().version_, host_.Now());
  planDue_ = true;
}

void
OrderDuty::OnRetirementRecord(const StoreRecord& aRecord)
{
  const std::string& prefix = host_.Formats().Places().retirements_;
  const std::string instance = aRecord.key_.substr(prefix.size());
  if (!retired_.insert(instance).second) {
    return;
  }
  // Instances have no local state to save: durable state is in the store, so
  // the retirement is confirmed at once.
  const auto [key, value] =
    host_.Formats().RetireStatus(InstanceId{ instance }, true);
  LogEvent(LogLevel::Info, "instance_retired", { { "instance", instance } });
  if (instance == host_.Settings().instance_) {
    lease_.Withdraw();
  }
  StoreTxn txn;
  txn.puts_.push_back({ key, value, 0 });
  host_.PlatformStore().Commit(
    std::move(txn), [this, aRecord, instance](const Result<StoreCommit>& aEnd) {
      if (!aEnd) {
        retired_.erase(instance);
        host_.Timers().After(kOrderRetryPause,
                             [this, aRecord] { OnRetirementRecord(aRecord); });
      }
    });
}

} // namespace marjoramtally
