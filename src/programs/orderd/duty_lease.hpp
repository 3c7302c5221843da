/// The lease that makes one process at a time responsible for the order duties:
/// ordering weight versions from upstreams, reporting customers' usage, and
/// ordering upstreams from the platform. The revision of the lease key is the
/// fencing number of all these calls.
#pragma once

#include "daemon/gateway_context.hpp"
#include "daemon/leased_key.hpp"
#include "daemon/prefix_follower.hpp"

#include <optional>

namespace marjoramtally {

/// Holds the lease or contends for it. Confined to one event loop.
class DutyLease
{
public:
  explicit DutyLease(GatewayContext& aHost);

  /// Callbacks of one duty; called in the order of registration.
  struct Listener
  {
    std::function<void()> onBegin_;
    std::function<void()> onEnd_;
  };
  /// Called for each record under the prefix of the duties that other processes
  /// write for the holder.
  std::function<void(const StoreRecord&)> onRecord_;

  /// Call before `Start`.
  void Add(Listener aListener) { listeners_.push_back(std::move(aListener)); }

  /// Starts to contend for the lease. Without fencing, an instance other than
  /// the last holder starts later.
  void Start();
  /// Releases the lease at once, because the process is stopping.
  void Stop();
  /// Ends the duties, and releases the lease `order-turn` after the last call,
  /// when no call is in progress any more.
  void Withdraw();
  /// Call before each request that is sent under the lease.
  void OnCallSent() { lastCallAt_ = host_.Now(); }
  /// Call when a request was refused because of a higher fencing number.
  /// Abandons the lease.
  void OnFenced();

  /// @returns whether this process performs the duties now
  [[nodiscard]] bool Active() const noexcept { return active_; }
  /// @returns whether the lease certainly lasts until a call that is sent now
  /// has arrived
  [[nodiscard]] bool Held() const noexcept { return active_ && key_.Held(); }
  [[nodiscard]] FencingNumber Fence() const noexcept { return key_.Fence(); }
  /// @returns the comparison to put into each write of the holder, so that it
  /// cannot overwrite a later holder's records
  [[nodiscard]] StoreCompare Compare() const;
  [[nodiscard]] DutyCaller Caller() const
  {
    return { host_.Incarnation(), key_.Fence() };
  }

private:
  void Contend();
  void OnHeld(FencingNumber aFence);
  void BeginOnceHeld(FencingNumber aFence);
  void Begin();
  void End();
  /// Reads which instance held the lease last.
  /// @param aDone receives whether it was this one, or nothing if unknown
  void ReadLastHolder(std::function<void(std::optional<bool>)> aDone);
  /// Records this instance as the last holder, then begins the duties.
  void WriteLastHolder(FencingNumber aFence);

  GatewayContext& host_;
  LeasedKey key_;
  PrefixFollower dutyRecords_;
  std::vector<Listener> listeners_;
  /// The fencing number under which the duties are to begin; empty if this
  /// process does not hold the lease.
  FencingNumber pendingFence_;
  /// Whether the record of the last holder names this instance.
  bool isLastHolder_ = false;
  bool active_ = false;
  bool stopped_ = false;
  TimePoint lastCallAt_;
};

} // namespace marjoramtally
