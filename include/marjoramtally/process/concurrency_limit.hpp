/// Adaptive limit of the requests that one entry keeps at an upstream.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <atomic>
#include <cstdint>

namespace marjoramtally {

/// Grows additively while it is used and all is well; shrinks by a factor
/// when the upstream queues or live answers come near to their deadline.
/// It binds trainers and background callers; live callers are bound by the
/// rules' limit only. Thread-safe without locks.
class ConcurrencyLimit
{
public:
  /// The upstream reported requests that wait.
  void OnQueued(TimePoint aNow) noexcept;
  /// A live answer came after this share of the time it had.
  void OnLiveAnswer(double aShareOfDeadline, TimePoint aNow) noexcept;
  /// Another answer came while the limit was reached.
  void OnAnswerAtLimit(TimePoint aNow) noexcept;
  [[nodiscard]] std::uint64_t Get() const noexcept
  {
    return static_cast<std::uint64_t>(limit_.load(std::memory_order_relaxed));
  }

private:
  void Shrink(TimePoint aNow) noexcept;

  static constexpr double kInitialLimit = 8;

  std::atomic<double> limit_{ kInitialLimit };
  std::atomic<Duration::rep> shrunkAt_{ -1 };
};

} // namespace marjoramtally
