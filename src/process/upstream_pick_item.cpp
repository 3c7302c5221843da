#include "marjoramtally/process/upstream_table.hpp"

#include <tuple>

namespace marjoramtally {

bool
UpstreamTable::Fits(const TrackedUpstream& aUpstream,
                    const ItemNeeds& aNeeds,
                    TimePoint aNow) const
{
  if (aUpstream.entry_.service_ != aNeeds.service_ ||
      aUpstream.entry_.id_ == aNeeds.excluded_ || !Usable(aUpstream, aNow)) {
    return false;
  }
  if (!aNeeds.model_.empty()) {
    const auto version = aUpstream.versions_.find(aNeeds.model_);
    if (version == aUpstream.versions_.end() ||
        version->second < aNeeds.minVersion_) {
      return false;
    }
  }
  return aUpstream.avoidUntil_ <= aNow &&
         aUpstream.inFlight_ < aUpstream.entry_.slots_;
}

const TrackedUpstream*
UpstreamTable::PickForItem(const ItemNeeds& aNeeds, TimePoint aNow) const
{
  const Service* service = FindService(aNeeds.service_);
  if (service == nullptr) {
    return nullptr;
  }
  const Duration median = service->paces_.Get();
  const TrackedUpstream* preferred = Find(aNeeds.preferred_);
  if (preferred != nullptr && Fits(*preferred, aNeeds, aNow) &&
      !SlowerThan(*preferred, median) && !Unresponsive(*preferred, aNow)) {
    return preferred;
  }
  using Penalties = std::tuple<bool, bool, bool>;
  constexpr Penalties kNone{ false, false, false };
  const TrackedUpstream* best = nullptr;
  std::pair<Penalties, Rank> bestRank;
  for (const Ranking* ranking : RankingsFor(aNeeds)) {
    for (const auto& [rank, upstream] : *ranking) {
      if (best != nullptr && bestRank < std::pair(kNone, rank)) {
        break;
      }
      ++inspected_;
      if (!Fits(*upstream, aNeeds, aNow)) {
        continue;
      }
      const Penalties penalties{ upstream->removedAt_ != kNever,
                                 Unresponsive(*upstream, aNow),
                                 SlowerThan(*upstream, median) };
      if (best == nullptr || std::pair(penalties, rank) < bestRank) {
        best = upstream;
        bestRank = { penalties, rank };
      }
    }
  }
  return best;
}

std::vector<const UpstreamTable::Ranking*>
UpstreamTable::RankingsFor(const ItemNeeds& aNeeds) const
{
  const Service* service = FindService(aNeeds.service_);
  if (service == nullptr) {
    return {};
  }
  if (aNeeds.model_.empty()) {
    return { &service->ranking_ };
  }
  std::vector<const Ranking*> rankings;
  const auto model = service->models_.find(aNeeds.model_);
  if (model != service->models_.end()) {
    const auto& versions = model->second;
    for (auto it = versions.lower_bound(aNeeds.minVersion_);
         it != versions.end();
         ++it) {
      rankings.push_back(&it->second);
    }
  }
  return rankings;
}

bool
UpstreamTable::SlowerThan(const TrackedUpstream& aUpstream,
                          Duration aMedian) const noexcept
{
  return static_cast<double>(aUpstream.pace_.count()) >
         policy_.slowFactor_ * static_cast<double>(aMedian.count());
}

bool
UpstreamTable::Slow(const UpstreamId& aId) const
{
  const TrackedUpstream* upstream = Find(aId);
  return upstream != nullptr && upstream->pace_.count() > 0 &&
         SlowerThan(*upstream,
                    services_.at(upstream->entry_.service_).paces_.Get());
}

} // namespace marjoramtally
