#include "marjoramtally/process/deadline_queue.hpp"

namespace marjoramtally {

void
DeadlineQueue::Push(const RequestSpec& aSpec, TicketId aTicket, bool aFront)
{
  Lane& lane = lanes_[{ aSpec.model_, aSpec.minVersion_ }];
  lane.waiting_.insert({ !aFront, aSpec.deadline_, aTicket });
  ++size_;
}

void
DeadlineQueue::Remove(const RequestSpec& aSpec, TicketId aTicket)
{
  const auto lane = lanes_.find({ aSpec.model_, aSpec.minVersion_ });
  if (lane == lanes_.end()) {
    return;
  }
  auto& waiting = lane->second.waiting_;
  size_ -= waiting.erase({ true, aSpec.deadline_, aTicket }) +
           waiting.erase({ false, aSpec.deadline_, aTicket });
  if (waiting.empty()) {
    lanes_.erase(lane);
  }
}

std::optional<TicketId>
DeadlineQueue::Next() const
{
  const Position* first = nullptr;
  for (const auto& [key, lane] : lanes_) {
    if (!lane.stalled_ &&
        (first == nullptr || *lane.waiting_.begin() < *first)) {
      first = &*lane.waiting_.begin();
    }
  }
  return first == nullptr ? std::nullopt : std::optional(first->ticket_);
}

void
DeadlineQueue::Stall(const RequestSpec& aSpec)
{
  const auto lane = lanes_.find({ aSpec.model_, aSpec.minVersion_ });
  if (lane != lanes_.end()) {
    lane->second.stalled_ = true;
  }
}

void
DeadlineQueue::Resume()
{
  for (auto& [key, lane] : lanes_) {
    lane.stalled_ = false;
  }
}

} // namespace marjoramtally
