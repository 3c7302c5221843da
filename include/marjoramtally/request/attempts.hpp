/// Decides after each attempt whether a request is sent again.
#pragma once

#include "marjoramtally/request/outcome.hpp"
#include "marjoramtally/request/request.hpp"

namespace marjoramtally {

/// What to do next with a request.
enum class NextStep : std::uint8_t
{
  /// Send it to another upstream.
  Retry,
  FinishCompleted,
  FinishRefused,
  FinishUnknown,
};

/// Attempts of one request.
class Attempts
{
public:
  /// @param aMaxAttempts attempts that may be made in all
  explicit Attempts(std::uint32_t aMaxAttempts) noexcept
    : maxAttempts_(aMaxAttempts)
  {
  }

  /// Records the end of an attempt.
  /// @returns what follows from it
  [[nodiscard]] NextStep RecordEnd(const RequestSpec& aRequest,
                                   AttemptEnd aEnd,
                                   TimePoint aNow) noexcept;
  /// @returns what is true when no further attempt is made
  [[nodiscard]] NextStep FinalStep() const noexcept;
  [[nodiscard]] std::uint32_t Made() const noexcept { return made_; }

private:
  std::uint32_t maxAttempts_;
  std::uint32_t made_ = 0;
  bool mayHaveRun_ = false;
};

} // namespace marjoramtally
