#include "marjoramtally/process/upstream_table.hpp"

#include <tuple>

namespace marjoramtally {

const TrackedUpstream*
UpstreamTable::Pick(const ServiceId& aService,
                    const std::set<UpstreamId>& aTried,
                    TimePoint aNow) const
{
  const Service* service = FindService(aService);
  if (service == nullptr) {
    return nullptr;
  }
  const TrackedUpstream* best = nullptr;
  std::tuple<bool, bool, bool, double, bool, std::size_t> bestRank;
  for (const auto& [listed, upstream] : service->ranking_) {
    // Stops when no later upstream has a lower load or, at the same load, a
    // better zone.
    const auto& [vanished, avoided, unresponsive, load, far, order] = bestRank;
    if (best != nullptr && !vanished && !avoided && !unresponsive &&
        (!far || std::get<0>(listed) > load)) {
      break;
    }
    ++inspected_;
    if (aTried.contains(upstream->entry_.id_) || !Usable(*upstream, aNow)) {
      continue;
    }
    const std::tuple rank{
      upstream->removedAt_ != kNever,  upstream->avoidUntil_ > aNow,
      Unresponsive(*upstream, aNow),   upstream->LoadPerSlot(),
      upstream->entry_.zone_ != zone_, upstream->tieBreak_
    };
    if (best == nullptr || rank < bestRank) {
      best = upstream;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace marjoramtally
