#include "marjoramtally/process/admission.hpp"

#include <algorithm>

namespace marjoramtally {

bool
Admission::Enqueue(QueuedRequest aRequest)
{
  if (size_ >= limit_) {
    return false;
  }
  auto& queue = queues_.at(static_cast<std::size_t>(aRequest.spec_.class_));
  queue.push_back(std::move(aRequest));
  ++size_;
  return true;
}

void
Admission::EnqueueFront(QueuedRequest aRequest)
{
  auto& queue = queues_.at(static_cast<std::size_t>(aRequest.spec_.class_));
  queue.push_front(std::move(aRequest));
  ++size_;
}

std::vector<const QueuedRequest*>
Admission::InOrder() const
{
  std::vector<const QueuedRequest*> order;
  for (const auto& queue : queues_) {
    for (const QueuedRequest& request : queue) {
      order.push_back(&request);
    }
  }
  return order;
}

void
Admission::Remove(TicketId aTicket)
{
  for (auto& queue : queues_) {
    const auto gone = std::erase_if(
      queue, [&](const auto& aRequest) { return aRequest.ticket_ == aTicket; });
    size_ -= gone;
  }
}

std::vector<QueuedRequest>
Admission::Expire(TimePoint aNow)
{
  std::vector<QueuedRequest> expired;
  for (auto& queue : queues_) {
    for (const QueuedRequest& request : queue) {
      if (request.spec_.deadline_ <= aNow) {
        expired.push_back(request);
      }
    }
  }
  for (const QueuedRequest& request : expired) {
    Remove(request.ticket_);
  }
  return expired;
}

} // namespace marjoramtally
