/// Settings of the daemons that run on the users' platform.
#pragma once

#include "marjoramtally/base.hpp"

#include <optional>

namespace marjoramtally {

/// `[gateway]` of a settings file.
struct GatewaySettings
{
  std::string instance_;
  std::string zone_;
  /// IP number that peers and the metrics' reader reach.
  std::string address_ = "127.0.0.1";
  /// Where callers and the balancer's questions arrive, as IP:PORT; empty on
  /// instances that callers do not reach.
  std::string front_;
  std::string ready_;
  /// The platform's store, as IP:PORT.
  std::string store_;
  /// Where peers ask for the store's changes; 0 relays nothing.
  std::uint64_t rpcPort_ = 0;
  /// 0 serves no metrics.
  std::uint64_t metricsPort_ = 0;
  /// How long the store keeps this process's leases without a heartbeat: the
  /// time until others take over from a process that is gone.
  Duration leaseTtl_ = std::chrono::milliseconds(1500);
  /// Whether upstreams refuse orders with an old fencing number.
  bool fencing_ = false;
  /// A process that gives the orders back waits until so long after its last
  /// one; where upstreams check no numbers, so does the next holder.
  Duration orderTurn_ = std::chrono::seconds(3);
  /// A change of the configuration is in force everywhere after this.
  Duration configBound_ = std::chrono::seconds(2);
  /// By so much longer where a process is cut off from the store alone.
  Duration configStretch_ = std::chrono::seconds(5);
  /// Known keys are served on knowledge of at most this age; 0: both of the
  /// bounds above together.
  Duration keyLimit_{ 0 };
  /// Where calls of duties go, as IP:PORT; empty: there are none.
  std::string dutyCalls_;
  /// Length of a window of customers' use; 0: none is reported.
  Duration usageWindow_{ 0 };
  /// A window's report is due so long after its end.
  Duration usageLate_ = std::chrono::seconds(10);
  /// From the stop signal to the forced end.
  Duration grace_ = std::chrono::seconds(8);
  /// How long a job's results can be read after its submission.
  Duration statusTime_ = std::chrono::seconds(120);
  std::string logLevel_ = "info";
};

/// An IP number and a port.
struct ListenAddress
{
  std::string address_;
  std::uint16_t port_ = 0;
};

[[nodiscard]] Checked<GatewaySettings>
ReadGatewaySettings(const std::string& aFile, const IniDocument& aDocument);

/// @returns nothing unless the text is IP:PORT
[[nodiscard]] std::optional<ListenAddress>
ParseListenAddress(std::string_view aText);

/// Parses the command line and loads the settings, reporting all findings to
/// standard error.
/// @returns nothing if the program is done; then `aExitCode` is set
[[nodiscard]] std::optional<GatewaySettings>
StartGatewayDaemon(int aArgc,
                   char** aArgv,
                   const std::string& aProgram,
                   std::string_view aPurpose,
                   int& aExitCode);

} // namespace marjoramtally
