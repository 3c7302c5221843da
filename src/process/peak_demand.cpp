#include "marjoramtally/process/peak_demand.hpp"

namespace marjoramtally {

void
PeakDemand::OnDemand(std::uint64_t aSlots, TimePoint aNow)
{
  while (!history_.empty() && history_.front().at_ + window_ < aNow) {
    history_.pop_front();
  }
  while (!history_.empty() && history_.back().slots_ <= aSlots) {
    history_.pop_back();
  }
  history_.push_back({ aNow, aSlots });
}

std::uint64_t
PeakDemand::At(TimePoint aNow) const
{
  for (const Demand& demand : history_) {
    if (demand.at_ + window_ >= aNow) {
      return demand.slots_;
    }
  }
  return 0;
}

} // namespace marjoramtally
