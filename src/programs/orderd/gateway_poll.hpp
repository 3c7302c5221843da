/// Asks all gateways, now and again, what customers used and which places are
/// wanted, and learns from their clocks what the true time is.
#pragma once

#include "marjoramtally/process/relay_plan.hpp"
#include "marjoramtally/process/usage_messages.hpp"
#include "programs/orderd/duty_lease.hpp"

#include <set>

namespace marjoramtally {

/// Polls while the lease is held. Used on one loop.
class GatewayPoll
{
public:
  /// Both outlive this.
  GatewayPoll(GatewayContext& aHost, DutyLease& aLease);

  /// Set before the lease is held. Told what one gateway said when it was asked
  /// at that time.
  std::function<void(const GatewayUsage&, TrueTime aRequestedAt)> onUsage_;
  /// Told after each round.
  std::function<void()> onRound_;

  [[nodiscard]] TrueTime Now() const noexcept
  {
    return TrueTime{ (host_.Now() - TimePoint{}) + offset_ };
  }
  /// @returns whether other clocks than this process's were asked
  [[nodiscard]] bool Calibrated() const noexcept { return calibrated_; }
  /// @returns the incarnations of the gateways
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
  std::map<std::string, LivenessRecord> liveGateways_;
  /// From this process's monotonic clock to the true time.
  Duration offset_{ 0 };
  bool calibrated_ = false;
  std::uint64_t round_ = 0;
  std::size_t pendingReplies_ = 0;
  std::vector<Duration> clocksAhead_;
  LoopTimerId timer_ = 0;
};

} // namespace marjoramtally
