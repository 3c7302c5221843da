#include "marjoramtally/process/pace_median.hpp"

#include <algorithm>

namespace marjoramtally {

void
PaceMedian::Add(Duration aPace)
{
  if (aPace.count() > 0) {
    paces_.insert(std::upper_bound(paces_.begin(), paces_.end(), aPace), aPace);
  }
}

void
PaceMedian::Remove(Duration aPace)
{
  const auto found = std::lower_bound(paces_.begin(), paces_.end(), aPace);
  if (found != paces_.end() && *found == aPace) {
    paces_.erase(found);
  }
}

Duration
PaceMedian::Get() const noexcept
{
  return paces_.empty() ? Duration{ 0 } : paces_[paces_.size() / 2];
}

} // namespace marjoramtally
