/// Decides when the owner of an upstream may send it an order.
///
/// An upstream that checks fencing numbers refuses a previous owner itself, but
/// only after it has received the new owner's number. A new owner therefore
/// sends an order first, even if nothing has to change. For an upstream that
/// ignores fencing numbers, time bounds replace them: an owner sends nothing
/// that could take effect after its lease expires, less a margin, and a new
/// owner waits until no order of the previous owner can still take effect.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <optional>

namespace marjoramtally {

/// Time bounds for upstreams that do not check fencing numbers.
struct FencingPolicy
{
  /// Covers the transmission of an order and the drift between two clocks over
  /// one lease.
  Duration margin_ = std::chrono::milliseconds(500);
  /// Maximum time from receipt of an order until it takes effect.
  Duration maxEffectDelay_ = std::chrono::milliseconds(500);
  bool operator==(const FencingPolicy&) const = default;
};

/// What the owner may do now.
enum class OrderPermission
{
  /// The process is not the owner, or its lease may expire too soon.
  None,
  /// Orders of the previous owner may still take effect.
  WaitForPreviousOwner,
  /// An order has to carry the new fencing number to the upstream, even if
  /// nothing changes.
  Announce,
  /// The upstream's state has to be read first.
  ReadBack,
  Send,
};

/// Ownership of one upstream, as this process knows it.
class OrderFence
{
public:
  OrderFence() = default;
  /// @param aChecksFencing whether the upstream refuses old fencing numbers
  OrderFence(bool aChecksFencing, FencingPolicy aPolicy) noexcept;

  /// This process owns the upstream under this term. A repeated call with the
  /// same term changes nothing.
  void OnOwned(FencingNumber aTerm, TimePoint aNow) noexcept;
  void OnLost() noexcept;
  /// The lease is valid until then by the local clock, counted from the moment
  /// at which its last confirmed renewal was sent.
  void OnLease(TimePoint aUntil) noexcept { leaseUntil_ = aUntil; }
  /// The upstream's state was read by a request sent at this time.
  void OnStateRead(TimePoint aAskedAt) noexcept;
  /// The reply to an order was lost. The order may still arrive, so the state
  /// is read only after the bound on its effect.
  void OnUnknownEffect(TimePoint aNow) noexcept;
  /// The known state is no longer valid.
  void OnStateLost() noexcept { stateKnown_ = false; }
  /// The upstream confirmed an order of this term.
  void OnConfirmed() noexcept { confirmed_ = true; }
  /// The upstream has received a higher fencing number than that of this
  /// process.
  void OnRefused() noexcept { OnLost(); }

  [[nodiscard]] OrderPermission Decide(TimePoint aNow) const noexcept;
  /// @returns the latest time at which an order may be sent; checked again
  /// right before sending
  [[nodiscard]] TimePoint SendBy() const noexcept;
  /// @returns whether the lease is valid now by the local clock, less the
  /// bounds of the policy
  [[nodiscard]] bool LeaseHolds(TimePoint aNow) const noexcept
  {
    return aNow + policy_.maxEffectDelay_ + policy_.margin_ <= leaseUntil_;
  }
  [[nodiscard]] std::optional<FencingNumber> Term() const noexcept
  {
    return term_;
  }
  [[nodiscard]] bool ChecksFencing() const noexcept { return checksFencing_; }
  [[nodiscard]] const FencingPolicy& Policy() const noexcept { return policy_; }

private:
  bool checksFencing_ = true;
  FencingPolicy policy_;
  std::optional<FencingNumber> term_;
  TimePoint leaseUntil_;
  /// From this time on, no order of the previous owner and no own order with a
  /// lost reply can take effect.
  TimePoint safeFrom_;
  bool stateKnown_ = false;
  bool confirmed_ = false;
};

} // namespace marjoramtally
