/// Refuses requests that crash upstreams. Shares suspicions with the other
/// entry instances of the zone.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/process.hpp"

namespace marjoramtally {

/// Drives the quarantine of one entry process. Thread-safe.
class CrashGuard
{
public:
  explicit CrashGuard(Host& aHost) noexcept
    : host_(aHost)
  {
  }

  /// Starts to divide the upstreams for suspects among the zone's entry
  /// instances, on each refresh of the known instances and upstreams.
  void Start();
  /// @returns whether a request may run
  [[nodiscard]] QuarantineVerdict Check(const RequestSpec& aSpec);
  /// @returns upstreams to avoid: those already tried and, for a suspect, those
  /// assigned to other instances and those where another suspect is in progress
  [[nodiscard]] std::vector<UpstreamId> UpstreamsToAvoid(
    const RequestSpec& aSpec,
    std::vector<UpstreamId> aTried) const;
  /// Records the start of an attempt, if it is allowed.
  /// @returns whether the attempt may start at this upstream now
  [[nodiscard]] bool TryStart(const RequestSpec& aSpec,
                              const UpstreamId& aUpstream);
  /// Records the end of an attempt and announces new or cleared suspicions.
  void OnAttemptEnd(const RequestSpec& aSpec,
                    const UpstreamId& aUpstream,
                    HttpEnd aHttpEnd,
                    AttemptEnd aEnd);
  /// Handles suspicions announced by another entry instance.
  void OnRpc(const RpcCall& aCall, const RpcDone& aDone);

private:
  void AssignUpstreams(const ClusterView& aView);
  [[nodiscard]] bool IsZoneEntry(const InstanceRecord& aInstance) const;
  void Announce(const std::vector<SuspicionUpdate>& aUpdates);

  Host& host_;
  mutable std::mutex mutex_;
  Quarantine quarantine_;
};

} // namespace marjoramtally
