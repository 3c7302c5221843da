#include "marjoramtally/runtime/watch_history.hpp"

#include <algorithm>

namespace marjoramtally {

void
WatchHistory::Start(std::uint64_t aAfter, TimePoint aNow)
{
  events_.clear();
  bytes_ = 0;
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
    bytes_ += BytesOf(event);
    if (BytesOf(event) > kMaxChangeBytes) {
      DropUpTo(event.record_.modRevision_);
    }
  }
  while (events_.size() > kMaxChanges || bytes_ > kMaxBytes) {
    DropUpTo(events_.front().record_.modRevision_);
  }
}

void
WatchHistory::DropUpTo(std::uint64_t aRevision)
{
  start_ = aRevision;
  while (!events_.empty() &&
         events_.front().record_.modRevision_ <= aRevision) {
    bytes_ -= BytesOf(events_.front());
    events_.pop_front();
  }
}

std::size_t
WatchHistory::BytesOf(const StoreEvent& aEvent) noexcept
{
  return aEvent.record_.key_.size() + aEvent.record_.value_.size();
}

bool
WatchHistory::Confirmed(TimePoint aNow) const noexcept
{
  return known_.has_value() && aNow - confirmed_ <= kConfirmationLifetime;
}

bool
WatchHistory::Covers(std::uint64_t aAfter) const noexcept
{
  return known_.has_value() && aAfter >= start_;
}

std::deque<StoreEvent>::const_iterator
WatchHistory::FirstAfter(std::uint64_t aAfter) const
{
  return std::partition_point(
    events_.begin(), events_.end(), [aAfter](const StoreEvent& aEvent) {
      return aEvent.record_.modRevision_ <= aAfter;
    });
}

bool
WatchHistory::HasAfter(std::uint64_t aAfter) const noexcept
{
  return !events_.empty() && events_.back().record_.modRevision_ > aAfter;
}

StoreWatchBatch
WatchHistory::After(std::uint64_t aAfter) const
{
  StoreWatchBatch batch;
  batch.revision_ = std::max(aAfter, known_.value_or(0));
  batch.latest_ = batch.revision_;
  batch.events_.assign(FirstAfter(aAfter), events_.end());
  return batch;
}

} // namespace marjoramtally
