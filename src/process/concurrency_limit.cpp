#include "marjoramtally/process/concurrency_limit.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr double kMinLimit = 1;
constexpr double kMaxLimit = 4096;
/// Growth by one answer: small limits of many entries must not double at
/// once.
constexpr double kMaxIncrease = 0.25;
constexpr double kShrinkFactor = 0.9;
/// A live answer after this share of its time calls for less load.
constexpr double kLateFraction = 0.95;
/// One cause shows in many answers; it shrinks the limit once.
constexpr Duration::rep kShrinkCooldownMicros = 500'000;
constexpr auto kRelaxed = std::memory_order_relaxed;

} // namespace

void
ConcurrencyLimit::Shrink(TimePoint aNow) noexcept
{
  const Duration::rep now = aNow.sinceStart_.count();
  const Duration::rep last = shrunkAt_.load(kRelaxed);
  if (last >= 0 && now - last < kShrinkCooldownMicros) {
    return;
  }
  shrunkAt_.store(now, kRelaxed);
  limit_.store(std::max(kMinLimit, limit_.load(kRelaxed) * kShrinkFactor),
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
  if (aShareOfDeadline > kLateFraction) {
    Shrink(aNow);
  }
}

void
ConcurrencyLimit::OnAnswerAtLimit(TimePoint aNow) noexcept
{
  const Duration::rep last = shrunkAt_.load(kRelaxed);
  if (last >= 0 && aNow.sinceStart_.count() - last < kShrinkCooldownMicros) {
    return;
  }
  const double limit = limit_.load(kRelaxed);
  limit_.store(std::min(kMaxLimit, limit + std::min(kMaxIncrease, 1 / limit)),
               kRelaxed);
}

} // namespace marjoramtally
