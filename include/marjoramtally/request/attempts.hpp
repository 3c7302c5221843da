/// Retry policy: decides after each attempt whether a request is sent again.
#pragma once

#include "marjoramtally/request/outcome.hpp"
#include "marjoramtally/request/request.hpp"

namespace marjoramtally {

/// Next action for a request after an attempt.
enum class NextStep : std::uint8_t
{
  /// Send it to another upstream.
  Retry,
  FinishCompleted,
  FinishRefused,
  FinishUnknown,
};

/// Counts the attempts of one request and decides on retries.
class Attempts
{
public:
  /// @param aMaxAttempts maximum number of attempts, including the first
  explicit Attempts(std::uint32_t aMaxAttempts) noexcept
    : maxAttempts_(aMaxAttempts)
  {
  }

  /// Records the end of an attempt.
  /// @returns whether to retry, or how the request ends
  [[nodiscard]] NextStep RecordEnd(const RequestSpec& aRequest,
                                   AttemptEnd aEnd,
                                   TimePoint aNow) noexcept;
  /// @returns how the request ends if no further attempt is made
  [[nodiscard]] NextStep FinalStep() const noexcept;
  [[nodiscard]] std::uint32_t Made() const noexcept { return made_; }

private:
  std::uint32_t maxAttempts_;
  std::uint32_t made_ = 0;
  bool mayHaveRun_ = false;
};

} // namespace marjoramtally
