/// The way of one request through the logs: from its id to the cause of its
/// end.
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

/// One line of a log as the daemons write it.
struct LogLine
{
  /// Since 1970; that of the line before where a line has none.
  Duration time_{ 0 };
  std::string text_;
  std::map<std::string, std::string, std::less<>> fields_;

  /// @returns the field's value; empty if there is none
  [[nodiscard]] std::string_view Field(std::string_view aName) const;
  [[nodiscard]] std::string_view Event() const { return Field("event"); }
};

/// @returns the line's pairs; nothing if it has no event. What stands in
/// front of the pairs, as collectors of logs add it, is passed over.
[[nodiscard]] std::optional<LogLine>
ParseLogLine(std::string_view aText);

/// What the logs tell of one id.
struct LogExplanation
{
  /// Lines that name the id, in order of time.
  std::vector<LogLine> ownLines_;
  /// Lines of the same processes and upstreams around that time that bear on
  /// it.
  std::vector<LogLine> relatedLines_;
  /// One sentence each: how it ended, and what led there.
  std::vector<std::string> findings_;
  /// Lines read, and those that were no line of a daemon.
  std::uint64_t linesRead_ = 0;
  std::uint64_t unparsed_ = 0;
};

/// @param aLines all lines of the logs, of any processes, in any order
/// @param aId id of a caller's attempt, of a job or of an item
[[nodiscard]] LogExplanation
ExplainFromLogs(const std::vector<std::string>& aLines, std::string_view aId);

} // namespace marjoramtally
