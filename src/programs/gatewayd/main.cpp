/// The gateway daemon on the users' platform.

#include "daemon/gateway_host.hpp"
#include "programs/gatewayd/gateway.hpp"

#include "marjoramtally/runtime/log.hpp"
#include "marjoramtally/runtime/program.hpp"
#include "platform.hpp"

#include <cstdlib>

int
main(int aArgc, char** aArgv)
{
  using namespace marjoramtally;
  // A stop signal that arrives during start-up stays pending until `Run`.
  BlockDaemonSignals();
  ReturnLargeBlocks();
  int code = kExitOk;
  auto settings =
    StartGatewayDaemon(aArgc,
                       aArgv,
                       "marjoram-gatewayd",
                       "Accepts requests of callers and trainers, forwards "
                       "them to upstreams and runs jobs.",
                       code);
  if (!settings) {
    return code;
  }
  const auto makeStore =
    [](HttpClient& aClient, LoopTimers& aTimers, const std::string& aAddress) {
      PlatformStoreOptions options;
      options.address_ = aAddress;
      return MakePlatformStore(aClient, aTimers, std::move(options));
    };
  GatewayHost host(std::move(*settings), MakePlatform(), makeStore, true);
  Gateway gateway(host.Context(), host);
  const auto opened = gateway.Open();
  if (!opened) {
    LogEvent(LogLevel::Error,
             "start_failed",
             { { "error", opened.error().message_ } });
    return kExitFailed;
  }
  host.Run([&gateway] { gateway.Start(); },
           [&gateway] { gateway.Stop(); },
           [&gateway] { return gateway.Idle(); });
  // Requests that outlast the grace period are cut off; their callbacks must
  // not reach objects that are being destroyed.
  std::_Exit(kExitOk);
}
