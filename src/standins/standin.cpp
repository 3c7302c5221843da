#include "standins/standin.hpp"

namespace marjoramtally::standin {

Recorder::Recorder(const std::string& aPath)
{
  if (!aPath.empty()) {
    file_.open(aPath, std::ios::app);
  }
}

void
Recorder::Write(const Json& aLine)
{
  if (!file_.is_open()) {
    return;
  }
  const std::string text = aLine.dump();
  const std::lock_guard lock(mutex_);
  file_ << text << '\n' << std::flush;
}

int
ServeUntilStopped(const Options& aOptions, const HttpHandler& aHandler)
{
  BlockStopSignals();
  HttpServerOptions options;
  options.port_ = aOptions.port_;
  options.maxBodyBytes_ = 1U << 26U;
  const auto server = HttpServer::Start(options, aHandler);
  if (!server) {
    LogEvent(LogLevel::Error,
             "start_failed",
             { { "error", server.error().message_ } });
    return kExitFailed;
  }
  const std::string address =
    options.address_ + ":" + std::to_string(server.value()->Port());
  LogEvent(LogLevel::Info, "started", { { "address", address } });
  if (!aOptions.portFile_.empty()) {
    const auto written = WriteFile(aOptions.portFile_, address + "\n");
    if (!written) {
      return kExitFailed;
    }
  }
  WaitForStopSignal();
  return kExitOk;
}

} // namespace marjoramtally::standin
