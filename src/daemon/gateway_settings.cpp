#include "daemon/gateway_settings.hpp"

#include "daemon/load_settings.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <array>

namespace marjoramtally {

namespace {

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMillisecond = 1000;
constexpr std::uint64_t kSecond = 1'000'000;
/// In thousandths of a core.
constexpr std::uint64_t kMaxCapacity = 1'000'000;
constexpr std::uint64_t kMaxMemoryMb = 1'000'000'000;
constexpr std::uint64_t kMaxDescriptors = 1'000'000'000;

using Settings = GatewaySettings;
constexpr auto kFields = std::to_array<FieldSpec<Settings>>({
  { "instance", &Settings::instance_, true },
  { "zone", &Settings::zone_, true },
  { "address", &Settings::address_ },
  { "front", &Settings::front_ },
  { "ready", &Settings::ready_ },
  { "store", &Settings::store_, true },
  { "rpc-port", &Settings::rpcPort_, false, 0, kMaxPort },
  { "metrics-port", &Settings::metricsPort_, false, 0, kMaxPort },
  { "lease-ttl", &Settings::leaseTtl_, false, kSecond, 600 * kSecond },
  { "fencing", &Settings::fencing_ },
  { "order-turn", &Settings::orderTurn_, false, 0, 600 * kSecond },
  { "config-bound", &Settings::configBound_, false, 0, 600 * kSecond },
  { "config-stretch", &Settings::configStretch_, false, 0, 600 * kSecond },
  { "key-limit", &Settings::keyLimit_, false, 0, 600 * kSecond },
  { "duty-calls", &Settings::dutyCalls_ },
  { "usage-window", &Settings::usageWindow_, false, 0, 3600 * kSecond },
  { "usage-late", &Settings::usageLate_, false, kSecond, 3600 * kSecond },
  { "grace", &Settings::grace_, false, 100 * kMillisecond, 600 * kSecond },
  { "processor-share", &Settings::processorShare_, false, 0, kMaxCapacity },
  { "processor-speed", &Settings::processorSpeed_, false, 1, kMaxCapacity },
  { "memory-mb", &Settings::memoryMb_, false, 0, kMaxMemoryMb },
  { "descriptors", &Settings::descriptors_, false, 0, kMaxDescriptors },
  { "load-control", &Settings::loadControl_ },
  { "platform-features", &Settings::platformFeatures_ },
  { "status-time", &Settings::statusTime_, false, kSecond, 86'400 * kSecond },
  { "log-level", &Settings::logLevel_ },
});

/// Reports an address that is neither empty nor IP:PORT.
void
CheckAddress(const IniSection& aSection,
             const std::string& aKey,
             Findings& aFindings)
{
  const auto it = aSection.find(aKey);
  if (it == aSection.end() || it->second.text_.empty()) {
    return;
  }
  if (!ParseListenAddress(it->second.text_)) {
    aFindings.Add(it->second.place_,
                  "[gateway] " + aKey + " = '" + it->second.text_ +
                    "': expected IP:PORT");
  }
}

} // namespace

Capacity
CapacityOf(const GatewaySettings& aSettings) noexcept
{
  constexpr std::uint64_t kThousandths = 1000;
  const std::uint64_t capacity =
    std::uint64_t{ aSettings.processorShare_.Get() } *
    aSettings.processorSpeed_.Get() / kThousandths;
  return Capacity{ static_cast<std::uint32_t>(
    std::min(capacity, kMaxCapacity)) };
}

std::optional<ListenAddress>
ParseListenAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const auto port = ParseNumber(aText.substr(colon + 1), 0, kMaxPort);
  if (!port) {
    return std::nullopt;
  }
  return ListenAddress{ std::string(aText.substr(0, colon)),
                        static_cast<std::uint16_t>(*port) };
}

Checked<GatewaySettings>
ReadGatewaySettings(const std::string& aFile, const IniDocument& aDocument)
{
  GatewaySettings settings;
  Findings findings;
  const SourcePlace file{ aFile, 0 };
  const auto found = aDocument.find("gateway");
  const IniSection section =
    found == aDocument.end() ? IniSection{} : found->second;
  for (const auto& [name, other] : aDocument) {
    if (name != "gateway") {
      findings.Add(other.empty() ? file : other.begin()->second.place_,
                   "unknown section [" + name + "]; expected [gateway]");
    }
  }
  ReadFields<Settings>("gateway", section, file, kFields, settings, findings);
  CheckAddress(section, "front", findings);
  CheckAddress(section, "ready", findings);
  CheckAddress(section, "store", findings);
  CheckAddress(section, "duty-calls", findings);
  if (!ParseLogLevel(settings.logLevel_)) {
    findings.Add(file,
                 "[gateway] log-level = '" + settings.logLevel_ +
                   "': expected debug, info, warn or error");
  }
  if (!findings.empty()) {
    return findings;
  }
  return settings;
}

std::optional<GatewaySettings>
StartGatewayDaemon(int aArgc,
                   char** aArgv,
                   const std::string& aProgram,
                   std::string_view aPurpose,
                   int& aExitCode)
{
  auto settings = LoadDaemonSettings(
    aArgc, aArgv, aProgram, aPurpose, ReadGatewaySettings, aExitCode);
  if (settings) {
    InitLog(aProgram,
            settings->instance_,
            *ParseLogLevel(settings->logLevel_),
            LogTarget::Output);
  }
  return settings;
}

} // namespace marjoramtally
