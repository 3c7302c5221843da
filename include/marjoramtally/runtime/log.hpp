/// Structured logging: one line of key=value pairs for each event.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramtally {

enum class LogLevel
{
  Debug,
  Info,
  Warn,
  Error,
};

/// One key=value pair of an event.
struct LogField
{
  std::string_view key_;
  std::string value_;
};

/// Where lines are written.
enum class LogTarget
{
  Error,
  /// Standard output.
  Output,
};

/// @returns the level named debug, info, warn or error; nullopt for any other
/// name
[[nodiscard]] std::optional<LogLevel>
ParseLogLevel(std::string_view aName) noexcept;

/// Sets up logging.
/// @param aProgram the value of each line's `program=`
/// @param aInstance the value of each line's `instance=`
/// @param aLevel minimum level that is written
void
InitLog(const std::string& aProgram,
        const std::string& aInstance,
        LogLevel aLevel,
        LogTarget aTarget = LogTarget::Error);

/// Writes one event.
/// @example `LogEvent(LogLevel::Info, "started", { { "port", "80" } });`
void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

} // namespace marjoramtally
