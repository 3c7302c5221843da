/// Polls all gateways periodically for customers' usage and for the demand for
/// upstream slots, and estimates the true time from their clocks.
#pragma once

#include "marjoramtally/process/relay_plan.hpp"
#include "marjoramtally/process/usage_messages.hpp"
#include "programs/orderd/duty_lease.hpp"

#include <set>

namespace marjoramtally {

/// Polls while the lease is held. Confined to one event loop.
class GatewayPoll
{
public:
  /// Both arguments must outlive this object.
  GatewayPoll(GatewayContext& aHost, DutyLease& aLease);

  /// Called for the usage of each gateway that replied, with the time at which
  /// it was requested. Set before the lease is held.
  std::function<void(const GatewayUsage&, TrueTime aRequestedAt)> onUsage_;
  /// Called after each polling round. Set before the lease is held.
  std::function<void()> onRound_;

  [[nodiscard]] TrueTime Now() const noexcept
  {
    return TrueTime{ (host_.Now() - TimePoint{}) + offset_ };
  }
  /// @returns whether the time has been compared with any gateway's clock
  [[nodiscard]] bool Calibrated() const noexcept { return calibrated_; }
  /// @returns the incarnations of the live gateways
  [[nodiscard]] std::set<std::string> Gateways() const;

private:
  void Begin();
  void End();
  void OnLivenessRecord(const StoreRecord& aRecord);
  void OnLivenessDeleted(const std::string& aKey);
  void StartRound();
  void PollGroup(std::vector<std::string> aAddresses, std::uint64_t aRound);
  void OnReply(const RpcReply& aReply,
               TrueTime aRequestedAt,
               const std::string& aAddress,
               std::uint64_t aRound);
  void FinishRound();

  GatewayContext& host_;
  DutyLease& lease_;
  std::unique_ptr<PrefixFollower> livenessRecords_;
  /// By incarnation.
  std::map<std::string, LivenessRecord> liveGateways_;
  /// Offset from this process's monotonic clock to the true time.
  Duration offset_{ 0 };
  bool calibrated_ = false;
  std::uint64_t round_ = 0;
  std::size_t pendingReplies_ = 0;
  /// How far each gateway's clock is ahead, as replied in this round.
  std::vector<Duration> clocksAhead_;
  LoopTimerId timer_ = 0;
};

} // namespace marjoramtally
