/// The daemon that orders upstreams to new weight versions.

#include "programs/orderd/order_duty.hpp"

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
  auto settings =
    StartGatewayDaemon(aArgc,
                       aArgv,
                       "marjoram-orderd",
                       "Orders upstreams to the weight versions that trainers "
                       "name.",
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
  OrderDuty duty(host.Context());
  host.Run(
    [&duty] { duty.Start(); }, [&duty] { duty.Stop(); }, [] { return true; });
  // What is still in progress has been cut by the grace; its callbacks must
  // not run into objects that are being destroyed.
  std::_Exit(kExitOk);
}
