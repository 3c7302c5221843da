/// Infrastructure shared by the daemons: HTTP server with health routes, RPC
/// node, metrics, traces, shutdown.
#pragma once

#include "daemon/cluster.hpp"
#include "daemon/config_http.hpp"
#include "daemon/config_service.hpp"
#include "daemon/instance_list.hpp"
#include "daemon/status_page.hpp"

namespace marjoramtally {

/// Owns the servers, clients and shared services of one daemon.
class Host
{
public:
  /// @param aProgram name for logs and traces
  Host(DaemonSettings aSettings, std::string aProgram, std::string aRole);

  /// Handles requests to all routes that the host does not serve itself.
  HttpHandler onHttp_;
  /// Handles peer calls of other topics than configuration and gossip.
  RpcHandler onRpc_;

  /// Binds the ports, registers the instance and writes the port file.
  [[nodiscard]] Result<bool> Start();
  /// Runs until a stop signal, then drains.
  /// @param aBusy returns whether work is still in progress
  void RunUntilStopped(const std::function<bool()>& aBusy);

  [[nodiscard]] const DaemonSettings& Settings() const { return settings_; }
  [[nodiscard]] HttpClient& Http() { return *client_; }
  [[nodiscard]] RpcNode& Rpc() { return *rpc_; }
  [[nodiscard]] Store& PlatformStore() { return *store_; }
  [[nodiscard]] Timers& TimerQueue() { return timers_; }
  [[nodiscard]] Cluster& ClusterState() { return *cluster_; }
  [[nodiscard]] ConfigService& Config() { return *config_; }
  [[nodiscard]] GossipService& Gossip() { return *gossip_; }
  [[nodiscard]] Metrics& Measures() { return metrics_; }
  [[nodiscard]] TraceWriter& Traces() { return traces_; }
  [[nodiscard]] TimePoint Now() const noexcept { return clock_.Now(); }

private:
  void Handle(HttpRequest aRequest, const HttpReplyPtr& aReply);
  void Serve(RpcCall aCall, RpcDone aDone);
  [[nodiscard]] HttpResponse ReadyResponse() const;
  void ConnectListeners();
  void StartGossip(const InstanceRecord& aSelf);
  [[nodiscard]] InstanceStatus Status() const;

  DaemonSettings settings_;
  std::string role_;
  SystemClock clock_;
  Metrics metrics_;
  TraceWriter traces_;
  std::atomic<bool> draining_{ false };
  /// Event loops that receive, forward and answer requests.
  std::shared_ptr<IoPool> loops_;
  std::shared_ptr<CallerRegistry> callers_;
  std::unique_ptr<HttpClient> client_;
  /// Store calls use a separate event loop, so that requests do not wait
  /// while store replies are parsed.
  std::unique_ptr<HttpClient> storeClient_;
  /// Result of opening the store; `Start` returns its error.
  Result<std::unique_ptr<Store>> openedStore_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<RpcNode> rpc_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<Cluster> cluster_;
  std::unique_ptr<GossipService> gossip_;
  std::unique_ptr<InstanceListReader> instanceList_;
  std::unique_ptr<ConfigService> config_;
  ConfigHttp configHttp_;
  Timers timers_;
};

} // namespace marjoramtally
