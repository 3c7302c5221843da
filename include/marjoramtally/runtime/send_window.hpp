/// Back-pressure for a streamed response.
#pragma once

#include <cstddef>

namespace marjoramtally {

/// Counts the bytes that were forwarded to a caller and not yet written to its
/// connection. While there are too many, receiving from the sender pauses. Not
/// thread-safe.
class SendWindow
{
public:
  /// Receiving pauses at this many bytes: some thousand events, and little
  /// compared with the memory of the process.
  static constexpr std::size_t kMaxPendingBytes = 256U * 1024U;
  /// Receiving resumes below this; the gap avoids pausing and resuming at each
  /// event.
  static constexpr std::size_t kResumeBelowBytes = kMaxPendingBytes / 2;

  void OnSent(std::size_t aBytes) noexcept { pendingBytes_ += aBytes; }
  void OnTaken(std::size_t aBytes) noexcept { pendingBytes_ -= aBytes; }
  /// @returns whether more may be received now; if not, `TakeResume` reports
  /// when it may
  [[nodiscard]] bool MayReceive() noexcept
  {
    paused_ = pendingBytes_ >= kMaxPendingBytes;
    return !paused_;
  }
  /// @returns true once after a pause, when there is room again
  [[nodiscard]] bool TakeResume() noexcept
  {
    const bool resume = paused_ && pendingBytes_ < kResumeBelowBytes;
    paused_ = paused_ && !resume;
    return resume;
  }
  /// Clears the pause, for a new sender that has not been paused.
  void ClearPause() noexcept { paused_ = false; }

private:
  std::size_t pendingBytes_ = 0;
  bool paused_ = false;
};

} // namespace marjoramtally
