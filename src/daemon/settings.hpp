/// Settings that both daemons share.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <optional>

namespace marjoramtally {

/// `[daemon]` of a settings file.
struct DaemonSettings
{
  std::string instance_;
  std::string zone_;
  /// IP number that callers and peers reach.
  std::string address_ = "127.0.0.1";
  std::uint64_t httpPort_ = 0;
  std::uint64_t rpcPort_ = 0;
  /// Base URL of the platform's store, or `file:FOLDER` for the embedded one
  /// that the processes of one machine share.
  std::string store_;
  /// URL of the platform's list of instances; empty reads none.
  std::string instanceList_;
  Duration storeTimeout_ = std::chrono::seconds(2);
  /// How long the store keeps this instance's lease without a heartbeat.
  Duration leaseTtl_ = std::chrono::seconds(10);
  /// How often the store is read.
  Duration refresh_ = std::chrono::seconds(1);
  /// From the stop signal on, time to be not ready but still accepting.
  Duration drainNotice_ = std::chrono::milliseconds(500);
  /// Longest wait for requests in progress at shutdown.
  Duration drainLimit_ = std::chrono::minutes(20);
  /// How long an idempotency key is remembered.
  Duration claimWindow_ = std::chrono::hours(24);
  std::uint64_t maxBodyBytes_ = 1U << 20U;
  std::uint64_t threads_ = 2;
  /// File with the keys shared by all instances, one a line; the first
  /// signs. Empty: calls between instances carry no proof.
  std::string peerKeyFile_;
  /// Spans are appended here; empty writes none.
  std::string traceFile_;
  /// Folder for bulk data; empty keeps nothing on disk.
  std::string dataDir_;
  /// Most bytes of samples kept in the folder.
  std::uint64_t dataBytes_ = 256U << 20U;
  /// The bound ports are written here; empty writes none.
  std::string portFile_;
  std::string logLevel_ = "info";
};

/// Reads `[daemon]`; other sections are findings.
[[nodiscard]] Checked<DaemonSettings>
ReadDaemonSettings(const std::string& aFile, const IniDocument& aDocument);

/// Parses the command line and loads the settings, reporting all findings
/// to standard error.
/// @param aPurpose what the daemon does, for `--help`
/// @returns nothing if the program is done; then `aExitCode` is set
[[nodiscard]] std::optional<DaemonSettings>
StartDaemon(int aArgc,
            char** aArgv,
            const std::string& aProgram,
            std::string_view aPurpose,
            int& aExitCode);

} // namespace marjoramtally
