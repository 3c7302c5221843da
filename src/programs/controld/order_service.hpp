/// Brings the engines that this process owns to the announced versions.
#pragma once

#include "programs/controld/owners.hpp"

#include <set>

namespace marjoramtally {

/// Orders to engines. Thread-safe.
class OrderService
{
public:
  OrderService(Host& aHost, Owners& aOwners) noexcept;
  void Start();

private:
  void Reconcile();
  void Check(const UpstreamRule& aUpstream, FencingNumber aTerm);
  void Compare(const UpstreamRule& aUpstream,
               FencingNumber aTerm,
               const std::string& aState);
  void Order(const UpstreamRule& aUpstream,
             FencingNumber aTerm,
             const std::string& aModel,
             WeightVersion aVersion);
  [[nodiscard]] bool Begin(const UpstreamId& aUpstream);
  void End(const UpstreamId& aUpstream);

  Host& host_;
  Owners& owners_;
  std::mutex mutex_;
  /// Upstreams with a call in progress.
  std::set<UpstreamId> busy_;
};

} // namespace marjoramtally
