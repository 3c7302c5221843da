/// Runs the rollout of the upstreams that this process owns.
#pragma once

#include "programs/controld/order_sender.hpp"
#include "programs/controld/owners.hpp"

#include <set>

namespace marjoramtally {

/// Claims upstreams and sends them orders. Thread-safe.
class OrderService
{
public:
  OrderService(Host& aHost, Owners& aOwners);
  void Start();

private:
  /// Upstreams of one service, their zones, owners and switch slots.
  struct ServiceOwners
  {
    std::uint64_t upstreams_ = 0;
    std::set<ZoneId> zones_;
    /// Instances that own at least one upstream of the service.
    std::set<InstanceId> currentOwners_;
    /// Upstreams of the service that may switch versions at once.
    std::uint64_t slots_ = 0;
  };
  using ServiceMap = std::map<ServiceId, ServiceOwners>;

  void Tick();
  /// Updates the rollout from the cluster view.
  void SyncWithView(const ClusterView& aView);
  [[nodiscard]] static ServiceMap CollectServices(const ClusterView& aView);
  void SetPolicy(const ClusterView& aView);
  void SetGoals(const ClusterView& aView, const ServiceMap& aServices);
  /// Updates the rollout with the owner of one upstream; claims it or hands it
  /// over if needed.
  void UpdateOwnership(const ClusterView& aView,
                       const ServiceOwners& aService,
                       const UpstreamRule& aRule);
  [[nodiscard]] InstanceId PreferredFor(const ClusterView& aView,
                                        const ServiceOwners& aService,
                                        const UpstreamRule& aRule) const;
  /// @returns the role that an engine should have
  [[nodiscard]] static std::string RoleFor(const ClusterView& aView,
                                           const UpstreamRule& aRule);
  void Claim(const UpstreamRule& aRule);
  /// Deletes this instance's owner record of an upstream once another instance
  /// has been preferred for a while and no order is in progress.
  void HandOver(const UpstreamId& aUpstream, FencingNumber aTerm);
  void Perform(const RolloutAction& aAction);
  void LogNotice(const RolloutNotice& aNotice);

  Host& host_;
  Owners& owners_;
  OrderSender sender_;
  std::mutex mutex_;
  Rollout rollout_;
  StoreLeaseId lease_ = 0;
  TimePoint nextSync_;
  std::map<ServiceId, SteadyShare> shares_;
  /// When a claim may be repeated; the view lags behind the store.
  std::map<UpstreamId, TimePoint> claimRetryAt_;
  /// Since when another instance is the preferred owner of an upstream that
  /// this instance owns.
  std::map<UpstreamId, TimePoint> preferredElsewhere_;
};

} // namespace marjoramtally
