/// The duty of ordering upstreams to new weight versions, for the holder of
/// the lease.
#pragma once

#include "daemon/gateway_context.hpp"
#include "daemon/prefix_follower.hpp"
#include "daemon/upstream_reader.hpp"
#include "marjoramtally/process/supply_plan.hpp"
#include "marjoramtally/process/time_share_limiter.hpp"
#include "marjoramtally/process/usage_meter.hpp"
#include "marjoramtally/process/weight_plan.hpp"
#include "programs/orderd/duty_lease.hpp"

namespace marjoramtally {

/// Pause after a failure; longer than reports lag.
inline constexpr auto kOrderRetryPause = std::chrono::milliseconds(500);
/// Most of the process's time that plans may take; the rest is for reports,
/// orders and the lease.
inline constexpr double kMaxPlanTimeShare = 0.125;

/// Acts while the lease is held. Used on one loop.
class OrderDuty
{
public:
  /// Both outlive this.
  OrderDuty(GatewayContext& aHost, DutyLease& aLease);

  /// Takes what a gateway told of its long runs and of the places it wants.
  void OnUsage(const GatewayUsage& aUsage);
  /// A round of questions to gateways is over.
  void OnPollRound();
  /// @returns the services whose upstreams may be ordered, with those that
  /// serve; nothing before configuration and upstreams are known
  [[nodiscard]] std::vector<SupplyView> SupplyViews() const;

private:
  /// Where an upstream's order stands.
  enum class Phase
  {
    Idle,
    Reading,
    Sending,
    /// Accepted; its end is looked for in reports.
    Loading,
    /// Something failed; it is tried again after a pause.
    BackingOff,
  };

  struct Target
  {
    UpstreamEntry entry_;
    std::map<std::string, WeightVersion> versions_;
    /// Orders that the upstream has accepted, if known for certain.
    std::optional<std::uint64_t> acceptedOrders_;
    Phase phase_ = Phase::Idle;
    PlannedLoad load_;
    TimePoint loadStartedAt_;
    /// When the order was accepted.
    TimePoint acceptedAt_;
    /// Answers to earlier steps are ignored.
    std::uint64_t step_ = 0;
  };

  /// Takes up an upstream's incarnation if it is newer than the one known:
  /// the versions, orders and steps of that one are over.
  /// @returns whether it is newer
  static bool ResetIfRestarted(Target& aTarget, UpstreamStart aStart);
  /// @returns whether a version is newer than the one known
  static bool MergeModels(Target& aTarget,
                          const std::vector<ModelVersion>& aModels);
  void End();
  void Begin();
  /// Reads which services there are and which models' texts must come from one
  /// version, now and again.
  void ReadConfig(std::uint64_t aTerm);
  void ApplyConfig(const StoreRange& aRange);
  /// @returns whether the configuration is known and names the service
  [[nodiscard]] bool IsConfigured(const ServiceId& aService) const
  {
    return services_ && services_->contains(aService);
  }
  void RemoveUpstream(const UpstreamId& aId);
  /// Takes a whole reading.
  void OnUpstreamsRead(const StoreRange& aRange);
  void OnUpstreamRecord(const StoreRecord& aRecord);
  void OnVersionRecord(const StoreRecord& aRecord);
  void OnRetirementRecord(const StoreRecord& aRecord);
  // The steps of an order: state read, order sent, its end looked for.
  void ReadConfigForUnknownServices();
  /// Plans if anything that a plan is made of has changed since the last one.
  /// Upstreams beat in their entries once a second each, and few beats change
  /// what they hold.
  void Plan();
  /// Something that a plan is made of has changed.
  void Replan();
  void SchedulePlan(Duration aPause);
  void RecordPlanTime(std::size_t aUpstreams,
                      std::size_t aLoads,
                      Duration aTook);
  void StartLoad(const PlannedLoad& aLoad);
  void ReadState(Target& aTarget);
  void OnState(const UpstreamId& aId, const HttpResult& aResult);
  void SendOrder(Target& aTarget);
  void OnOrderReply(const UpstreamId& aId, const HttpResult& aResult);
  void ScheduleReport(Target& aTarget, Duration aPause);
  void BackOff(Target& aTarget, std::string_view aReason);
  /// Runs a step later unless the target has moved on.
  void ScheduleStep(Target& aTarget,
                    Duration aPause,
                    void (OrderDuty::*aStep)(Target&));
  void EndBackOff(Target& aTarget);
  HttpDone MakeReplyHandler(Target& aTarget,
                            void (OrderDuty::*aHandler)(const UpstreamId&,
                                                        const HttpResult&));

  GatewayContext& host_;
  DutyLease& lease_;
  UpstreamReader reader_;
  std::unique_ptr<PrefixFollower> upstreams_;
  std::unique_ptr<PrefixFollower> versions_;
  std::unique_ptr<PrefixFollower> retirements_;
  WeightPlan plan_;
  /// Models whose runs finish before a change of their version.
  std::set<std::string> singleVersion_;
  /// Services of the configuration; none before it was read in this turn.
  std::optional<std::set<ServiceId>> services_;
  /// Services whose upstreams may be ordered.
  std::map<ServiceId, UpstreamSupply> supplies_;
  /// Long runs at upstreams: as told in the last round, and so far in this one.
  std::map<UpstreamId, std::uint32_t> longRuns_;
  std::map<UpstreamId, std::uint32_t> reportedLongRuns_;
  /// Places that items want, by model, as told in this round so far.
  std::map<std::string, std::uint64_t> reportedDemand_;
  /// Services of upstreams for which it was read once more.
  std::set<ServiceId> lookedUpServices_;
  /// Counts the times that the duty began.
  std::uint64_t term_ = 0;
  std::map<UpstreamId, Target> targets_;
  /// What a plan is made of has changed since the last one.
  bool planDue_ = true;
  TimeShareLimiter planLimiter_{ kMaxPlanTimeShare };
  LoopTimerId planTimer_ = 0;
  std::set<std::string> retired_;
};

} // namespace marjoramtally
