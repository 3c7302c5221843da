/// Settings of the daemons that run on the users' platform.
#pragma once

#include "marjoramtally/base.hpp"

#include <optional>

namespace marjoramtally {

/// How long before the forced kill at the end of the grace period the process
/// exits on its own.
inline constexpr auto kExitMargin = std::chrono::milliseconds(700);

/// Section `[gateway]` of a settings file.
struct GatewaySettings
{
  std::string instance_;
  std::string zone_;
  /// IP address for RPC and metrics.
  std::string address_ = "127.0.0.1";
  /// Listen addresses for callers and for the load balancer's readiness checks,
  /// as IP:PORT; empty on instances that do not serve callers.
  std::string front_;
  std::string ready_;
  /// Part of a core that this process may use, and the speed of that core
  /// relative to the others of the fleet. Instances with more capacity own jobs
  /// and relay changes for the others.
  Capacity processorShare_{ 0 };
  Capacity processorSpeed_{ 1000 };
  /// Memory that this process may use, in millions of bytes, and file
  /// descriptors that it may have open; 0: those of the system. Callers get
  /// shares of both.
  std::uint64_t memoryMb_ = 0;
  std::uint64_t descriptors_ = 0;
  /// Address of the platform's store, as IP:PORT.
  std::string store_;
  /// Port for RPC from peers, such as requests for the store's changes; 0
  /// disables RPC and relaying.
  std::uint64_t rpcPort_ = 0;
  /// 0 disables the metrics endpoint.
  std::uint64_t metricsPort_ = 0;
  /// How long the store keeps this process's leases without a renewal, which is
  /// the time until others take over from a process that died.
  Duration leaseTtl_ = std::chrono::milliseconds(1500);
  /// Whether upstreams reject orders with an outdated fencing number.
  bool fencing_ = false;
  /// A process releases the duty of orders no sooner than this after its last
  /// order. Where upstreams do not check fencing numbers, the next holder waits
  /// for the same time.
  Duration orderTurn_ = std::chrono::seconds(3);
  /// Time within which a configuration change is in force everywhere.
  Duration configBound_ = std::chrono::seconds(2);
  /// Additional time for a process that alone cannot reach the store.
  Duration configStretch_ = std::chrono::seconds(5);
  /// Maximum age of the configuration by which requests with known keys are
  /// served; 0: the sum of the two bounds above.
  Duration keyLimit_{ 0 };
  /// Listen address for calls to duties, as IP:PORT; empty: none is opened.
  std::string dutyCalls_;
  /// Length of a window of customers' usage; 0: usage is not reported.
  Duration usageWindow_{ 0 };
  /// Time after the end of a window by which its report is due.
  Duration usageLate_ = std::chrono::seconds(10);
  /// Time from the stop signal to the forced kill.
  Duration grace_ = std::chrono::seconds(8);
  /// Load reports of upstreams decide for all services. Otherwise they decide
  /// where upstreams report how long work takes, and where the features ask for
  /// it.
  bool loadControl_ = false;
  /// Features of the deployment as the platform lists them, separated by
  /// commas.
  std::string platformFeatures_;
  /// How long a job's results can be read after its submission.
  Duration statusTime_ = std::chrono::seconds(120);
  std::string logLevel_ = "info";
};

/// @returns the processing capacity of this instance
[[nodiscard]] Capacity
CapacityOf(const GatewaySettings& aSettings) noexcept;

/// An IP address and a port.
struct ListenAddress
{
  std::string address_;
  std::uint16_t port_ = 0;
};

[[nodiscard]] Checked<GatewaySettings>
ReadGatewaySettings(const std::string& aFile, const IniDocument& aDocument);

/// @returns nothing if the text is not IP:PORT
[[nodiscard]] std::optional<ListenAddress>
ParseListenAddress(std::string_view aText);

/// Parses the command line, loads the settings and starts the log. Reports all
/// findings to standard error.
/// @returns nothing if the program is to exit with `aExitCode`
[[nodiscard]] std::optional<GatewaySettings>
StartGatewayDaemon(int aArgc,
                   char** aArgv,
                   const std::string& aProgram,
                   std::string_view aPurpose,
                   int& aExitCode);

} // namespace marjoramtally
