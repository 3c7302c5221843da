/// Explains from the logs how a request, job or item ended and why.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// One parsed log line of a daemon.
struct LogLine
{
  /// Time since 1970; a line without a time has that of the line before.
  Duration time_{ 0 };
  std::string text_;
  std::map<std::string, std::string, std::less<>> fields_;

  /// @returns the field's value, or an empty string if there is none
  [[nodiscard]] std::string_view Field(std::string_view aName) const;
  [[nodiscard]] std::string_view Event() const { return Field("event"); }
};

/// Parses the key=value pairs of a line. Text before them, as log collectors
/// add it, is skipped.
/// @returns nullopt if the line has no event
[[nodiscard]] std::optional<LogLine>
ParseLogLine(std::string_view aText);

/// What the logs report about one id.
struct LogExplanation
{
  /// Lines that name the id, ordered by time.
  std::vector<LogLine> ownLines_;
  /// Lines about the same processes, upstreams and jobs around that time.
  std::vector<LogLine> relatedLines_;
  /// One sentence each: how the request ended, and possible causes.
  std::vector<std::string> findings_;
  /// Lines read, and those of them that are not log lines of a daemon.
  std::uint64_t linesRead_ = 0;
  std::uint64_t unparsed_ = 0;
};

/// @param aLines all log lines, of any processes and in any order
/// @param aId id of a caller's attempt, a job or an item
[[nodiscard]] LogExplanation
ExplainFromLogs(const std::vector<std::string>& aLines, std::string_view aId);

} // namespace marjoramtally
