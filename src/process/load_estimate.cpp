#include "marjoramtally/process/load_estimate.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// A history entry holds the count in its lower bits and the span number above.
constexpr unsigned kCountBits = 24;
constexpr std::uint64_t kCountMask = (1U << kCountBits) - 1;
/// A report of this age has half the weight of a new one.
constexpr double kHalfAgeMicros = 1e6;

} // namespace

void
LoadEstimate::OnSent(TimePoint aNow) noexcept
{
  RecordInFlight(inFlight_.fetch_add(1, std::memory_order_relaxed) + 1, aNow);
}

void
LoadEstimate::OnDone(TimePoint aNow) noexcept
{
  std::uint64_t now = inFlight_.load(std::memory_order_relaxed);
  while (now > 0 && !inFlight_.compare_exchange_weak(
                      now, now - 1, std::memory_order_relaxed)) {
  }
  RecordInFlight(now > 0 ? now - 1 : 0, aNow);
}

void
LoadEstimate::RecordInFlight(std::uint64_t aInFlight, TimePoint aNow) noexcept
{
  const auto span =
    static_cast<std::uint64_t>(aNow.sinceStart_.count() / kSpan.count());
  history_[span % kHistorySpans].store(
    (span << kCountBits) | (aInFlight & kCountMask), std::memory_order_relaxed);
}

std::uint64_t
LoadEstimate::InFlightAt(TimePoint aAt) const noexcept
{
  const auto at =
    static_cast<std::uint64_t>(aAt.sinceStart_.count() / kSpan.count());
  for (std::uint64_t back = 0; back < std::min(at + 1, kHistorySpans); ++back) {
    const std::uint64_t entry =
      history_[(at - back) % kHistorySpans].load(std::memory_order_relaxed);
    if (entry != 0 && entry >> kCountBits == at - back) {
      return entry & kCountMask;
    }
  }
  return InFlight();
}

void
LoadEstimate::OnReport(std::uint64_t aRequests, TimePoint aAt) noexcept
{
  if (aAt.sinceStart_.count() < reportedAt_.load(std::memory_order_relaxed)) {
    return;
  }
  const std::uint64_t own = InFlightAt(aAt);
  others_.store(static_cast<double>(aRequests - std::min(aRequests, own)),
                std::memory_order_relaxed);
  reportedAt_.store(aAt.sinceStart_.count(), std::memory_order_relaxed);
}

double
LoadEstimate::Expected(TimePoint aNow, double aMeanOthers) const noexcept
{
  const Duration::rep at = reportedAt_.load(std::memory_order_relaxed);
  const auto own = static_cast<double>(InFlight());
  if (at < 0) {
    return own + aMeanOthers;
  }
  const auto age = static_cast<double>(
    std::max<Duration::rep>(aNow.sinceStart_.count() - at, 0));
  const double weight = kHalfAgeMicros / (kHalfAgeMicros + age);
  return own + weight * Others() + (1 - weight) * aMeanOthers;
}

} // namespace marjoramtally
