/// When the owner of an upstream may send it an order.
///
/// An upstream that checks fencing numbers refuses an old owner itself, but
/// only after it has seen the new owner's number; so a new owner sends an
/// order first even if nothing has to change. For an upstream that ignores
/// the numbers, time takes their place: an owner sends nothing that could
/// take effect after its own lease less a margin, and a new owner waits until
/// nothing of the last owner can take effect any more.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <optional>

namespace marjoramtally {

/// Bounds on time that the rules for upstreams without numbers rest on.
struct FencingPolicy
{
  /// Covers the transmission of an order and the drift between two clocks
  /// over one lease.
  Duration margin_ = std::chrono::milliseconds(500);
  /// Longest time in which an order that was received takes effect.
  Duration maxEffectDelay_ = std::chrono::milliseconds(500);
  bool operator==(const FencingPolicy&) const = default;
};

/// What the owner may do now.
enum class OrderPermission
{
  /// Not the owner, or no longer for certain.
  None,
  /// The last owner's orders may still take effect.
  WaitForPreviousOwner,
  /// An order has to show the upstream our number, though nothing changes.
  Announce,
  /// The upstream's state has to be read first.
  ReadBack,
  Send,
};

/// One upstream's ownership as this process sees it.
class OrderFence
{
public:
  OrderFence() = default;
  /// @param aChecks whether the upstream refuses old fencing numbers
  OrderFence(bool aChecksFencing, FencingPolicy aPolicy) noexcept;

  /// We own the upstream under this term; a repeated term changes nothing.
  void OnOwned(FencingNumber aTerm, TimePoint aNow) noexcept;
  void OnLost() noexcept;
  /// Our lease holds until then by our clock, counted from the moment its
  /// last confirmed renewal was sent.
  void OnLease(TimePoint aUntil) noexcept { leaseUntil_ = aUntil; }
  /// The upstream's state was read by a request sent then.
  void OnStateRead(TimePoint aAskedAt) noexcept;
  /// An order's effect is unknown: its answer was lost. It may still arrive,
  /// so the state is read only after the bound on its effect.
  void OnUnknownEffect(TimePoint aNow) noexcept;
  /// What was known of the state no longer holds.
  void OnStateLost() noexcept { stateKnown_ = false; }
  /// The upstream confirmed an order of this term.
  void OnConfirmed() noexcept { confirmed_ = true; }
  /// The upstream has seen a higher number than ours.
  void OnRefused() noexcept { OnLost(); }

  [[nodiscard]] OrderPermission Decide(TimePoint aNow) const noexcept;
  /// @returns the last instant at which an order may leave; checked again
  /// right before sending
  [[nodiscard]] TimePoint SendBy() const noexcept;
  /// @returns whether our lease holds at this instant by our own clock
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
  /// From then on no order of the last owner, and none of ours whose answer
  /// was lost, can take effect.
  TimePoint safeFrom_;
  bool stateKnown_ = false;
  bool confirmed_ = false;
};

} // namespace marjoramtally
