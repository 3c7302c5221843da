/// Back-pressure of a streamed answer.
#pragma once

#include <cstddef>

namespace marjoramtally {

/// Bytes that were passed on to a caller and that it has not taken yet. While
/// there are too many, the sender is held back. Not thread-safe.
class SendWindow
{
public:
  /// With so many bytes not yet taken, no more are received: some thousand
  /// events, and little beside the memory of one process.
  static constexpr std::size_t kMaxPendingBytes = 256U * 1024U;
  /// Receiving goes on below this; the gap keeps from stopping and going on
  /// at each event.
  static constexpr std::size_t kResumeBelowBytes = kMaxPendingBytes / 2;

  void OnSent(std::size_t aBytes) noexcept { pendingBytes_ += aBytes; }
  void OnTaken(std::size_t aBytes) noexcept { pendingBytes_ -= aBytes; }
  /// @returns whether more may be received now; if not, `TakeResume` tells
  /// when
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
  /// A new sender has not been held back.
  void ClearPause() noexcept { paused_ = false; }

private:
  std::size_t pendingBytes_ = 0;
  bool paused_ = false;
};

} // namespace marjoramtally
