/// Limits how long a call may go without receiving a byte.
#pragma once

#include <algorithm>
#include <chrono>

namespace marjoramtally {

/// An instant of the machine's monotonic clock.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Limits the time between two received bytes. If this process was suspended or
/// did not get a processor, that time does not count against the peer: when the
/// check runs late, the peer gets that much time again, at most one whole
/// limit. The call's own time limit bounds how often this happens.
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
  /// Restarts the timeout, when the call is sent or a byte is received.
  void OnByte(SteadyTime aNow) noexcept { due_ = aNow + limit_; }
  /// @returns when `Check` is to be called
  [[nodiscard]] SteadyTime DueAt() const noexcept { return due_; }
  /// Checks the timeout. Bytes already received must have been processed
  /// before.
  /// @returns whether the call has timed out; if not, `DueAt` is later
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
  /// A timer that fires this late indicates that the process was suspended or
  /// starved.
  static constexpr std::chrono::milliseconds kDelayedTimer{ 250 };

  Span limit_{ 0 };
  SteadyTime due_{};
};

} // namespace marjoramtally
