#include "marjoramtally/process/gossip_queue.hpp"

namespace marjoramtally {

GossipSubject
GossipSubject::Of(const InstanceId& aId)
{
  return { 0, aId.Get() };
}

GossipSubject
GossipSubject::Of(const GossipItem& aItem)
{
  return { static_cast<std::uint16_t>(aItem.kind_), aItem.key_ };
}

void
GossipQueue::Add(const GossipSubject& aSubject)
{
  Remove(aSubject);
  if (sent_.size() >= maxSubjects_) {
    const GossipSubject last = order_.rbegin()->second;
    Remove(last);
  }
  const Order order{ 0, next_++ };
  sent_.emplace(aSubject, order);
  order_.emplace(order, aSubject);
}

void
GossipQueue::Remove(const GossipSubject& aSubject)
{
  const auto it = sent_.find(aSubject);
  if (it != sent_.end()) {
    order_.erase(it->second);
    sent_.erase(it);
  }
}

void
GossipQueue::CountSent(const GossipSubject& aSubject, std::uint32_t aLimit)
{
  const auto it = sent_.find(aSubject);
  if (it == sent_.end()) {
    return;
  }
  Order order = it->second;
  order_.erase(order);
  ++order.sent_;
  if (order.sent_ >= aLimit) {
    sent_.erase(it);
    return;
  }
  it->second = order;
  order_.emplace(order, aSubject);
}

} // namespace marjoramtally
