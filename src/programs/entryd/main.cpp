/// The entry daemon: accepts requests of live callers and trainers.

#include "programs/entryd/entry.hpp"

#include "marjoramtally/runtime/program.hpp"

int
main(int aArgc, char** aArgv)
{
  using namespace marjoramtally;
  ReturnLargeBlocks();
  int code = kExitOk;
  auto settings =
    StartDaemon(aArgc,
                aArgv,
                "marjoram-entryd",
                "Accepts requests of callers and trainers and dispatches them.",
                code);
  if (!settings) {
    return code;
  }
  BlockStopSignals();
  Host host(std::move(*settings), "marjoram-entryd", "entry");
  Entry entry(host);
  entry.Start();
  const auto started = host.Start();
  if (!started) {
    LogEvent(LogLevel::Error,
             "start_failed",
             { { "error", started.error().message_ } });
    return kExitFailed;
  }
  host.RunUntilStopped([&entry] { return entry.Busy(); });
  return kExitOk;
}
