#include "marjoramtally/process/order_fencing.hpp"

namespace marjoramtally {

OrderFence::OrderFence(bool aChecks, FencingPolicy aPolicy) noexcept
  : checks_(aChecks)
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
  quietFrom_ = checks_ ? aNow : aNow + policy_.effect_ + policy_.margin_;
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
  quietFrom_ = aNow + policy_.effect_ + policy_.margin_;
}

void
OrderFence::OnStateRead(TimePoint aAskedAt) noexcept
{
  stateKnown_ = aAskedAt >= quietFrom_;
}

OrderPermission
OrderFence::Decide(TimePoint aNow) const noexcept
{
  if (!term_ || aNow > SendBy()) {
    return OrderPermission::None;
  }
  if (aNow < quietFrom_) {
    return OrderPermission::WaitForLast;
  }
  if (checks_ && !confirmed_) {
    return OrderPermission::Announce;
  }
  return stateKnown_ ? OrderPermission::Send : OrderPermission::ReadBack;
}

TimePoint
OrderFence::SendBy() const noexcept
{
  if (checks_) {
    return kNever;
  }
  return leaseUntil_ - policy_.effect_ - policy_.margin_;
}

} // namespace marjoramtally
