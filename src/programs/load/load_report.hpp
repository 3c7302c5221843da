/// What came of an HTTP load, as a table and as JSON.
#pragma once

#include "programs/load/load_plan.hpp"

#include <functional>
#include <optional>

namespace marjoramtally {

/// How a call ended for its caller.
enum class CallEnd : std::uint8_t
{
  /// The whole right answer, within the deadline.
  InTime,
  /// The whole right answer, after the deadline.
  Late,
  /// Refused, and said not to have been run.
  Refused,
  /// No whole answer, or one that says that the outcome is unknown.
  Unknown,
  /// Not started, as the bound of calls in flight was reached.
  NotStarted,
  /// Whole, but the answer to another call.
  Wrong,
};
inline constexpr std::size_t kCallEnds = 6;

/// One call's outcome.
struct CallOutcome
{
  CallEnd end_ = CallEnd::NotStarted;
  /// From the planned arrival to the answer.
  Duration took_{ 0 };
};

/// What upstreams' records prove about the outcomes told.
struct RecordCheck
{
  /// Calls that must not run twice and did.
  std::uint64_t runTwice_ = 0;
  /// Calls refused as not run that were run.
  std::uint64_t refusedRun_ = 0;
};

/// A finished load.
struct LoadOutcome
{
  LoadSpec spec_;
  std::vector<PlannedCall> calls_;
  /// One for each planned call.
  std::vector<CallOutcome> outcomes_;
  Duration took_{ 0 };
  std::optional<RecordCheck> check_;
};

/// Reads the `*.jsonl` records of plain stand-ins in a folder and compares.
/// @param aBodyOf gives the body that names a call
[[nodiscard]] RecordCheck
CheckRecords(const LoadOutcome& aLoad,
             const std::string& aFolder,
             const std::function<std::string(std::size_t)>& aBodyOf);

[[nodiscard]] std::string
FormatLoadTable(const LoadOutcome& aLoad);
[[nodiscard]] std::string
FormatLoadJson(const LoadOutcome& aLoad);

} // namespace marjoramtally
