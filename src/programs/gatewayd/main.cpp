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
  // A stop signal that comes during the start waits for `Run`.
  BlockDaemonSignals();
  int code = kExitOk;
  auto settings =
    StartGatewayDaemon(aArgc,
                       aArgv,
                       "marjoram-gatewayd",
                       "Takes requests of callers and trainers, sends them to "
                       "upstreams and runs jobs.",
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
  // What is still in progress has been cut by the grace; its callbacks must
  // not run into objects that are being destroyed.
  std::_Exit(kExitOk);
}
