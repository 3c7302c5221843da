/// What the daemons on the users' platform share: one event loop for all of
/// their work, a client, the platform's store, signals and metrics.
#pragma once

#include "daemon/gateway_context.hpp"
#include "daemon/relayed_store.hpp"
#include "marjoramtally/runtime/io_pool.hpp"
#include "marjoramtally/runtime/rpc.hpp"

namespace marjoramtally {

/// Makes the platform's store on a client and the timers of its loop.
using StoreFactory =
  std::function<std::unique_ptr<Store>(HttpClient&,
                                       LoopTimers&,
                                       const std::string& aAddress)>;

/// Keeps the stop and reload signals for `GatewayHost::Run`; first thing in a
/// program.
void
BlockDaemonSignals();

/// One process. Everything but construction and `Run` happens on one loop,
/// so that nothing needs a lock.
class GatewayHost final : public Listeners
{
public:
  /// @param aRelayed watches of the store go through relays, and this process
  /// may be one
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

  /// Runs until the process is to end: on the loop, `aStart` at once and
  /// `aStop` when the stop signal came; then waits until `aIdle` holds or the
  /// grace is nearly over. After it the loop is still.
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
