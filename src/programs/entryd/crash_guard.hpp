/// Keeps requests that crash upstreams from running, together with the
/// other entries of the zone.
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

  /// Starts to share the upstreams out for suspects, by the instances and
  /// upstreams that are known.
  void Start();
  /// @returns whether a request may run
  [[nodiscard]] QuarantineVerdict Check(const RequestSpec& aSpec);
  /// @returns upstreams to avoid: those tried and those where another
  /// suspect is in progress
  [[nodiscard]] std::vector<UpstreamId> UpstreamsToAvoid(
    const RequestSpec& aSpec,
    std::vector<UpstreamId> aTried) const;
  /// Starts an attempt.
  /// @returns whether it may start at this upstream now
  [[nodiscard]] bool TryStart(const RequestSpec& aSpec,
                              const UpstreamId& aUpstream);
  /// Ends an attempt.
  void OnAttemptEnd(const RequestSpec& aSpec,
                    const UpstreamId& aUpstream,
                    HttpEnd aHttpEnd,
                    AttemptEnd aEnd);
  /// Answers another entry's call.
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
