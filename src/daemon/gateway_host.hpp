/// Runtime shared by the daemons on the users' platform: one event loop for all
/// work, an HTTP client, the platform's store, signals and metrics.
#pragma once

#include "daemon/gateway_context.hpp"
#include "daemon/relayed_store.hpp"
#include "marjoramtally/runtime/io_pool.hpp"
#include "marjoramtally/runtime/rpc.hpp"

namespace marjoramtally {

/// Creates the platform's store from an HTTP client and the timers of its loop.
using StoreFactory =
  std::function<std::unique_ptr<Store>(HttpClient&,
                                       LoopTimers&,
                                       const std::string& aAddress)>;

/// Blocks the stop and reload signals in all threads, so that
/// `GatewayHost::Run` receives them. Call before any thread is started.
void
BlockDaemonSignals();

/// One daemon process. Everything except construction and `Run` happens on one
/// loop, so that no locks are needed.
class GatewayHost final : public Listeners
{
public:
  /// @param aRelayed whether watches of the store go through relays and this
  /// process may be a relay
  GatewayHost(GatewaySettings aSettings,
              std::unique_ptr<Platform> aPlatform,
              const StoreFactory& aStore,
              bool aRelayed);
  ~GatewayHost() override;
  GatewayHost(const GatewayHost&) = delete;
  GatewayHost& operator=(const GatewayHost&) = delete;

  [[nodiscard]] GatewayContext& Context() noexcept { return *context_; }

  [[nodiscard]] Result<std::unique_ptr<HttpServer>> Serve(
    const ListenAddress& aAddress,
    std::uint64_t aMaxBodyBytes,
    HttpHandler aHandler) override;
  void SetTimeouts(const CallerTimeouts& aTimeouts) override;

  /// Runs `aStart` on the loop, waits for a stop signal and runs `aStop` on the
  /// loop. Then waits until `aIdle` returns true or the grace period is nearly
  /// over, and stops the loop.
  void Run(const std::function<void()>& aStart,
           const std::function<void()>& aStop,
           const std::function<bool()>& aIdle);

private:
  /// Runs a task on the loop and waits for it.
  void OnLoop(const std::function<void()>& aTask);
  void ServeMetrics();
  void StartRelaying();
  void QueryRelay(const std::string& aAddress,
                  const WatchAsk& aAsk,
                  StoreDone<StoreWatchBatch> aDone);
  void ServeRelay(const RpcCall& aCall, RpcDone aDone);
  void OpenPeers();

  GatewaySettings settings_;
  SystemClock clock_;
  BootClock bootClock_;
  WallClock wallClock_;
  Metrics metrics_;
  std::shared_ptr<IoPool> pool_;
  std::shared_ptr<CallerRegistry> callers_;
  std::unique_ptr<LoopTimers> timers_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<Platform> platform_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<RelayPlan> relayPlan_;
  std::unique_ptr<RelayedStore> relayed_;
  std::unique_ptr<PeerCalls> peers_;
  std::unique_ptr<GatewayContext> context_;
  std::unique_ptr<HttpServer> metricsServer_;
};

} // namespace marjoramtally
