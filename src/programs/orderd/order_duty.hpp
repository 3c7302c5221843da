/// The duty of ordering new weight versions from upstreams, performed by the
/// holder of the lease.
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

/// Pause after a failure; longer than the delay of reports.
inline constexpr auto kOrderRetryPause = std::chrono::milliseconds(500);
/// Maximum share of the event loop's time for planning; the rest is left for
/// reports, orders and renewals of the lease.
inline constexpr double kMaxPlanTimeShare = 0.125;

/// Acts while the lease is held. Confined to one event loop.
class OrderDuty
{
public:
  /// Both arguments must outlive this object.
  OrderDuty(GatewayContext& aHost, DutyLease& aLease);

  /// Adds a gateway's report of its long runs and of the slots that it needs.
  void OnUsage(const GatewayUsage& aUsage);
  /// Call at the end of each round of polling the gateways.
  void OnPollRound();
  /// @returns the services whose upstreams may be ordered, with their serving
  /// upstreams; empty until configuration and upstreams are known
  [[nodiscard]] std::vector<SupplyView> SupplyViews() const;

private:
  /// Progress of an upstream's order.
  enum class Phase
  {
    Idle,
    Reading,
    Sending,
    /// The order was accepted; reports are polled for its end.
    Loading,
    /// A step failed; the order is retried after a pause.
    BackingOff,
  };

  struct Target
  {
    UpstreamEntry entry_;
    std::map<std::string, WeightVersion> versions_;
    /// Number of orders that the upstream has accepted, if certain.
    std::optional<std::uint64_t> acceptedOrders_;
    Phase phase_ = Phase::Idle;
    PlannedLoad load_;
    TimePoint loadStartedAt_;

    TimePoint acceptedAt_;
    /// Replies to earlier steps are ignored.
    std::uint64_t step_ = 0;
  };

  /// Resets a target if its upstream has restarted: the versions, orders and
  /// steps of the earlier incarnation no longer apply.
  /// @returns whether the incarnation is newer than the known one
  static bool ResetIfRestarted(Target& aTarget, UpstreamStart aStart);
  /// @returns whether any version is newer than the known one
  static bool MergeModels(Target& aTarget,
                          const std::vector<ModelVersion>& aModels);
  void End();
  void Begin();
  /// Reads the configuration periodically: which services exist, and for which
  /// models each text must come from a single version.
  void ReadConfig(std::uint64_t aTerm);
  void ApplyConfig(const StoreRange& aRange);
  /// @returns whether the configuration is known and contains the service
  [[nodiscard]] bool IsConfigured(const ServiceId& aService) const
  {
    return services_ && services_->contains(aService);
  }
  void RemoveUpstream(const UpstreamId& aId);
  /// Applies a complete read of all upstreams' records.
  void OnUpstreamsRead(const StoreRange& aRange);
  void OnUpstreamRecord(const StoreRecord& aRecord);
  void OnVersionRecord(const StoreRecord& aRecord);
  /// Applies an owner's record of the slots that a step of its model wants.
  void OnDutyRecord(const StoreRecord& aRecord);
  void OnRetirementRecord(const StoreRecord& aRecord);

  /// Reads the limit of concurrent loads that the last holder has found. A new
  /// holder of a large fleet would otherwise order a few loads at once for
  /// several versions.
  void ReadLoadLimit(std::uint64_t aTerm);
  /// Records the limit if it has changed much.
  void RecordLoadLimit();

  /// Rereads the configuration once for each service that it does not contain,
  /// which may have been added since it was read.
  void ReadConfigForUnknownServices();
  /// Plans if any input has changed since the last plan. Each upstream updates
  /// its entry about once a second, and few updates change an input.
  void Plan();
  /// Plans because an input has changed.
  void Replan();
  void SchedulePlan(Duration aPause);
  void RecordPlanTime(std::size_t aUpstreams,
                      std::size_t aLoads,
                      Duration aTook);
  void StartLoad(const PlannedLoad& aLoad);
  // The steps of an order: the state is read, the order is sent, and reports
  // are polled for its end.
  void ReadState(Target& aTarget);
  void OnState(const UpstreamId& aId, const HttpResult& aResult);
  void SendOrder(Target& aTarget);
  void OnOrderReply(const UpstreamId& aId, const HttpResult& aResult);
  void ScheduleReport(Target& aTarget, Duration aPause);
  void BackOff(Target& aTarget, std::string_view aReason);
  /// Runs a step after a pause unless another step starts earlier.
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
  /// Models whose runs must finish before their version changes.
  std::set<std::string> singleVersion_;
  /// Services of the configuration; empty until it was read in this term.
  std::optional<std::set<ServiceId>> services_;
  /// Services whose upstreams may be ordered.
  std::map<ServiceId, UpstreamSupply> supplies_;
  /// Long runs at upstreams as of the last complete round, and as reported so
  /// far in the current one.
  std::map<UpstreamId, std::uint32_t> longRuns_;
  std::map<UpstreamId, std::uint32_t> reportedLongRuns_;
  /// Slots that items need, by model, as reported so far in the current round.
  std::map<std::string, std::uint64_t> reportedDemand_;
  /// Unknown services for which the configuration was already reread.
  std::set<ServiceId> lookedUpServices_;
  /// Incremented each time the duty begins or the configuration is reread at
  /// once; replies of earlier terms are ignored.
  std::uint64_t term_ = 0;
  std::map<UpstreamId, Target> targets_;
  /// Limit of concurrent loads as recorded in the store; 0 if none is.
  std::uint32_t recordedLimit_ = 0;
  /// Whether an input has changed since the last plan.
  bool planDue_ = true;
  TimeShareLimiter planLimiter_{ kMaxPlanTimeShare };
  LoopTimerId planTimer_ = 0;
  std::set<std::string> retired_;
};

} // namespace marjoramtally
