/// Bounds the memory that all responses being received hold together.
#pragma once

#include <cstddef>

namespace marjoramtally {

/// The bytes of responses that wait for their end. A response counts from its
/// first byte beyond `kUncountedBytes` on, so that large ones cannot keep small
/// ones from being received. Used on one loop.
class BufferBudget
{
public:
  static constexpr std::size_t kUncountedBytes = 64U << 10U;
  /// A gateway may have 160 MB of memory for everything.
  static constexpr std::size_t kMaxBytes = 64U << 20U;

  explicit BufferBudget(std::size_t aMax = kMaxBytes) noexcept
    : max_(aMax)
  {
  }

  /// Records that a response grows.
  /// @returns false if there is no room, and nothing was recorded
  [[nodiscard]] bool Grow(std::size_t aFrom, std::size_t aTo) noexcept
  {
    const std::size_t more = Counted(aTo) - Counted(aFrom);
    if (more > max_ - held_) {
      return false;
    }
    held_ += more;
    return true;
  }
  /// Records that a response of this size has ended.
  void Release(std::size_t aSize) noexcept { held_ -= Counted(aSize); }
  [[nodiscard]] std::size_t Held() const noexcept { return held_; }

private:
  [[nodiscard]] static std::size_t Counted(std::size_t aSize) noexcept
  {
    return aSize > kUncountedBytes ? aSize - kUncountedBytes : 0;
  }

  std::size_t max_;
  std::size_t held_ = 0;
};

} // namespace marjoramtally
