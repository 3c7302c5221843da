/// What both daemons do the same way around their own work: the HTTP
/// server with its health routes, the RPC node, metrics, traces, shutdown.
#pragma once

#include "daemon/cluster.hpp"
#include "daemon/config_http.hpp"
#include "daemon/config_service.hpp"
#include "daemon/instance_list.hpp"
#include "daemon/status_page.hpp"

namespace marjoramtally {

/// One daemon's input and output.
class Host
{
public:
  /// @param aProgram name for logs and traces
  Host(DaemonSettings aSettings, std::string aProgram, std::string aRole);

  /// Handler of requests that are none of the health routes.
  HttpHandler onHttp_;
  /// Handler of calls from peers.
  RpcHandler onRpc_;

  /// Binds, registers and writes the port file.
  [[nodiscard]] Result<bool> Start();
  /// Runs until a stop signal, then drains.
  /// @param aBusy tells whether work is still in progress
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
  /// Loops on which requests are received, sent on and answered.
  std::shared_ptr<IoPool> loops_;
  std::unique_ptr<HttpClient> client_;
  /// Calls to the store have a loop of their own, so that requests do not
  /// wait for its answers to be read.
  std::unique_ptr<HttpClient> storeClient_;
  /// Whether the store could be opened; `Start` reports it if not.
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
