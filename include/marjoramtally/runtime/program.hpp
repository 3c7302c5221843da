/// Functions common to all programs: options, settings, signals.
#pragma once

#include "marjoramtally/base/ini.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <filesystem>
#include <functional>
#include <variant>

namespace marjoramtally {

/// Version printed by `--version`.
inline constexpr std::string_view kVersion = "0.1.0";

/// Exit codes of all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadInput = 2;

/// Reads a complete file.
[[nodiscard]] Result<std::string>
ReadFile(const std::filesystem::path& aPath);

/// Writes a file atomically, by renaming a temporary one.
[[nodiscard]] Result<bool>
WriteFile(const std::filesystem::path& aPath, std::string_view aText);

/// Options common to the daemons: `--settings FILE`, `--check`, `--help`,
/// `--version`.
struct DaemonOptions
{
  std::string settingsFile_;
  bool checkOnly_ = false;
};

/// Parses a daemon's command line.
/// @param aPurpose description of the daemon, for `--help`
/// @returns the options, or an exit code if the program is to end at once
[[nodiscard]] std::variant<DaemonOptions, int>
ParseDaemonOptions(int aArgc,
                   char** aArgv,
                   const std::string& aProgram,
                   std::string_view aPurpose);

/// Reads and parses a settings file.
[[nodiscard]] Checked<IniDocument>
LoadSettings(const std::string& aFile);

/// Makes the allocator give large blocks back to the system when they are
/// freed. Otherwise it keeps them after the first ones, as parts of a heap that
/// others fragment. Call before any thread is started.
void
ReturnLargeBlocks();

/// Blocks SIGTERM and SIGINT in all threads started afterwards.
void
BlockStopSignals();

/// Waits until SIGTERM or SIGINT arrives.
void
WaitForStopSignal();

} // namespace marjoramtally
