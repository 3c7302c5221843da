/// The three outcomes of a request, and how one attempt can end.
#pragma once

#include <cstdint>
#include <string_view>

namespace marjoramtally {

/// What is true of a request once it is answered.
enum class Outcome : std::uint8_t
{
  /// The caller holds the whole answer.
  Completed,
  /// No byte of it reached an upstream, or an upstream proved not to have
  /// run it.
  RefusedNotRun,
  /// It may have run.
  Unknown,
};

/// How one attempt at an upstream ended.
enum class AttemptEnd : std::uint8_t
{
  /// The answer is whole by its protocol's own proof.
  Complete,
  /// Proven not to have run.
  NotRun,
  /// Bytes were sent and no whole answer came.
  MaybeRun,
};

/// Header that tells a caller the outcome.
inline constexpr std::string_view kOutcomeHeader = "X-Outcome";

/// @returns the header's value: `completed`, `refused-not-run`, `unknown`
[[nodiscard]] std::string_view
ToString(Outcome aOutcome) noexcept;

} // namespace marjoramtally
