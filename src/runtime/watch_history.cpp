#include "marjoramtally/runtime/watch_history.hpp"

#include <algorithm>

namespace marjoramtally {

void
WatchHistory::Start(std::uint64_t aAfter, TimePoint aNow)
{
  events_.clear();
  start_ = aAfter;
  known_ = aAfter;
  confirmed_ = aNow;
}

void
WatchHistory::Append(const StoreWatchBatch& aBatch, TimePoint aNow)
{
  if (!known_) {
    return;
  }
  confirmed_ = aNow;
  known_ = std::max(*known_, aBatch.revision_);
  for (const StoreEvent& event : aBatch.events_) {
    known_ = std::max(*known_, event.record_.modRevision_);
    events_.push_back(event);
  }
  while (events_.size() > kMost) {
    start_ = events_.front().record_.modRevision_;
    events_.pop_front();
  }
}

bool
WatchHistory::Confirmed(TimePoint aNow) const noexcept
{
  return known_.has_value() && aNow - confirmed_ <= kConfirmedFor;
}

bool
WatchHistory::Covers(std::uint64_t aAfter) const noexcept
{
  return known_.has_value() && aAfter >= start_;
}

StoreWatchBatch
WatchHistory::After(std::uint64_t aAfter) const
{
  StoreWatchBatch batch;
  batch.revision_ = std::max(aAfter, known_.value_or(0));
  for (const StoreEvent& event : events_) {
    if (event.record_.modRevision_ > aAfter) {
      batch.events_.push_back(event);
    }
  }
  return batch;
}

} // namespace marjoramtally
