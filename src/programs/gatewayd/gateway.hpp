/// The gateway: accepts requests of callers and trainers, forwards them to
/// upstreams and runs jobs.
#pragma once

#include "daemon/leased_key.hpp"
#include "daemon/upstream_reader.hpp"
#include "programs/gatewayd/job_api.hpp"
#include "programs/gatewayd/usage_service.hpp"

namespace marjoramtally {

/// All components of one gateway process. Used on one loop, except for
/// construction and `Open`.
class Gateway
{
public:
  /// Both arguments outlive this.
  Gateway(GatewayContext& aHost, Listeners& aListeners);

  /// Opens the listeners. May be called on any thread.
  /// @returns an error with the address that cannot be bound
  [[nodiscard]] Result<bool> Open();
  void Start();
  /// Stops being ready. Requests and jobs in progress continue; jobs that
  /// remain shortly before the grace period ends are released.
  void Stop();
  /// Called repeatedly after `Stop`.
  /// @returns whether the process can exit
  [[nodiscard]] bool Idle();

private:
  void FollowConfig();
  void FollowUpstreams();
  void ApplyConfig(const StoreRecord& aRecord);
  void ApplyCallerBounds(const CallerBounds& aBounds);
  void ApplyUpstream(const StoreRecord& aRecord);
  void ApplyUpstreamList(const StoreRange& aRange);
  void OnRestarted(const UpstreamId& aId);
  void Handle(HttpRequest aRequest, HttpReplyPtr aReply);
  void HandleReady(const HttpReplyPtr& aReply);
  void Forward(const Route& aRoute,
               HttpRequest aRequest,
               const CustomerId& aCustomer,
               const HttpReplyPtr& aReply);
  /// Checks the key of a request. A request that is not admitted is answered.
  /// @param aPublic the request needs no key
  /// @returns the customer of an admitted request
  [[nodiscard]] std::optional<CustomerId>
  Authenticate(const HttpRequest& aRequest, bool aPublic, HttpReply& aReply);
  /// @returns time since the configuration was last confirmed to be current
  [[nodiscard]] Duration ConfigAge() const noexcept
  {
    return host_.Now() - configConfirmedAt_;
  }
  /// @returns whether a request with this time limit can still be answered
  /// here. A stopping gateway takes any while the balancer still sends new
  /// connections, and later only those that end before its exit.
  [[nodiscard]] bool CanEnd(Duration aLimit) const;
  /// @returns why the gateway is not ready; empty if it is
  [[nodiscard]] std::string_view NotReadyReason() const;

  GatewayContext& host_;
  Listeners& listeners_;
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
  /// When the local configuration was last confirmed to be current.
  TimePoint configConfirmedAt_;
  /// No source of the watch confirms the configuration.
  bool configUnconfirmed_ = false;
  /// A complete list of the upstreams was read, possibly an empty one.
  bool upstreamsRead_ = false;
  bool stopping_ = false;
  TimePoint stoppedAt_;
  std::unique_ptr<HttpServer> front_;
  std::unique_ptr<HttpServer> ready_;
};

} // namespace marjoramtally
