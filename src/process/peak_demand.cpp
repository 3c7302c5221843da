#include "marjoramtally/process/peak_demand.hpp"

namespace marjoramtally {

void
PeakDemand::OnDemand(std::uint64_t aPlaces, TimePoint aNow)
{
  while (!seen_.empty() && seen_.front().at_ + memory_ < aNow) {
    seen_.pop_front();
  }
  while (!seen_.empty() && seen_.back().places_ <= aPlaces) {
    seen_.pop_back();
  }
  seen_.push_back({ aNow, aPlaces });
}

std::uint64_t
PeakDemand::At(TimePoint aNow) const
{
  for (const Demand& demand : seen_) {
    if (demand.at_ + memory_ >= aNow) {
      return demand.places_;
    }
  }
  return 0;
}

} // namespace marjoramtally
