#include "marjoramtally/process/concurrency_limit.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr double kMinLimit = 1;
constexpr double kMaxLimit = 4096;
/// Maximum increase per answer, so that the small limits of many entry
/// processes do not all double together.
constexpr double kMaxIncrease = 0.25;
constexpr double kShrinkFactor = 0.9;
/// A live answer that takes more than this fraction of its deadline shrinks the
/// limit.
constexpr double kLateFraction = 0.95;
/// Minimum time in microseconds between two reductions and before the next
/// increase: one cause affects many answers but shrinks the limit once.
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
