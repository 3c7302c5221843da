#include "daemon/settings.hpp"

#include "daemon/load_settings.hpp"

#include <array>

namespace marjoramtally {

namespace {

constexpr std::uint64_t kMaxPort = 65535;
/// Durations are bounded in microseconds.
constexpr std::uint64_t kSecond = 1'000'000;

using Settings = DaemonSettings;
constexpr auto kFields = std::to_array<FieldSpec<Settings>>({
  { "instance", &Settings::instance_, true },
  { "zone", &Settings::zone_, true },
  { "address", &Settings::address_ },
  { "http-port", &Settings::httpPort_, false, 0, kMaxPort },
  { "rpc-port", &Settings::rpcPort_, false, 0, kMaxPort },
  { "store", &Settings::store_, true },
  { "instance-list", &Settings::instanceList_ },
  { "store-timeout", &Settings::storeTimeout_, false, 1000, 60 * kSecond },
  { "lease-ttl", &Settings::leaseTtl_, false, kSecond, 600 * kSecond },
  { "refresh", &Settings::refresh_, false, 10'000, 60 * kSecond },
  { "drain-notice", &Settings::drainNotice_, false, 0, 600 * kSecond },
  { "drain-limit", &Settings::drainLimit_, false, 0, 86'400 * kSecond },
  { "claim-window",
    &Settings::claimWindow_,
    false,
    60 * kSecond,
    7 * 86'400 * kSecond },
  { "max-body-bytes", &Settings::maxBodyBytes_, false, 1, 1U << 30U },
  { "max-head-bytes", &Settings::maxHeadBytes_, false, 1024, 80U << 10U },
  { "header-timeout",
    &Settings::headerTimeout_,
    false,
    100'000,
    3600 * kSecond },
  { "idle-timeout", &Settings::idleTimeout_, false, 100'000, 86'400 * kSecond },
  { "memory-mb", &Settings::memoryMb_, false, 0, 1'000'000'000 },
  { "descriptors", &Settings::descriptors_, false, 0, 1'000'000'000 },
  { "threads", &Settings::threads_, false, 1, 64 },
  { "peer-key-file", &Settings::peerKeyFile_ },
  { "trace-file", &Settings::traceFile_ },
  { "data-dir", &Settings::dataDir_ },
  { "data-bytes", &Settings::dataBytes_, false, 1U << 20U, 1ULL << 40U },
  { "port-file", &Settings::portFile_ },
  { "log-level", &Settings::logLevel_ },
});

} // namespace

Checked<DaemonSettings>
ReadDaemonSettings(const std::string& aFile, const IniDocument& aDocument)
{
  DaemonSettings settings;
  Findings findings;
  const SourcePlace file{ aFile, 0 };
  for (const auto& [name, section] : aDocument) {
    const SourcePlace place =
      section.empty() ? file : section.begin()->second.place_;
    if (name != "daemon") {
      findings.Add(place,
                   "unknown section [" + name + "]; only [daemon] is allowed");
    }
  }
  const auto section = aDocument.find("daemon");
  ReadFields<DaemonSettings>("daemon",
                             section == aDocument.end() ? IniSection{}
                                                        : section->second,
                             file,
                             kFields,
                             settings,
                             findings);
  if (!ParseLogLevel(settings.logLevel_)) {
    findings.Add(section->second.at("log-level").place_,
                 "[daemon] log-level = '" + settings.logLevel_ +
                   "': must be one of debug, info, warn, error");
  }
  if (!findings.empty()) {
    return findings;
  }
  return settings;
}

std::optional<DaemonSettings>
StartDaemon(int aArgc,
            char** aArgv,
            const std::string& aProgram,
            std::string_view aPurpose,
            int& aExitCode)
{
  auto settings = LoadDaemonSettings(
    aArgc, aArgv, aProgram, aPurpose, ReadDaemonSettings, aExitCode);
  if (settings) {
    InitLog(aProgram, settings->instance_, *ParseLogLevel(settings->logLevel_));
  }
  return settings;
}

} // namespace marjoramtally
