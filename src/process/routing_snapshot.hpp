/// Immutable routing state, read under RCU: upstreams that may be chosen,
/// by service and model.
#pragma once

#include "marjoramtally/process/concurrency_limit.hpp"
#include "marjoramtally/process/load_estimate.hpp"
#include "marjoramtally/process/prefix_hints.hpp"
#include "marjoramtally/process/upstream.hpp"
#include "marjoramtally/process/upstream_health.hpp"

#include <span>
#include <unordered_map>

namespace marjoramtally {

/// What changes with each request, in atomics.
struct UpstreamState
{
  explicit UpstreamState(TimePoint aSeenAt) noexcept
    : health_(aSeenAt)
  {
  }

  LoadEstimate load_;
  UpstreamHealth health_;
  ConcurrencyLimit limit_;
};

/// What all upstreams of a service share.
struct ServiceState
{
  TypicalUnitTime typicalUnitTime_;
  /// Mean of what other entries keep at an upstream.
  std::atomic<double> meanOthers_{ 0 };
};

/// One upstream of a snapshot.
struct RoutedUpstream
{
  UpstreamView view_;
  std::map<std::string, WeightVersion> models_;
  std::shared_ptr<UpstreamState> state_;
  std::shared_ptr<ServiceState> service_;
  UpstreamSlot slot_ = 0;

  /// @returns whether it serves the model at this version or a later one
  [[nodiscard]] bool Serves(const std::string& aModel,
                            WeightVersion aMin) const;
};

using RoutedPtr = std::shared_ptr<const RoutedUpstream>;

/// An upstream and the version of the pool's model there.
struct PoolMember
{
  WeightVersion version_;
  RoutedPtr upstream_;
};

/// Upstreams that are not leaving, the latest versions first.
struct Pool
{
  /// In our zone.
  std::vector<PoolMember> local_;
  std::vector<PoolMember> remote_;
};

/// @returns the members of at least this version
[[nodiscard]] std::span<const PoolMember>
AtLeast(const std::vector<PoolMember>& aMembers, WeightVersion aMin) noexcept;

/// Pools of one service; those of the empty model hold all its upstreams.
using ServicePools = std::unordered_map<std::string, Pool>;

struct RoutingSnapshot
{
  std::unordered_map<ServiceId, ServicePools> pools_;
  std::unordered_map<UpstreamId, RoutedPtr> byId_;
  std::unordered_map<UpstreamSlot, RoutedPtr> bySlot_;

  /// @returns null if no upstream serves the model
  [[nodiscard]] const Pool* FindPool(const ServiceId& aService,
                                     const std::string& aModel) const;
  /// @returns null if it is not known
  [[nodiscard]] const RoutedUpstream* Find(const UpstreamId& aId) const;
};

/// Builds the pools.
/// @param aZone the zone that is near
[[nodiscard]] std::unique_ptr<const RoutingSnapshot>
BuildSnapshot(const std::map<UpstreamId, RoutedPtr>& aUpstreams,
              const ZoneId& aZone);

} // namespace marjoramtally
