#include "marjoramtally/version/staleness.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Unknown time of announcement; earlier than any other.
constexpr TimePoint kUnknownTime{ Duration::min() };

} // namespace

void
VersionHistory::Announce(WeightVersion aVersion, TimePoint aNow)
{
  if (aVersion > Newest()) {
    announced_.emplace(aVersion, aNow);
    Trim();
  }
}

void
VersionHistory::AddPast(WeightVersion aVersion)
{
  announced_.emplace(aVersion, kUnknownTime);
  Trim();
}

void
VersionHistory::Trim()
{
  while (announced_.size() > kMaxVersions) {
    announced_.erase(announced_.begin());
  }
}

bool
VersionHistory::Announced(WeightVersion aVersion) const noexcept
{
  return announced_.contains(aVersion);
}

WeightVersion
VersionHistory::Newest() const noexcept
{
  return announced_.empty() ? WeightVersion{ 0 } : announced_.rbegin()->first;
}

WeightVersion
VersionHistory::OldestWithin(Duration aAge, TimePoint aNow) const noexcept
{
  WeightVersion oldest = Newest();
  TimePoint superseded = kNever;
  for (auto it = announced_.rbegin(); it != announced_.rend(); ++it) {
    const bool known = superseded != kUnknownTime;
    if (superseded != kNever && (!known || aNow - superseded > aAge)) {
      break;
    }
    oldest = it->first;
    superseded = it->second;
  }
  return oldest;
}

WeightVersion
OldestAllowed(const StalenessRule& aRule,
              const VersionHistory& aHistory,
              WeightVersion aTrainer,
              TimePoint aNow) noexcept
{
  const std::uint64_t version = aTrainer.Get();
  const WeightVersion byCount{ version > aRule.versions_
                                 ? version - aRule.versions_
                                 : 0 };
  if (aRule.age_ == Duration::zero()) {
    return byCount;
  }
  return std::max(byCount, aHistory.OldestWithin(aRule.age_, aNow));
}

bool
LabelsCertain(const Sample& aSample, const VersionHistory& aHistory) noexcept
{
  return SpansCover(aSample.spans_, aSample.tokens_) &&
         std::all_of(aSample.spans_.begin(),
                     aSample.spans_.end(),
                     [&](const VersionSpan& aSpan) {
                       return aHistory.Announced(aSpan.version_);
                     });
}

} // namespace marjoramtally
