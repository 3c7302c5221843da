#include "programs/controld/order_service.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr auto kTick = std::chrono::milliseconds(20);
constexpr auto kSyncPeriod = std::chrono::milliseconds(200);
/// Delay before repeating a claim that the view does not show yet.
constexpr auto kClaimRetryDelay = std::chrono::seconds(2);
/// Bounds concurrent claims so that a start does not overload the store.
constexpr std::size_t kMaxOpenClaims = 16;
/// How long another instance must be preferred before an upstream is handed
/// over to it.
constexpr auto kHandOverDelay = std::chrono::seconds(10);
/// How long a larger share of switch slots must last before it is used; longer
/// than the cluster views of instances differ, so that their shares never add
/// up to more than all slots.
constexpr auto kShareIncreaseDelay = std::chrono::seconds(2);
constexpr std::string_view kEngineKind = "engine";

std::string
DutyOf(const UpstreamId& aUpstream)
{
  return "upstream/" + aUpstream.Get();
}

bool
IsOrdered(const ClusterView& aView, const UpstreamRule& aRule)
{
  const auto service =
    aView.rules_->services_.find(ServiceId{ aRule.service_ });
  return service != aView.rules_->services_.end() &&
         service->second.kind_ == kEngineKind && !aRule.leaving_;
}

const OwnerRecord*
OwnerOf(const ClusterView& aView, const UpstreamId& aUpstream)
{
  const auto owner = aView.owners_.find(DutyOf(aUpstream));
  return owner == aView.owners_.end() ? nullptr : &owner->second;
}

} // namespace

OrderService::OrderService(Host& aHost, Owners& aOwners)
  : host_(aHost)
  , owners_(aOwners)
  , sender_(aHost)
  , rollout_({}, std::hash<std::string>{}(aHost.Settings().instance_))
{
}

void
OrderService::Start()
{
  host_.TimerQueue().Every(kTick, [this] { Tick(); });
}

void
OrderService::Tick()
{
  const auto view = host_.ClusterState().View();
  RolloutActions actions;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = host_.Now();
    rollout_.OnLease(host_.ClusterState().LeaseUntil());
    if (now >= nextSync_) {
      nextSync_ = now + kSyncPeriod;
      SyncWithView(*view);
    }
    actions = rollout_.Decide(now);
  }
  for (const RolloutAction& action : actions) {
    Perform(action);
  }
}

void
OrderService::SyncWithView(const ClusterView& aView)
{
  const StoreLeaseId lease = host_.ClusterState().Lease();
  // Without a lease this instance stays owner under its known fencing numbers;
  // actions that need the lease are bounded by its expiry.
  if (lease != 0 && lease != lease_) {
    // All ownership expired with the previous lease, even if the view still
    // lists it.
    for (const auto& [id, rule] : aView.rules_->upstreams_) {
      rollout_.OnLost(id);
    }
    lease_ = lease;
    claimRetryAt_.clear();
  }
  const ServiceMap services = CollectServices(aView);
  SetPolicy(aView);
  for (const auto& [id, rule] : aView.rules_->upstreams_) {
    if (IsOrdered(aView, rule)) {
      UpdateOwnership(aView, services.at(ServiceId{ rule.service_ }), rule);
    } else {
      rollout_.OnLost(id);
    }
  }
  SetGoals(aView, services);
  const RolloutCounts counts = rollout_.Counts();
  host_.Measures().Set("upstreams_owned", static_cast<double>(counts.owned_));
  host_.Measures().Set("upstreams_settled",
                       static_cast<double>(counts.settled_));
  host_.Measures().Set("upstreams_answering",
                       static_cast<double>(counts.answering_));
}

OrderService::ServiceMap
OrderService::CollectServices(const ClusterView& aView)
{
  ServiceMap services;
  for (const auto& [id, rule] : aView.rules_->upstreams_) {
    if (!IsOrdered(aView, rule)) {
      continue;
    }
    ServiceOwners& service = services[ServiceId{ rule.service_ }];
    ++service.upstreams_;
    service.zones_.insert(ZoneId{ rule.zone_ });
    const OwnerRecord* owner = OwnerOf(aView, id);
    if (owner != nullptr) {
      service.currentOwners_.insert(owner->owner_);
    }
  }
  for (auto& [id, service] : services) {
    const ServiceRule& rule = aView.rules_->services_.at(id);
    service.slots_ = SwitchSlots(service.upstreams_, rule.floor_, rule.wave_);
  }
  return services;
}

void
OrderService::SetPolicy(const ClusterView& aView)
{
  const InstanceId& self = host_.ClusterState().Self().id_;
  std::uint64_t owned = 0;
  std::uint64_t total = 0;
  for (const auto& [duty, owner] : aView.owners_) {
    if (duty.starts_with(DutyOf(UpstreamId{}))) {
      ++total;
      owned += owner.owner_ == self ? 1 : 0;
    }
  }
  const Rules& rules = *aView.rules_;
  RolloutPolicy policy;
  policy.fencing_.margin_ = rules.orders_.margin_;
  policy.fencing_.maxEffectDelay_ = rules.orders_.effect_;
  policy.loadsPerSecond_ =
    RateShare(static_cast<double>(rules.weightStore_.rate_), owned, total);
  policy.parallelLoads_ =
    std::max<std::uint64_t>(1,
                            rules.weightStore_.parallelLoads_ * owned /
                              std::max<std::uint64_t>(1, total));
  policy.readPeriod_ = ReadPeriod(owned);
  rollout_.SetPolicy(policy);
}

void
OrderService::SetGoals(const ClusterView& aView, const ServiceMap& aServices)
{
  const InstanceId& self = host_.ClusterState().Self().id_;
  for (const auto& [id, service] : aServices) {
    const auto index = std::distance(service.currentOwners_.begin(),
                                     service.currentOwners_.lower_bound(self));
    const bool isOwner = service.currentOwners_.contains(self);
    const std::uint64_t share = isOwner
                                  ? SlotShare(service.slots_,
                                              service.currentOwners_.size(),
                                              static_cast<std::uint64_t>(index))
                                  : 0;
    ServiceGoal goal;
    goal.drain_ = aView.rules_->services_.at(id).drain_;
    goal.switchSlots_ =
      shares_.try_emplace(id, SteadyShare(kShareIncreaseDelay))
        .first->second.Update(share, host_.Now());
    for (const auto& [name, trainer] : aView.rules_->trainers_) {
      const auto version = aView.versions_.find(trainer.model_);
      if (trainer.service_ == id.Get() && version != aView.versions_.end()) {
        goal.versions_[trainer.model_] = version->second;
      }
    }
    rollout_.SetGoal(id, std::move(goal));
  }
}

void
OrderService::UpdateOwnership(const ClusterView& aView,
                              const ServiceOwners& aService,
                              const UpstreamRule& aRule)
{
  const InstanceId& self = host_.ClusterState().Self().id_;
  const OwnerRecord* owner = OwnerOf(aView, aRule.id_);
  const bool preferred = PreferredFor(aView, aService, aRule) == self;
  if (owner != nullptr && owner->owner_ != self) {
    rollout_.OnLost(aRule.id_);
    claimRetryAt_.erase(aRule.id_);
    return;
  }
  if (owner == nullptr) {
    if (preferred) {
      Claim(aRule);
    }
    return;
  }
  // A record under a previous lease of this instance is about to expire.
  if (owner->lease_ != lease_) {
    return;
  }
  rollout_.OnOwned({ aRule.id_, ServiceId{ aRule.service_ }, aRule.fencing_ },
                   owner->term_,
                   host_.Now());
  rollout_.SetRole(aRule.id_, RoleFor(aView, aRule));
  claimRetryAt_.erase(aRule.id_);
  if (preferred) {
    preferredElsewhere_.erase(aRule.id_);
  } else {
    HandOver(aRule.id_, owner->term_);
  }
}

InstanceId
OrderService::PreferredFor(const ClusterView& aView,
                           const ServiceOwners& aService,
                           const UpstreamRule& aRule) const
{
  std::vector<InstanceId> local;
  std::vector<InstanceId> all;
  for (const auto& [id, instance] : aView.instances_) {
    if (instance.role_ != "control") {
      continue;
    }
    all.push_back(id);
    if (instance.zone_.Get() == aRule.zone_) {
      local.push_back(id);
    }
  }
  // At most as many owners as switch slots: each needs at least one slot.
  const std::uint64_t zones = aService.zones_.size();
  const bool byZone = !local.empty() && aService.slots_ >= zones;
  const std::uint64_t maxOwners =
    byZone ? aService.slots_ / zones : aService.slots_;
  const auto owners =
    ChooseOwners(ServiceId{ aRule.service_ }, byZone ? local : all, maxOwners);
  return PreferredOwner(aRule.id_, owners);
}

std::string
OrderService::RoleFor(const ClusterView& aView, const UpstreamRule& aRule)
{
  const auto allocated = aView.roles_.find(aRule.id_);
  const bool allocates =
    aView.rules_->services_.at(ServiceId{ aRule.service_ }).allocate_;
  return allocates && allocated != aView.roles_.end() ? allocated->second
                                                      : aRule.role_;
}

void
OrderService::Claim(const UpstreamRule& aRule)
{
  const TimePoint now = host_.Now();
  const auto claimed = claimRetryAt_.find(aRule.id_);
  const bool waiting = claimed != claimRetryAt_.end() && now < claimed->second;
  const auto open =
    std::count_if(claimRetryAt_.begin(),
                  claimRetryAt_.end(),
                  [now](const auto& aClaim) { return now < aClaim.second; });
  if (waiting || static_cast<std::size_t>(open) >= kMaxOpenClaims) {
    return;
  }
  claimRetryAt_[aRule.id_] = now + kClaimRetryDelay;
  // The view shows the outcome, with the lease that the record belongs to.
  owners_.Acquire(DutyOf(aRule.id_), [](const Result<Ownership>&) {});
}

void
OrderService::HandOver(const UpstreamId& aUpstream, FencingNumber aTerm)
{
  const TimePoint now = host_.Now();
  const auto since =
    preferredElsewhere_.try_emplace(aUpstream, now).first->second;
  if (now - since < kHandOverDelay || !rollout_.Idle(aUpstream)) {
    return;
  }
  preferredElsewhere_.erase(aUpstream);
  rollout_.OnLost(aUpstream);
  const std::string key = std::string(kOwnerPrefix) + DutyOf(aUpstream);
  StoreTxn txn;
  txn.compares_.push_back({ key, aTerm.Get() });
  txn.deletes_.push_back(key);
  host_.PlatformStore().Commit(
    std::move(txn), [aUpstream](const Result<StoreCommit>& aCommit) {
      LogEvent(LogLevel::Info,
               "upstream_handed_over",
               { { "upstream", aUpstream.Get() },
                 { "applied", aCommit ? "yes" : "unknown" } });
    });
}

void
OrderService::Perform(const RolloutAction& aAction)
{
  if (const auto* notice = std::get_if<RolloutNotice>(&aAction)) {
    LogNotice(*notice);
    return;
  }
  if (const auto* order = std::get_if<SendOrder>(&aAction)) {
    sender_.Send(*order, [this, sent = *order](OrderEnd aEnd) {
      const std::lock_guard lock(mutex_);
      rollout_.OnOrderEnd(sent, aEnd, host_.Now());
    });
    return;
  }
  const UpstreamId id = std::get<ReadState>(aAction).upstream_;
  const TimePoint requestedAt = host_.Now();
  sender_.Read(
    id, [this, id, requestedAt](std::optional<UpstreamState> aState) {
      const std::lock_guard lock(mutex_);
      if (aState) {
        rollout_.OnState(id, std::move(*aState), requestedAt, host_.Now());
      } else {
        rollout_.OnUnreadable(id, host_.Now());
      }
    });
}

void
OrderService::LogNotice(const RolloutNotice& aNotice)
{
  const bool good = aNotice.kind_ == RolloutNoticeKind::Settled ||
                    aNotice.kind_ == RolloutNoticeKind::BackInRotation;
  LogEvent(good ? LogLevel::Info : LogLevel::Warn,
           ToString(aNotice.kind_),
           { { "upstream", aNotice.upstream_.Get() } });
  host_.Measures().Count("rollout_events{kind=\"" +
                         std::string(ToString(aNotice.kind_)) + "\"}");
}

} // namespace marjoramtally
