/// The daemon for the duties that one process at a time performs: ordering
/// weight versions from upstreams, reporting customers' usage, and ordering
/// upstreams from the platform.

#include "programs/orderd/supply_duty.hpp"
#include "programs/orderd/usage_duty.hpp"

#include "daemon/gateway_host.hpp"

#include "marjoramtally/runtime/program.hpp"
#include "platform.hpp"

#include <cstdlib>

int
main(int aArgc, char** aArgv)
{
  using namespace marjoramtally;
  // A stop signal that arrives during startup is handled by `Run`.
  BlockDaemonSignals();
  ReturnLargeBlocks();
  int code = kExitOk;
  auto settings = StartGatewayDaemon(
    aArgc,
    aArgv,
    "marjoram-orderd",
    "Orders upstreams and their weight versions, reports customers' "
    "usage.",
    code);
  if (!settings) {
    return code;
  }
  const auto makeStore =
    [](HttpClient& aClient, LoopTimers& aTimers, const std::string& aAddress) {
      PlatformStoreOptions options;
      options.address_ = aAddress;
      // Announcing a version a few seconds late blocks nothing: steps accept
      // the previous version.
      options.watchHold_ = std::chrono::seconds(3);
      return MakePlatformStore(aClient, aTimers, std::move(options));
    };
  GatewayHost host(std::move(*settings), MakePlatform(), makeStore, false);
  DutyLease lease(host.Context());
  OrderDuty orders(host.Context(), lease);
  GatewayPoll poll(host.Context(), lease);
  UsageDuty usage(host.Context(), lease, poll);
  SupplyDuty supply(host.Context(), lease, orders);
  poll.onUsage_ = [&](const GatewayUsage& aUsage, TrueTime aRequestedAt) {
    usage.OnUsage(aUsage, aRequestedAt);
    orders.OnUsage(aUsage);
    supply.OnUsage(aUsage);
  };
  poll.onRound_ = [&] {
    orders.OnPollRound();
    usage.Advance();
    supply.Advance();
  };
  host.Run([&lease] { lease.Start(); },
           [&lease] { lease.Stop(); },
           [] { return true; });
  // Requests that outlasted the grace period are still in progress. Exiting
  // without destructors keeps their callbacks from using destroyed objects.
  std::_Exit(kExitOk);
}
