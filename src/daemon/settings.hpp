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
  /// IP address on which callers and peers reach this instance.
  std::string address_ = "127.0.0.1";
  std::uint64_t httpPort_ = 0;
  std::uint64_t rpcPort_ = 0;
  /// Base URL of the platform's store, or `file:FOLDER` for the embedded store
  /// shared by the processes of one machine.
  std::string store_;
  /// URL of the platform's instance list; empty disables reading it.
  std::string instanceList_;
  Duration storeTimeout_ = std::chrono::seconds(2);
  /// Time after which the store expires this instance's lease without a
  /// keep-alive.
  Duration leaseTtl_ = std::chrono::seconds(10);
  /// Period of store reads.
  Duration refresh_ = std::chrono::seconds(1);
  /// Time after the stop signal during which the instance reports not ready
  /// but still accepts requests.
  Duration drainNotice_ = std::chrono::milliseconds(500);
  /// Maximum wait for requests in progress at shutdown.
  Duration drainLimit_ = std::chrono::minutes(20);
  /// Retention period of idempotency keys.
  Duration claimWindow_ = std::chrono::hours(24);
  std::uint64_t maxBodyBytes_ = 1U << 20U;
  /// Of the request line and the header fields.
  std::uint64_t maxHeadBytes_ = 64U << 10U;
  /// How long a caller may take for a request's head.
  Duration headerTimeout_ = std::chrono::seconds(30);
  /// How long a caller's connection may be idle, also amid a body or a
  /// response.
  Duration idleTimeout_ = std::chrono::minutes(10);
  /// Memory that this process may use, in millions of bytes, and file
  /// descriptors that it may have open; 0: those of the system. Callers get
  /// shares of both.
  std::uint64_t memoryMb_ = 0;
  std::uint64_t descriptors_ = 0;
  std::uint64_t threads_ = 2;
  /// File with the keys shared by all instances, one per line; the first key
  /// signs. Empty: calls between instances are not authenticated.
  std::string peerKeyFile_;
  /// File to which trace spans are appended; empty disables tracing.
  std::string traceFile_;
  /// Folder for bulk data; empty disables storage on disk.
  std::string dataDir_;
  /// Maximum bytes of samples in the data folder.
  std::uint64_t dataBytes_ = 256U << 20U;
  /// File to which the HTTP address is written; empty disables it.
  std::string portFile_;
  std::string logLevel_ = "info";
};

/// Reads `[daemon]`; other sections are reported as findings.
[[nodiscard]] Checked<DaemonSettings>
ReadDaemonSettings(const std::string& aFile, const IniDocument& aDocument);

/// Parses the command line and loads the settings, reporting all findings
/// to standard error.
/// @param aPurpose what the daemon does, for `--help`
/// @returns nothing if the program is to exit; `aExitCode` is then set
[[nodiscard]] std::optional<DaemonSettings>
StartDaemon(int aArgc,
            char** aArgv,
            const std::string& aProgram,
            std::string_view aPurpose,
            int& aExitCode);

} // namespace marjoramtally
