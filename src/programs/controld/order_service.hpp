/// Drives the rollout of the upstreams that this process owns.
#pragma once

#include "programs/controld/order_sender.hpp"
#include "programs/controld/owners.hpp"

#include <set>

namespace marjoramtally {

/// Orders to engines. Thread-safe.
class OrderService
{
public:
  OrderService(Host& aHost, Owners& aOwners);
  void Start();

private:
  /// Owners of one service's upstreams, and what follows from them.
  struct ServiceOwners
  {
    std::uint64_t upstreams_ = 0;
    std::set<ZoneId> zones_;
    /// Present owners.
    std::set<InstanceId> currentOwners_;
    std::uint64_t slots_ = 0;
  };
  using ServiceMap = std::map<ServiceId, ServiceOwners>;

  void Tick();
  /// Takes what the cluster's view says into the rollout.
  void SyncWithView(const ClusterView& aView);
  [[nodiscard]] static ServiceMap CollectServices(const ClusterView& aView);
  void SetPolicy(const ClusterView& aView);
  void SetGoals(const ClusterView& aView, const ServiceMap& aServices);
  /// Owns, loses, claims or hands over one upstream.
  void UpdateOwnership(const ClusterView& aView,
                       const ServiceOwners& aService,
                       const UpstreamRule& aRule);
  [[nodiscard]] InstanceId PreferredFor(const ClusterView& aView,
                                        const ServiceOwners& aService,
                                        const UpstreamRule& aRule) const;
  /// The role that an engine is to have.
  [[nodiscard]] static std::string RoleFor(const ClusterView& aView,
                                           const UpstreamRule& aRule);
  void Claim(const UpstreamRule& aRule);
  /// Gives an upstream up for its preferred owner once that has been clear
  /// for a while and nothing is in progress.
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
  /// When a claim may be made again; the view lags behind the store.
  std::map<UpstreamId, TimePoint> claimRetryAt_;
  /// Since when another instance is the preferred owner of one of ours.
  std::map<UpstreamId, TimePoint> preferredElsewhere_;
};

} // namespace marjoramtally
