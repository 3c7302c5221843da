#include "marjoramtally/runtime/log.hpp"

#include <array>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace marjoramtally {

namespace {

/// Text in front of each event's own pairs.
std::string gPrefix;

log4cxx::LevelPtr
NativeLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void
AppendValue(std::string& aLine, std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    aLine += aValue;
    return;
  }
  aLine += '"';
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aLine += '\\';
    }
    aLine += (c == '\n' || c == '\r') ? ' ' : c;
  }
  aLine += '"';
}

/// A log level by its name.
struct LevelName
{
  std::string_view name_;
  LogLevel level_;
};

constexpr auto kLevels = std::to_array<LevelName>({
  { "debug", LogLevel::Debug },
  { "info", LogLevel::Info },
  { "warn", LogLevel::Warn },
  { "error", LogLevel::Error },
});

} // namespace

std::optional<LogLevel>
ParseLogLevel(std::string_view aName) noexcept
{
  for (const LevelName& known : kLevels) {
    if (known.name_ == aName) {
      return known.level_;
    }
  }
  return std::nullopt;
}

void
InitLog(const std::string& aProgram,
        const std::string& aInstance,
        LogLevel aLevel,
        LogTarget aTarget)
{
  gPrefix = "program=" + aProgram + " instance=" + aInstance + " ";
  const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(
    LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n")));
  const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(
    layout,
    aTarget == LogTarget::Output ? log4cxx::ConsoleAppender::getSystemOut()
                                 : log4cxx::ConsoleAppender::getSystemErr()));
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(NativeLevel(aLevel));
}

void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  const auto logger = log4cxx::Logger::getRootLogger();
  const auto level = NativeLevel(aLevel);
  if (!logger->isEnabledFor(level)) {
    return;
  }
  std::string line = gPrefix;
  line += "event=";
  line += aEvent;
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.key_;
    line += '=';
    AppendValue(line, field.value_);
  }
  logger->forcedLog(
    level, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace marjoramtally
