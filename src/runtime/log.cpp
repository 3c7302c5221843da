#include "marjoramtally/runtime/log.hpp"

#include "marjoramtally/runtime/log_limit.hpp"

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

// log4cxx's class macros require its own namespace.
namespace log4cxx {

/// Writes lines to standard output without ever blocking on its reader.
class OutputAppender final : public AppenderSkeleton
{
public:
  DECLARE_LOG4CXX_OBJECT(OutputAppender)
  BEGIN_LOG4CXX_CAST_MAP()
  LOG4CXX_CAST_ENTRY(OutputAppender)
  LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
  END_LOG4CXX_CAST_MAP()

  OutputAppender() = default;

  OutputAppender(const LayoutPtr& aLayout, std::string aPrefix)
    : prefix_(std::move(aPrefix))
  {
    setLayout(aLayout);
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  void append(const spi::LoggingEventPtr& aEvent, helpers::Pool& aPool) override
  {
    const auto now = marjoramtally::SystemClock().Now();
    const std::uint64_t dropped = limit_.TakeDroppedCount(now);
    if (dropped > 0) {
      static_cast<void>(pending_.Put(
        prefix_ + "event=log_lines_left_out count=" + std::to_string(dropped) +
        "\n"));
    }
    if (limit_.Admit(now, EventOf(aEvent->getRenderedMessage()))) {
      LogString line;
      getLayout()->format(line, aEvent, aPool);
      if (!pending_.Put(line)) {
        limit_.CountDropped();
      }
    }
    Flush();
  }

  void close() override { Flush(); }
  [[nodiscard]] bool requiresLayout() const override { return true; }

private:
  /// @returns the name of a line's event, which follows the prefix
  [[nodiscard]] std::string_view EventOf(std::string_view aLine) const
  {
    constexpr std::string_view kField = "event=";
    aLine.remove_prefix(std::min(prefix_.size() + kField.size(), aLine.size()));
    return aLine.substr(0, aLine.find(' '));
  }

  void Flush()
  {
    while (!pending_.empty()) {
      const std::string_view bytes = pending_.Front();
      const ssize_t written = write(STDOUT_FILENO, bytes.data(), bytes.size());
      if (written <= 0) {
        return;
      }
      pending_.Consume(static_cast<std::size_t>(written));
    }
  }

  std::string prefix_;
  marjoramtally::LogLimit limit_;
  marjoramtally::LogBuffer pending_;
};

IMPLEMENT_LOG4CXX_OBJECT(OutputAppender)

} // namespace log4cxx

namespace marjoramtally {

namespace {

/// Prefix of every line: the program's and the instance's name.
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

/// Longer values are cut: errors quote what other processes wrote, and a line
/// that exceeds the buffer would be dropped completely.
constexpr std::size_t kMaxValueBytes = 4096;
constexpr std::string_view kCutMark = "...";

bool
IsControl(char aChar) noexcept
{
  constexpr char kDelete = 0x7f;
  return (aChar >= 0 && aChar < ' ') || aChar == kDelete;
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \"=\\") != std::string_view::npos ||
         std::any_of(aValue.begin(), aValue.end(), IsControl);
}

void
AppendValue(std::string& aLine, std::string_view aValue)
{
  const std::string_view shown = aValue.substr(0, kMaxValueBytes);
  const std::string_view mark =
    shown.size() < aValue.size() ? kCutMark : std::string_view();
  if (!NeedsQuotes(shown)) {
    aLine += shown;
    aLine += mark;
    return;
  }
  aLine += '"';
  for (const char c : shown) {
    if (c == '"' || c == '\\') {
      aLine += '\\';
    }
    aLine += IsControl(c) ? ' ' : c;
  }
  aLine += mark;
  aLine += '"';
}

/// Maps a log level's name to its enumerator.
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
  log4cxx::AppenderPtr appender;
  if (aTarget == LogTarget::Output) {
    appender =
      log4cxx::AppenderPtr(new log4cxx::OutputAppender(layout, gPrefix));
  } else {
    appender = log4cxx::AppenderPtr(new log4cxx::ConsoleAppender(
      layout, log4cxx::ConsoleAppender::getSystemErr()));
  }
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
