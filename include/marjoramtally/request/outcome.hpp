/// Outcomes of requests and of single attempts.
#pragma once

#include <cstdint>
#include <string_view>

namespace marjoramtally {

/// Outcome of an answered request.
enum class Outcome : std::uint8_t
{
  /// The caller received the complete answer.
  Completed,
  /// No byte of the request reached an upstream, or the upstream confirmed that
  /// it did not run the request.
  RefusedNotRun,
  /// The request may have run.
  Unknown,
};

/// Outcome of one attempt at an upstream.
enum class AttemptEnd : std::uint8_t
{
  /// The answer is complete according to its protocol.
  Complete,
  /// The request is known not to have run.
  NotRun,
  /// Bytes were sent, but no complete answer was received.
  MaybeRun,
};

/// Response header with the outcome.
inline constexpr std::string_view kOutcomeHeader = "X-Outcome";

/// @returns the header value: `completed`, `refused-not-run` or `unknown`
[[nodiscard]] std::string_view
ToString(Outcome aOutcome) noexcept;

} // namespace marjoramtally
