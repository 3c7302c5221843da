#include "marjoramtally/process/usage_meter.hpp"

#include <algorithm>

namespace marjoramtally {

void
UsageMeter::OnBegun(const CustomerId& aCustomer, TimePoint aAt)
{
  const TimePoint grain{ aAt.sinceStart_ / kGrain * kGrain };
  ++begun_[grain][aCustomer];
  while (begun_.begin()->first + kKept < aAt) {
    begun_.erase(begun_.begin());
  }
}

UsageCounts
UsageMeter::Counts(TimePoint aNow, TrueTime aTrueNow, Duration aWindow) const
{
  UsageCounts counts;
  for (const auto& [at, customers] : begun_) {
    const TrueTime begun{ aTrueNow.sinceEpoch_ - (aNow - at) };
    CustomerCounts& window = counts[WindowOf(begun, aWindow)];
    for (const auto& [customer, count] : customers) {
      window[customer] += count;
    }
  }
  return counts;
}

Duration
MedianAhead(std::vector<Duration> aAhead)
{
  if (aAhead.empty()) {
    return Duration{ 0 };
  }
  const auto middle =
    aAhead.begin() + static_cast<std::ptrdiff_t>(aAhead.size() / 2);
  std::nth_element(aAhead.begin(), middle, aAhead.end());
  return *middle;
}

} // namespace marjoramtally
