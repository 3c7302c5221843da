/// The daemon of the duties that one process has for all: weight versions of
/// upstreams, reports of customers' use, orders for upstreams.

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
  // A stop signal that comes during the start waits for `Run`.
  BlockDaemonSignals();
  int code = kExitOk;
  auto settings = StartGatewayDaemon(
    aArgc,
    aArgv,
    "marjoram-orderd",
    "Orders upstreams and their weight versions, reports customers' "
    "use.",
    code);
  if (!settings) {
    return code;
  }
  const auto makeStore =
    [](HttpClient& aClient, LoopTimers& aTimers, const std::string& aAddress) {
      PlatformStoreOptions options;
      options.address_ = aAddress;
      // A version that is named a few seconds late holds up nobody: steps
      // allow the one before.
      options.hold_ = std::chrono::seconds(3);
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
  // What is still in progress has been cut by the grace; its callbacks must
  // not run into objects that are being destroyed.
  std::_Exit(kExitOk);
}
