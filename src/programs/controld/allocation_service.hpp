/// Allocates engines of the services whose rules enable allocation: samples the
/// engines' loads and publishes the resulting roles in the store.
#pragma once

#include "marjoramtally/process/allocation.hpp"
#include "programs/controld/order_sender.hpp"
#include "programs/controld/owners.hpp"

namespace marjoramtally {

/// Allocations that this process owns. Thread-safe.
class AllocationService
{
public:
  AllocationService(Host& aHost, Owners& aOwners);
  void Start();
  /// Runs one round of all services. Called periodically after `Start`.
  void Tick();

private:
  struct Pool
  {
    Allocation allocation_{ AllocationPolicy{} };
    FencingNumber term_;
    /// Whether the roles published by the previous owner were adopted.
    bool adopted_ = false;
    /// Whether a read of the published roles is in progress.
    bool reading_ = false;
    /// Sum and count of the loads sampled in this round, by user.
    std::map<EngineUserId, std::pair<double, std::uint64_t>> sampledLoads_;
    /// Whether a write of the roles is in progress.
    bool writing_ = false;
    /// The roles last written to the store, as JSON.
    std::string publishedRoles_;
  };

  void RunService(const ClusterViewPtr& aView,
                  const ServiceRule& aRule,
                  FencingNumber aTerm);
  /// Runs one round of an allocation whose published roles were adopted.
  void RunRound(const ClusterView& aView,
                const ServiceRule& aRule,
                Pool& aPool);
  /// Reads the published roles from the store, then runs the round.
  void ReadRoles(const ClusterViewPtr& aView,
                 const ServiceRule& aRule,
                 FencingNumber aTerm);
  /// Adopts the roles that the previous owner published.
  static void AdoptRoles(const StoreRange& aRoles,
                         const std::string& aKey,
                         Pool& aPool);
  void ApplyDemand(Pool& aPool);
  void SampleLoads(const ClusterView& aView, const ServiceRule& aRule);
  void PublishRoles(const ServiceId& aService, Pool& aPool);

  Host& host_;
  Owners& owners_;
  OrderSender sender_;
  std::mutex mutex_;
  Random random_;
  std::map<ServiceId, Pool> pools_;
};

} // namespace marjoramtally
