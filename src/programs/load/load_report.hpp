/// Results of an HTTP load, as a table and as JSON.
#pragma once

#include "programs/load/load_plan.hpp"

#include <functional>
#include <optional>

namespace marjoramtally {

/// How a call ended for its caller.
enum class CallEnd : std::uint8_t
{
  /// The complete, correct answer within the deadline.
  InTime,
  /// The complete, correct answer after the deadline.
  Late,
  /// Refused and reported as not run.
  Refused,
  /// No complete answer, or one with an unknown outcome.
  Unknown,
  /// Not started because the limit of calls in flight was reached.
  NotStarted,
  /// A complete answer that belongs to another call.
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

/// Contradictions between upstreams' records and the reported outcomes.
struct RecordCheck
{
  /// Non-idempotent calls that were run more than once.
  std::uint64_t runTwice_ = 0;
  /// Calls that were reported as not run but were run.
  std::uint64_t refusedRun_ = 0;
};

/// A finished load.
struct LoadOutcome
{
  LoadSpec spec_;
  std::vector<PlannedCall> calls_;
  /// One per planned call, in the same order.
  std::vector<CallOutcome> outcomes_;
  Duration took_{ 0 };
  std::optional<RecordCheck> check_;
};

/// Compares the outcomes with the `*.jsonl` records of plain stand-ins in a
/// folder.
/// @param aBodyOf returns the body that identifies a call
[[nodiscard]] RecordCheck
CheckRecords(const LoadOutcome& aLoad,
             const std::string& aFolder,
             const std::function<std::string(std::size_t)>& aBodyOf);

[[nodiscard]] std::string
FormatLoadTable(const LoadOutcome& aLoad);
[[nodiscard]] std::string
FormatLoadJson(const LoadOutcome& aLoad);

} // namespace marjoramtally
