#include "marjoramtally/process/load_board.hpp"

#include <utility>

namespace marjoramtally {

LoadBoard::LoadBoard(std::string aSelf, LoadBoardPolicy aPolicy)
  : self_(std::move(aSelf))
  , policy_(aPolicy)
{
}

bool
LoadBoard::OnNews(LoadNews aNews, Duration aAge, TimePoint aNow)
{
  if (aNews.process_ == self_) {
    return false;
  }
  const auto known = entries_.find(aNews.process_);
  if (known != entries_.end() &&
      known->second.news_.sequence_ >= aNews.sequence_) {
    return false;
  }
  std::string process = aNews.process_;
  entries_[std::move(process)] = Entry{ std::move(aNews), aNow - aAge };
  return true;
}

void
LoadBoard::OnGone(const std::string& aProcess)
{
  entries_.erase(aProcess);
}

std::uint32_t
LoadBoard::Held(const UpstreamId& aUpstream, TimePoint aNow) const
{
  std::uint32_t held = 0;
  for (const auto& [process, entry] : entries_) {
    if (!Counts(entry, aNow)) {
      continue;
    }
    for (const HeldSlots& slots : entry.news_.held_) {
      held += slots.upstream_ == aUpstream ? slots.calls_ : 0;
    }
  }
  return held;
}

std::vector<SlotDemand>
LoadBoard::Demands(const ServiceId& aService, TimePoint aNow) const
{
  std::vector<SlotDemand> demands;
  for (const auto& [process, entry] : entries_) {
    if (!Counts(entry, aNow)) {
      continue;
    }
    for (const SlotDemand& demand : entry.news_.demands_) {
      if (demand.service_ == aService) {
        demands.push_back(demand);
      }
    }
  }
  return demands;
}

} // namespace marjoramtally
