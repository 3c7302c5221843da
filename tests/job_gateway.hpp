/// The components of one gateway for jobs; several can share a store.
#pragma once

#include "gateway_fixture.hpp"
#include "programs/gatewayd/job_api.hpp"

namespace marjoramtally::test {

/// @returns a configuration with one route for jobs and their items
[[nodiscard]] inline RoutingConfig
ItemRoutes()
{
  RoutingConfig config;
  config.revision_ = ConfigRevision{ 1 };
  Route route;
  route.host_ = "h";
  route.prefix_ = "/i/";
  route.kind_ = RouteKind::Rollout;
  route.maxQueue_ = std::chrono::seconds(40);
  route.services_ = { { ServiceId{ "lm" }, 1 } };
  config.routes_ = { route };
  return config;
}

/// The test starts the directory.
struct JobGateway
{
  LinkedPeers peers_;
  FakeClient client_;
  RelayPlan relays_;
  Metrics metrics_;
  GatewayContext host_;
  UpstreamTable upstreamTable_{ ZoneId{ "z1" } };
  RouteTable routes_;
  Forwarder forwarder_{ host_, upstreamTable_ };
  JobStore store_{ host_ };
  JobDirectory directory_{ host_, store_ };
  JobRunner runner_{ host_, routes_, upstreamTable_, forwarder_, store_ };
  JobApi jobs_{ host_, store_, directory_, runner_ };

  JobGateway(GatewayFakes& aFakes,
             Store& aStore,
             const std::string& aIncarnation)
    : relays_(aIncarnation)
    , host_({ &aFakes.settings_,
              aFakes.platform_.get(),
              &client_,
              &aFakes.timers_,
              &aStore,
              &aFakes.clock_,
              &aFakes.clock_,
              &aFakes.clock_,
              &metrics_,
              &relays_,
              &peers_,
              aIncarnation })
  {
    routes_.Apply(ItemRoutes());
  }
};

} // namespace marjoramtally::test
