/// Quarantines requests that crash upstreams, in coordination with the other
/// gateways.
#pragma once

#include "daemon/gateway_context.hpp"
#include "marjoramtally/process/crash_watch.hpp"

namespace marjoramtally {

/// How a call to an upstream ended, for the attribution of crashes.
enum class CallEnd
{
  /// A complete answer of the upstream to a request that it ran.
  Answered,
  /// The connection broke after bytes were sent.
  Broken,
  /// Ended by this side without an answer, after it may have begun to run.
  Abandoned,
  /// Anything else: not sent or not run.
  Other,
};

/// @returns how a call ended that gave no valid answer
[[nodiscard]] CallEnd
CallEndOf(HttpEnd aEnd) noexcept;

/// @returns a fingerprint that is the same for repetitions of a request
/// @param aHost with or without a port
[[nodiscard]] Fingerprint
FingerprintOf(std::string_view aMethod,
              std::string_view aHost,
              std::string_view aTarget,
              std::string_view aBody) noexcept;

/// @returns a fingerprint as it stands in the logs
[[nodiscard]] std::string
Hex(Fingerprint aFingerprint);

/// Drives a `CrashWatch` and exchanges its updates with other gateways. Used on
/// one loop.
class RequestQuarantine
{
public:
  explicit RequestQuarantine(GatewayContext& aHost);

  /// @returns whether a request may run
  [[nodiscard]] QuarantineVerdict Judge(Fingerprint aFingerprint);
  /// @returns whether a request was in progress at a crash
  [[nodiscard]] bool WasAtCrash(Fingerprint aFingerprint) const
  {
    return watch_.WasAtCrash(aFingerprint);
  }
  /// @returns upstreams at which another suspect is in progress, if this
  /// request is a suspect; else none
  [[nodiscard]] std::vector<UpstreamId> UpstreamsToAvoid(
    Fingerprint aFingerprint) const
  {
    return watch_.UpstreamsToAvoid(aFingerprint);
  }
  void OnSent(Fingerprint aFingerprint, const UpstreamId& aUpstream)
  {
    watch_.OnSent(aUpstream, aFingerprint, host_.Now());
  }
  void OnEnd(Fingerprint aFingerprint,
             const UpstreamId& aUpstream,
             CallEnd aEnd);

  void OnEntry(const UpstreamEntry& aEntry);
  void OnVanished(const UpstreamId& aUpstream);
  void OnList(const std::vector<UpstreamEntry>& aEntries);

private:
  /// Logs updates and sends them to the other gateways.
  void Publish(const CrashWatch::Updates& aUpdates);
  void SendUpdates(const std::string& aAddress,
                   const std::string& aBody,
                   std::uint32_t aTriesLeft);
  /// Applies updates from another gateway and answers with the local suspicions
  /// against the same requests.
  void OnUpdates(const RpcCall& aCall, const RpcDone& aDone);
  /// Logs a quarantine once until it ends.
  void LogRefusal(Fingerprint aFingerprint, const QuarantineVerdict& aVerdict);
  /// Logs once for each number of its crashes that a suspect is not refused.
  void LogSpared(Fingerprint aFingerprint, const CoSuspect& aCoSuspect);
  /// Logs the breaks at an upstream that proved to be alive.
  void LogDisproved();
  /// Applies an update from another gateway and logs what is new here.
  /// @returns the local suspicion against its request
  [[nodiscard]] CrashWatch::Updates Apply(const SuspicionUpdate& aUpdate);

  GatewayContext& host_;
  CrashWatch watch_;
  /// When each logged quarantine ends.
  std::map<Fingerprint, TimePoint> loggedUntil_;
  /// Number of crashes with which each spared suspect was logged.
  std::map<Fingerprint, std::size_t> loggedSpared_;
};

} // namespace marjoramtally
