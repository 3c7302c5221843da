/// Keeps requests that crash upstreams from running, together with the other
/// gateways.
#pragma once

#include "daemon/gateway_context.hpp"
#include "marjoramtally/process/crash_watch.hpp"

namespace marjoramtally {

/// How a call to an upstream ended, as far as crashes go.
enum class CallEnd
{
  /// The upstream's own whole answer to a request that it ran.
  Answered,
  /// The connection broke after bytes were sent.
  Broken,
  /// Anything else: not sent, not run, given up.
  Other,
};

/// @returns what stays the same when a request comes again
/// @param aHost with or without a port
[[nodiscard]] Fingerprint
FingerprintOf(std::string_view aMethod,
              std::string_view aHost,
              std::string_view aTarget,
              std::string_view aBody) noexcept;

/// Drives the watch for crashes. Used on one loop.
class RequestQuarantine
{
public:
  explicit RequestQuarantine(GatewayContext& aHost);

  /// @returns whether a request may run
  [[nodiscard]] QuarantineVerdict Judge(Fingerprint aFingerprint);
  /// @returns whether no other request that may be a culprit is in progress at
  /// an upstream, if this one may be a culprit
  [[nodiscard]] bool IsIsolatedAt(Fingerprint aFingerprint,
                                  const UpstreamId& aUpstream) const;
  /// @returns upstreams that are better not chosen
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
  /// Logs what was found and tells the other gateways.
  void Publish(const CrashWatch::Updates& aUpdates);
  void SendUpdates(const std::string& aAddress,
                   const std::string& aBody,
                   std::uint32_t aTriesLeft);
  void OnUpdates(const RpcCall& aCall, const RpcDone& aDone);
  /// Logs a quarantine once.
  void LogRefusal(Fingerprint aFingerprint, const QuarantineVerdict& aVerdict);

  GatewayContext& host_;
  CrashWatch watch_;
  /// Ends of the quarantines that were logged.
  std::map<Fingerprint, TimePoint> loggedUntil_;
};

} // namespace marjoramtally
