#include "marjoramtally/process/order_fencing.hpp"

namespace marjoramtally {

OrderFence::OrderFence(bool aChecksFencing, FencingPolicy aPolicy) noexcept
  : checksFencing_(aChecksFencing)
  , policy_(aPolicy)
{
}

void
OrderFence::OnOwned(FencingNumber aTerm, TimePoint aNow) noexcept
{
  if (term_ == aTerm) {
    return;
  }
  term_ = aTerm;
  safeFrom_ =
    checksFencing_ ? aNow : aNow + policy_.maxEffectDelay_ + policy_.margin_;
  stateKnown_ = false;
  confirmed_ = false;
}

void
OrderFence::OnLost() noexcept
{
  term_.reset();
  stateKnown_ = false;
  confirmed_ = false;
}

void
OrderFence::OnUnknownEffect(TimePoint aNow) noexcept
{
  stateKnown_ = false;
  safeFrom_ = aNow + policy_.maxEffectDelay_ + policy_.margin_;
}

void
OrderFence::OnStateRead(TimePoint aAskedAt) noexcept
{
  stateKnown_ = aAskedAt >= safeFrom_;
}

OrderPermission
OrderFence::Decide(TimePoint aNow) const noexcept
{
  if (!term_ || aNow > SendBy()) {
    return OrderPermission::None;
  }
  if (aNow < safeFrom_) {
    return OrderPermission::WaitForPreviousOwner;
  }
  if (checksFencing_ && !confirmed_) {
    return OrderPermission::Announce;
  }
  return stateKnown_ ? OrderPermission::Send : OrderPermission::ReadBack;
}

TimePoint
OrderFence::SendBy() const noexcept
{
  if (checksFencing_) {
    return kNever;
  }
  return leaseUntil_ - policy_.maxEffectDelay_ - policy_.margin_;
}

} // namespace marjoramtally
