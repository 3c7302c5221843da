/// The lease under which one process at a time acts for all: it orders
/// upstreams to weight versions, reports customers' use and orders upstreams
/// from the platform. The key's revision is the fencing number of all these
/// calls.
#pragma once

#include "daemon/gateway_context.hpp"
#include "daemon/leased_key.hpp"
#include "daemon/prefix_follower.hpp"

#include <optional>

namespace marjoramtally {

/// Holds the lease or waits for it. Used on one loop.
class DutyLease
{
public:
  explicit DutyLease(GatewayContext& aHost);

  /// Of one duty; told in the order of their registration.
  struct Listener
  {
    std::function<void()> onBegin_;
    std::function<void()> onEnd_;
  };
  /// Before `Start`.
  void Add(Listener aListener) { listeners_.push_back(std::move(aListener)); }

  void Start();
  /// The process ends: the next holder need not wait.
  void Stop();
  /// Gives the lease back while the process lives on.
  void Withdraw();
  /// A call under the lease is being sent.
  void OnCallSent() { lastCallAt_ = host_.Now(); }
  /// A call was refused for a higher fencing number.
  void OnFenced();

  /// @returns whether the duties are ours now
  [[nodiscard]] bool Active() const noexcept { return active_; }
  /// @returns whether the lease is ours for certain, less a margin for what is
  /// sent now to arrive
  [[nodiscard]] bool Held() const noexcept { return active_ && key_.Held(); }
  [[nodiscard]] FencingNumber Fence() const noexcept { return key_.Fence(); }
  /// @returns what a write of the holder compares, so that a later holder's
  /// writes stay
  [[nodiscard]] StoreCompare Compare() const;
  [[nodiscard]] DutyCaller Caller() const
  {
    return { host_.Incarnation(), key_.Fence() };
  }

private:
  /// Contends for the lease; where calls are not checked for their numbers, the
  /// instance that made the last ones goes first.
  void Contend();
  void OnHeld(FencingNumber aFence);
  void BeginOnceHeld(FencingNumber aFence);
  void Begin();
  void End();
  /// Reads which instance held the lease last.
  /// @param aDone told whether it was this one, or nothing if none is known
  void ReadLastHolder(std::function<void(std::optional<bool>)> aDone);
  /// Writes that this instance acts from now on, then begins.
  void WriteLastHolder(FencingNumber aFence);

  GatewayContext& host_;
  LeasedKey key_;
  PrefixFollower dutyRecords_;
  std::vector<Listener> listeners_;
  /// The number under which the duties are to begin; none: they are not ours.
  FencingNumber pendingFence_;
  /// The record of the last holder names this instance.
  bool isLastHolder_ = false;
  bool active_ = false;
  bool stopped_ = false;
  TimePoint lastCallAt_;
};

} // namespace marjoramtally
