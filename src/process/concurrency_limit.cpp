#include "marjoramtally/process/concurrency_limit.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr double kLeast = 1;
constexpr double kMost = 4096;
/// Growth by one answer: small limits of many entries must not double at
/// once.
constexpr double kMostGrowth = 0.25;
constexpr double kShrinkFactor = 0.9;
/// A live answer after this share of its time calls for less load.
constexpr double kLateShare = 0.95;
/// One cause shows in many answers; it shrinks the limit once.
constexpr Duration::rep kShrinkPause = 500'000;
constexpr auto kRelaxed = std::memory_order_relaxed;

} // namespace

void
ConcurrencyLimit::Shrink(TimePoint aNow) noexcept
{
  const Duration::rep now = aNow.sinceStart_.count();
  const Duration::rep last = shrunkAt_.load(kRelaxed);
  if (last >= 0 && now - last < kShrinkPause) {
    return;
  }
  shrunkAt_.store(now, kRelaxed);
  limit_.store(std::max(kLeast, limit_.load(kRelaxed) * kShrinkFactor),
               kRelaxed);
}

void
ConcurrencyLimit::OnQueued(TimePoint aNow) noexcept
{
  Shrink(aNow);
}

void
ConcurrencyLimit::OnLiveAnswer(double aShareOfDeadline, TimePoint aNow) noexcept
{
  if (aShareOfDeadline > kLateShare) {
    Shrink(aNow);
  }
}

void
ConcurrencyLimit::OnUsed(TimePoint aNow) noexcept
{
  const Duration::rep last = shrunkAt_.load(kRelaxed);
  if (last >= 0 && aNow.sinceStart_.count() - last < kShrinkPause) {
    return;
  }
  const double limit = limit_.load(kRelaxed);
  limit_.store(std::min(kMost, limit + std::min(kMostGrowth, 1 / limit)),
               kRelaxed);
}

} // namespace marjoramtally
