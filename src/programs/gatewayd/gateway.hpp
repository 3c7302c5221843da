/// The gateway: takes requests of callers and trainers, sends them to
/// upstreams and runs jobs.
#pragma once

#include "daemon/leased_key.hpp"
#include "daemon/upstream_reader.hpp"
#include "programs/gatewayd/job_api.hpp"
#include "programs/gatewayd/usage_service.hpp"

namespace marjoramtally {

/// Everything that one gateway process does. Used on one loop but for
/// construction.
class Gateway
{
public:
  /// Both outlive this.
  Gateway(GatewayContext& aHost, Doors& aListeners);

  /// Opens the doors; on any thread.
  /// @returns an error naming an address that cannot be bound
  [[nodiscard]] Result<bool> Open();
  void Start();
  /// Is no longer ready, gives its jobs back and serves what is in progress.
  void Stop();
  [[nodiscard]] bool Idle();

private:
  void FollowConfig();
  void FollowUpstreams();
  void ApplyConfig(const StoreRecord& aRecord);
  void ApplyUpstream(const StoreRecord& aRecord);
  void ApplyUpstreamList(const StoreRange& aRange);
  void OnRestarted(const UpstreamId& aId);
  void Handle(HttpRequest aRequest, HttpReplyPtr aReply);
  void HandleReady(const HttpReplyPtr& aReply);
  void Forward(const Route& aRoute,
               HttpRequest aRequest,
               const CustomerId& aCustomer,
               const HttpReplyPtr& aReply);
  /// Judges the key of a request and answers it unless it may go on.
  /// @param aPublic the request needs no key
  /// @returns the customer of a request that may go on
  [[nodiscard]] std::optional<CustomerId>
  Authenticate(const HttpRequest& aRequest, bool aPublic, HttpReply& aReply);
  /// @returns how old the knowledge of the configuration is
  [[nodiscard]] Duration ConfigAge() const noexcept
  {
    return host_.Now() - configConfirmedAt_;
  }
  /// @returns empty if it is ready
  [[nodiscard]] std::string_view NotReadyReason() const;

  GatewayContext& host_;
  Doors& listeners_;
  RouteTable routes_;
  UpstreamReader reader_;
  UpstreamTable upstreamTable_;
  Forwarder forwarder_;
  JobStore store_;
  JobDirectory directory_;
  JobRunner runner_;
  JobApi jobs_;
  UsageService usage_;
  LeasedKey livenessLease_;
  PrefixFollower config_;
  PrefixFollower upstreams_;
  Random random_;
  /// The configuration known here was the newest then.
  TimePoint configConfirmedAt_;
  /// No source vouches for the configuration.
  bool configUnconfirmed_ = false;
  /// Whether a whole reading of the upstreams came, also one of none.
  bool upstreamsRead_ = false;
  bool stopping_ = false;
  TimePoint stoppedAt_;
  std::unique_ptr<HttpServer> front_;
  std::unique_ptr<HttpServer> ready_;
};

} // namespace marjoramtally
