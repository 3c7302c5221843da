/// Immutable routing state, read under RCU: selectable upstreams by service and
/// model.
#pragma once

#include "marjoramtally/process/concurrency_limit.hpp"
#include "marjoramtally/process/load_estimate.hpp"
#include "marjoramtally/process/prefix_hints.hpp"
#include "marjoramtally/process/upstream.hpp"
#include "marjoramtally/process/upstream_health.hpp"

#include <span>
#include <unordered_map>

namespace marjoramtally {

/// State that changes with each request, held in atomics.
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

/// State shared by all upstreams of a service.
struct ServiceState
{
  TypicalUnitTime typicalUnitTime_;
  /// Moving mean of the requests that other entry processes have at an
  /// upstream.
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

/// An upstream and its weight version of the model of the pool.
struct PoolMember
{
  WeightVersion version_;
  RoutedPtr upstream_;
};

/// Upstreams that may receive new requests, latest weight version first.
struct Pool
{
  /// In the zone of this process.
  std::vector<PoolMember> local_;
  /// In other zones.
  std::vector<PoolMember> remote_;
};

/// @returns the members with at least this version
[[nodiscard]] std::span<const PoolMember>
AtLeast(const std::vector<PoolMember>& aMembers, WeightVersion aMin) noexcept;

/// Pools of one service by model; the pool of the empty name holds all its
/// upstreams.
using ServicePools = std::unordered_map<std::string, Pool>;

struct RoutingSnapshot
{
  std::unordered_map<ServiceId, ServicePools> pools_;
  std::unordered_map<UpstreamId, RoutedPtr> byId_;
  std::unordered_map<UpstreamSlot, RoutedPtr> bySlot_;

  /// @returns null if no upstream serves the model
  [[nodiscard]] const Pool* FindPool(const ServiceId& aService,
                                     const std::string& aModel) const;
  /// @returns null if the upstream is unknown
  [[nodiscard]] const RoutedUpstream* Find(const UpstreamId& aId) const;
};

/// Builds a snapshot with its pools.
/// @param aZone the local zone
[[nodiscard]] std::unique_ptr<const RoutingSnapshot>
BuildSnapshot(const std::map<UpstreamId, RoutedPtr>& aUpstreams,
              const ZoneId& aZone);

} // namespace marjoramtally
