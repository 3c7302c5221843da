#include "marjoramtally/process/usage_meter.hpp"

#include <algorithm>

namespace marjoramtally {

void
UsageMeter::OnRequestStarted(const CustomerId& aCustomer, TimePoint aAt)
{
  const TimePoint bucket{ aAt.sinceStart_ / kResolution * kResolution };
  ++started_[bucket][aCustomer];
  while (started_.begin()->first + kRetention < aAt) {
    started_.erase(started_.begin());
  }
}

UsageCounts
UsageMeter::Counts(TimePoint aNow, TrueTime aTrueNow, Duration aWindow) const
{
  UsageCounts counts;
  for (const auto& [at, customers] : started_) {
    const TrueTime begun{ aTrueNow.sinceEpoch_ - (aNow - at) };
    CustomerCounts& window = counts[WindowOf(begun, aWindow)];
    for (const auto& [customer, count] : customers) {
      window[customer] += count;
    }
  }
  return counts;
}

Duration
MedianClockAhead(std::vector<Duration> aOffsets)
{
  if (aOffsets.empty()) {
    return Duration{ 0 };
  }
  const auto middle =
    aOffsets.begin() + static_cast<std::ptrdiff_t>(aOffsets.size() / 2);
  std::nth_element(aOffsets.begin(), middle, aOffsets.end());
  return *middle;
}

} // namespace marjoramtally
