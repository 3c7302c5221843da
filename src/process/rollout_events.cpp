#include "marjoramtally/process/rollout.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Consecutive failed reads after which an upstream counts as out of rotation.
constexpr std::uint64_t kMaxFailedReads = 3;

Duration
Doubled(Duration aBase, std::uint64_t aTimes)
{
  return aBase * (1 << std::min(aTimes, kMaxBackoffDoublings));
}

} // namespace

Rollout::Rollout(RolloutPolicy aPolicy,
                 std::uint64_t aSeed,
                 std::unique_ptr<LoadPermits> aPermits)
  : policy_(aPolicy)
  , random_(aSeed)
  , permits_(std::move(aPermits))
{
  if (!permits_) {
    permits_ = std::make_unique<SharedRatePermits>(aPolicy.loadsPerSecond_);
  }
}

void
Rollout::SetPolicy(const RolloutPolicy& aPolicy)
{
  policy_ = aPolicy;
  permits_->SetRate(aPolicy.loadsPerSecond_);
}

void
Rollout::SetGoal(const ServiceId& aService, ServiceGoal aGoal)
{
  ServiceGoal& goal = goals_[aService];
  if (goal.versions_ != aGoal.versions_) {
    permits_->OnNewWeights(random_);
  }
  goal = std::move(aGoal);
}

void
Rollout::SetRole(const UpstreamId& aUpstream, const std::string& aRole)
{
  const auto found = upstreams_.find(aUpstream);
  if (found != upstreams_.end()) {
    found->second.role_ = aRole;
  }
}

void
Rollout::OnOwned(const OwnedUpstream& aUpstream,
                 FencingNumber aTerm,
                 TimePoint aNow)
{
  Upstream& upstream = upstreams_[aUpstream.id_];
  const bool fresh =
    upstream.owned_.id_ != aUpstream.id_ ||
    upstream.owned_.checksFencing_ != aUpstream.checksFencing_ ||
    upstream.fence_.Policy() != policy_.fencing_;
  upstream.owned_ = aUpstream;
  if (fresh) {
    upstream.fence_ = OrderFence(aUpstream.checksFencing_, policy_.fencing_);
    upstream.fence_.OnLease(leaseUntil_);
  }
  upstream.fence_.OnOwned(aTerm, aNow);
}

void
Rollout::OnLost(const UpstreamId& aUpstream)
{
  const auto found = upstreams_.find(aUpstream);
  if (found == upstreams_.end()) {
    return;
  }
  if (found->second.order_ &&
      found->second.order_->kind_ == OrderKind::Prefetch) {
    --loadsInProgress_;
  }
  upstreams_.erase(found);
}

void
Rollout::OnLease(TimePoint aUntil) noexcept
{
  leaseUntil_ = aUntil;
  for (auto& [id, upstream] : upstreams_) {
    upstream.fence_.OnLease(aUntil);
  }
}

void
Rollout::OnState(const UpstreamId& aUpstream,
                 UpstreamState aState,
                 TimePoint aAskedAt,
                 TimePoint aNow)
{
  const auto found = upstreams_.find(aUpstream);
  if (found == upstreams_.end()) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.readInProgress_ = false;
  upstream.readable_ = true;
  upstream.failedReads_ = 0;
  upstream.state_ = std::move(aState);
  upstream.fence_.OnStateRead(aAskedAt);
  upstream.nextRead_ = aNow + Jitter(policy_.readPeriod_);
  if (upstream.outOfRotation_ && IsAnswering(upstream)) {
    upstream.outOfRotation_ = false;
    Notify(upstream, RolloutNoticeKind::BackInRotation);
  }
}

void
Rollout::OnUnreadable(const UpstreamId& aUpstream, TimePoint aNow)
{
  const auto found = upstreams_.find(aUpstream);
  if (found == upstreams_.end()) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.readInProgress_ = false;
  upstream.readable_ = false;
  upstream.settled_ = false;
  upstream.fence_.OnStateLost();
  ++upstream.failedReads_;
  upstream.nextRead_ =
    aNow + Jitter(Doubled(policy_.retryDelay_, upstream.failedReads_));
  if (upstream.failedReads_ == kMaxFailedReads && !upstream.outOfRotation_) {
    upstream.outOfRotation_ = true;
    Notify(upstream, RolloutNoticeKind::OutOfRotation);
  }
}

void
Rollout::OnOrderEnd(const SendOrder& aOrder, OrderEnd aEnd, TimePoint aNow)
{
  const auto found = upstreams_.find(aOrder.upstream_);
  if (found == upstreams_.end() || !found->second.order_ ||
      found->second.order_->number_ != aOrder.number_) {
    return;
  }
  Upstream& upstream = found->second;
  const SendOrder order = std::move(*upstream.order_);
  upstream.order_.reset();
  loadsInProgress_ -= order.kind_ == OrderKind::Prefetch ? 1 : 0;
  switch (aEnd) {
    case OrderEnd::Done:
      OnDone(upstream, order);
      break;
    case OrderEnd::Refused:
      upstream.fence_.OnRefused();
      upstream.retryAt_ = aNow + Jitter(policy_.longRetryDelay_);
      break;
    case OrderEnd::StoreBusy:
      OnStoreBusy(upstream, aNow);
      break;
    case OrderEnd::NotSent:
      upstream.fence_.OnStateLost();
      upstream.nextRead_ = aNow;
      break;
    case OrderEnd::Failed:
      upstream.fence_.OnStateLost();
      OnFailed(upstream, aNow);
      break;
    case OrderEnd::Unknown:
      upstream.fence_.OnUnknownEffect(aNow);
      OnFailed(upstream, aNow);
      break;
  }
}

void
Rollout::OnStoreBusy(Upstream& aUpstream, TimePoint aNow)
{
  ++aUpstream.refusedLoads_;
  aUpstream.retryAt_ =
    aNow + Jitter(Doubled(policy_.retryDelay_, aUpstream.refusedLoads_ - 1));
}

void
Rollout::OnDone(Upstream& aUpstream, const SendOrder& aOrder)
{
  aUpstream.fence_.OnConfirmed();
  aUpstream.refusedLoads_ = 0;
  // A successful load does not show that a failed switch is resolved.
  if (aOrder.kind_ != OrderKind::Prefetch) {
    aUpstream.failures_ = 0;
  }
  switch (aOrder.kind_) {
    case OrderKind::Prefetch:
      aUpstream.state_.loaded_[aOrder.model_] = aOrder.version_;
      break;
    case OrderKind::Switch:
      aUpstream.state_.served_[aOrder.model_] = aOrder.version_;
      break;
    case OrderKind::Role:
      aUpstream.state_.role_ = aOrder.role_;
      break;
  }
}

void
Rollout::OnFailed(Upstream& aUpstream, TimePoint aNow)
{
  aUpstream.nextRead_ = aNow;
  ++aUpstream.failures_;
  if (aUpstream.failures_ >= policy_.maxAttempts_) {
    Abandon(aUpstream, aNow);
    return;
  }
  aUpstream.retryAt_ =
    aNow + Jitter(Doubled(policy_.retryDelay_, aUpstream.failures_ - 1));
  Notify(aUpstream, RolloutNoticeKind::Retried);
}

void
Rollout::Abandon(Upstream& aUpstream, TimePoint aNow)
{
  aUpstream.failures_ = 0;
  aUpstream.retryAt_ = aNow + Jitter(policy_.longRetryDelay_);
  if (IsAnswering(aUpstream)) {
    Notify(aUpstream, RolloutNoticeKind::LeftBehind);
    return;
  }
  aUpstream.outOfRotation_ = true;
  Notify(aUpstream, RolloutNoticeKind::OutOfRotation);
}

Duration
Rollout::Jitter(Duration aDuration) noexcept
{
  constexpr double kMinFactor = 0.75;
  constexpr double kSpread = 0.5;
  const double factor = kMinFactor + kSpread * random_.Unit();
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * factor));
}

void
Rollout::Notify(const Upstream& aUpstream, RolloutNoticeKind aKind)
{
  notices_.emplace_back(RolloutNotice{ aUpstream.owned_.id_, aKind });
}

} // namespace marjoramtally
