/// Drives the allocation of engines for the services whose rules ask for it:
/// samples loads, publishes roles in the store.
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
  /// One round of all services; comes by itself once started.
  void Tick();

private:
  struct Pool
  {
    Allocation allocation_{ AllocationPolicy{} };
    FencingNumber term_;
    /// What was published before this term was taken over.
    bool adopted_ = false;
    bool reading_ = false;
    /// Sum and number of the loads sampled in this round, by user.
    std::map<EngineUserId, std::pair<double, std::uint64_t>> sampledLoads_;
    bool writing_ = false;
    /// The roles published last.
    std::string publishedRoles_;
  };

  void RunService(const ClusterViewPtr& aView,
                  const ServiceRule& aRule,
                  FencingNumber aTerm);
  /// One round of an allocation that is known.
  void RunRound(const ClusterView& aView,
                const ServiceRule& aRule,
                Pool& aPool);
  /// Reads what was published last, then goes on with the round.
  void ReadRoles(const ClusterViewPtr& aView,
                 const ServiceRule& aRule,
                 FencingNumber aTerm);
  /// Takes over what the last owner published.
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
