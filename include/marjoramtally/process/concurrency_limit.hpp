/// Adaptive limit of the requests that one entry process has in flight at an
/// upstream.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <atomic>
#include <cstdint>

namespace marjoramtally {

/// Additive increase, multiplicative decrease (AIMD): grows while the limit is
/// reached, and shrinks when the upstream queues requests or live answers come
/// close to their deadline. It applies to trainers and background callers; live
/// callers are subject only to the limit of the rules. Lock-free and
/// thread-safe.
class ConcurrencyLimit
{
public:
  /// The upstream reported queued requests.
  void OnQueued(TimePoint aNow) noexcept;
  /// A live answer arrived after this fraction of its deadline.
  void OnLiveAnswer(double aShareOfDeadline, TimePoint aNow) noexcept;
  /// An answer to a trainer or background caller arrived at the limit.
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
