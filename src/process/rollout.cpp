#include "marjoramtally/process/rollout.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

WeightVersion
VersionOf(const ModelVersions& aVersions, const std::string& aModel)
{
  const auto found = aVersions.find(aModel);
  return found == aVersions.end() ? WeightVersion{ 0 } : found->second;
}

} // namespace

RolloutActions
Rollout::Decide(TimePoint aNow)
{
  RolloutActions out = std::move(notices_);
  notices_.clear();
  SlotUse use = CountSlots();
  for (auto& [id, upstream] : upstreams_) {
    DecideOne(upstream, use, aNow, out);
  }
  return out;
}

void
Rollout::DecideOne(Upstream& aUpstream,
                   SlotUse& aUse,
                   TimePoint aNow,
                   RolloutActions& aOut)
{
  if (aUpstream.order_ || aUpstream.readInProgress_) {
    return;
  }
  const OrderPermission permission = aUpstream.fence_.Decide(aNow);
  if (permission == OrderPermission::Announce) {
    SendOrder order;
    order.kind_ = OrderKind::Role;
    order.role_ = aUpstream.role_;
    if (aNow >= aUpstream.retryAt_) {
      Send(aUpstream, std::move(order), aOut);
    }
    return;
  }
  if (permission == OrderPermission::ReadBack) {
    if (aNow >= aUpstream.nextRead_) {
      Read(aUpstream, aOut);
    }
    return;
  }
  if (permission != OrderPermission::Send) {
    return;
  }
  auto order = NextOrder(aUpstream);
  if (!order) {
    Settle(aUpstream, aNow, aOut);
  } else if (MayStart(aUpstream, *order, aUse, aNow)) {
    Send(aUpstream, std::move(*order), aOut);
  } else if (aNow >= aUpstream.nextRead_) {
    Read(aUpstream, aOut);
  }
}

std::optional<SendOrder>
Rollout::NextOrder(const Upstream& aUpstream) const
{
  SendOrder order;
  const auto goal = goals_.find(aUpstream.owned_.service_);
  if (goal != goals_.end()) {
    for (const auto& [model, version] : goal->second.versions_) {
      if (VersionOf(aUpstream.state_.served_, model) >= version) {
        continue;
      }
      const bool loaded = VersionOf(aUpstream.state_.loaded_, model) == version;
      order.kind_ = loaded ? OrderKind::Switch : OrderKind::Prefetch;
      order.model_ = model;
      order.version_ = version;
      order.drain_ = goal->second.drain_;
      return order;
    }
  }
  if (aUpstream.role_ != aUpstream.state_.role_) {
    order.kind_ = OrderKind::Role;
    order.role_ = aUpstream.role_;
    return order;
  }
  return std::nullopt;
}

bool
Rollout::MayStart(const Upstream& aUpstream,
                  const SendOrder& aOrder,
                  SlotUse& aUse,
                  TimePoint aNow)
{
  if (aNow < aUpstream.retryAt_) {
    return false;
  }
  if (aOrder.kind_ == OrderKind::Prefetch) {
    return MayLoad(aUpstream, aNow);
  }
  if (aOrder.kind_ == OrderKind::Role || !IsAnswering(aUpstream)) {
    return true;
  }
  // Without a valid lease, the owner cannot know which upstreams other owners
  // are switching.
  if (!aUpstream.fence_.LeaseHolds(aNow)) {
    return false;
  }
  std::uint64_t& used = aUse[aUpstream.owned_.service_];
  if (used >= goals_[aUpstream.owned_.service_].switchSlots_) {
    return false;
  }
  ++used;
  return true;
}

bool
Rollout::MayLoad(const Upstream& aUpstream, TimePoint aNow)
{
  if (loadsInProgress_ >= policy_.parallelLoads_) {
    return false;
  }
  // A load that the store refused already took a permit and is repeated without
  // a new one. After `kMaxBackoffDoublings` refusals in a row the store is
  // treated as down, and permits limit the rate of calls again.
  const bool permitted = aUpstream.refusedLoads_ > 0 &&
                         aUpstream.refusedLoads_ <= kMaxBackoffDoublings;
  return permitted || permits_->Take(aNow, aUpstream.failures_ > 0);
}

void
Rollout::Read(Upstream& aUpstream, RolloutActions& aOut)
{
  aUpstream.readInProgress_ = true;
  aOut.emplace_back(ReadState{ aUpstream.owned_.id_ });
}

void
Rollout::Send(Upstream& aUpstream, SendOrder aOrder, RolloutActions& aOut)
{
  aOrder.upstream_ = aUpstream.owned_.id_;
  aOrder.number_ = ++lastOrder_;
  aOrder.term_ = *aUpstream.fence_.Term();
  aOrder.sendBy_ = aUpstream.fence_.SendBy();
  if (!aUpstream.fence_.ChecksFencing()) {
    // A longer drain would take effect after the bound that the next owner
    // waits for.
    aOrder.drain_ =
      std::min(aOrder.drain_, aUpstream.fence_.Policy().maxEffectDelay_ / 2);
  }
  loadsInProgress_ += aOrder.kind_ == OrderKind::Prefetch ? 1 : 0;
  aUpstream.settled_ = false;
  aUpstream.order_ = aOrder;
  aOut.emplace_back(std::move(aOrder));
}

void
Rollout::Settle(Upstream& aUpstream, TimePoint aNow, RolloutActions& aOut)
{
  if (!aUpstream.settled_) {
    aUpstream.settled_ = true;
    aOut.emplace_back(
      RolloutNotice{ aUpstream.owned_.id_, RolloutNoticeKind::Settled });
  }
  if (aNow >= aUpstream.nextRead_) {
    Read(aUpstream, aOut);
  }
}

bool
Rollout::IsAnswering(const Upstream& aUpstream) noexcept
{
  return aUpstream.readable_ && !aUpstream.state_.served_.empty();
}

Rollout::SlotUse
Rollout::CountSlots() const
{
  SlotUse use;
  for (const auto& [id, upstream] : upstreams_) {
    const bool switching =
      upstream.order_ && upstream.order_->kind_ == OrderKind::Switch;
    use[upstream.owned_.service_] +=
      switching || !IsAnswering(upstream) ? 1 : 0;
  }
  return use;
}

RolloutCounts
Rollout::Counts() const
{
  RolloutCounts counts;
  for (const auto& [id, upstream] : upstreams_) {
    ++counts.owned_;
    counts.settled_ += upstream.settled_ ? 1 : 0;
    counts.answering_ += IsAnswering(upstream) ? 1 : 0;
    counts.inProgress_ += upstream.order_ ? 1 : 0;
  }
  return counts;
}

bool
Rollout::Idle(const UpstreamId& aUpstream) const
{
  const auto found = upstreams_.find(aUpstream);
  return found != upstreams_.end() && !found->second.order_ &&
         !found->second.readInProgress_;
}

} // namespace marjoramtally
