/// How long a call may go without a byte.
#pragma once

#include <algorithm>
#include <chrono>

namespace marjoramtally {

/// An instant of the machine's monotonic clock.
using SteadyTime = std::chrono::steady_clock::time_point;

/// A limit on the time between two bytes. A process that was held up, by a
/// suspension or for want of a processor, does not take that time for its
/// peer's silence: its check runs late, and the peer gets as much time again.
/// The call's own time limit bounds how often.
class IdleTimeout
{
public:
  using Span = std::chrono::steady_clock::duration;

  IdleTimeout() = default;
  explicit IdleTimeout(Span aLimit)
    : limit_(aLimit)
  {
  }

  [[nodiscard]] bool Limited() const noexcept { return limit_ > Span{ 0 }; }
  /// The call was sent or a byte came.
  void OnByte(SteadyTime aNow) noexcept { due_ = aNow + limit_; }
  /// @returns when the silence is to be checked
  [[nodiscard]] SteadyTime DueAt() const noexcept { return due_; }
  /// The check runs, after all bytes that had come were taken.
  /// @returns whether the silence is over its limit; else `DueAt` is later
  [[nodiscard]] bool Check(SteadyTime aNow) noexcept
  {
    const Span late = aNow - due_;
    if (late < Span{ 0 }) {
      return false;
    }
    if (late < kDelayedTimer) {
      return true;
    }
    due_ = aNow + std::min(late, limit_);
    return false;
  }

private:
  /// A timer that fires so much late fires in a process that was held up.
  static constexpr std::chrono::milliseconds kDelayedTimer{ 250 };

  Span limit_{ 0 };
  SteadyTime due_{};
};

} // namespace marjoramtally
