#include "marjoramtally/process/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace marjoramtally {

namespace {

/// Minimum cost of a request, so that none is free.
constexpr double kMinCost = 1;

/// @returns a rank that is greater for shorter requests and equal within a
/// power of two
int
Shortness(double aCost) noexcept
{
  return -std::ilogb(std::max(aCost, kMinCost));
}

} // namespace

std::uint32_t
FairQueue::IndexOf(const FlowId& aFlow)
{
  const auto known = indexes_.find(aFlow);
  if (known != indexes_.end()) {
    return known->second;
  }
  const auto index = static_cast<std::uint32_t>(flows_.size());
  indexes_.emplace(aFlow, index);
  flows_.emplace_back();
  return index;
}

const FairQueue::Flow*
FairQueue::Find(const FlowId& aFlow) const
{
  const auto known = indexes_.find(aFlow);
  return known == indexes_.end() ? nullptr : &flows_[known->second];
}

void
FairQueue::Detach(std::uint32_t aIndex)
{
  Flow& flow = flows_[aIndex];
  const bool waits = !flow.waiting_.empty();
  if (waits || flow.anticipated_) {
    outstanding_.erase(outstanding_.find(flow.nextStart_));
  }
  if (waits) {
    waitingWeight_ -= flow.weight_;
    ready_.erase({ flow.nextStart_, aIndex });
  }
  active_.erase({ flow.progress_, aIndex });
}

void
FairQueue::Attach(std::uint32_t aIndex)
{
  Flow& flow = flows_[aIndex];
  const bool waits = !flow.waiting_.empty();
  if (waits || flow.anticipated_) {
    outstanding_.insert(flow.nextStart_);
  }
  if (waits) {
    waitingWeight_ += flow.weight_;
    if (!flow.stalled_) {
      ready_.insert({ flow.nextStart_, aIndex });
    }
  }
  if (!waits && (flow.inFlight_ > 0 || flow.blocking_)) {
    active_.insert({ flow.progress_, aIndex });
  }
}

void
FairQueue::SetWeight(const FlowId& aFlow, double aWeight)
{
  const std::uint32_t index = IndexOf(aFlow);
  Detach(index);
  flows_[index].weight_ = std::max(aWeight, 1e-6);
  Attach(index);
}

void
FairQueue::Activate(std::uint32_t aIndex)
{
  Flow& flow = flows_[aIndex];
  if (flow.anticipated_) {
    anticipationEnds_.erase(
      { flow.idleSince_ + settings_.anticipation_, aIndex });
    blockingEnds_.erase(
      { flow.idleSince_ + settings_.blockingAnticipation_, aIndex });
    flow.anticipated_ = false;
    flow.blocking_ = false;
    return;
  }
  if (flow.waiting_.empty()) {
    flow.nextStart_ = std::max(flow.nextStart_, virtualTime_);
  }
  if (flow.inFlight_ == 0 && flow.waiting_.empty()) {
    flow.progress_ = std::max(flow.progress_, virtualTime_);
  }
}

void
FairQueue::Push(const FairRequest& aRequest, TimePoint aNow)
{
  ExpireAnticipation(aNow);
  const std::uint32_t index = IndexOf(aRequest.flow_);
  Entry entry;
  entry.flow_ = index;
  entry.cost_ = std::max(aRequest.cost_, kMinCost);
  entry.position_ = { !aRequest.front_,
                      Shortness(aRequest.cost_),
                      ++lastSequence_,
                      aRequest.ticket_ };
  Detach(index);
  Flow& flow = flows_[index];
  Activate(index);
  flow.waiting_.insert(entry.position_);
  flow.queuedCost_ += entry.cost_;
  Attach(index);
  ++waiting_;
  entries_.insert_or_assign(aRequest.ticket_, entry);
  AdvanceVirtualTime();
}

void
FairQueue::Remove(TicketId aTicket)
{
  const auto it = entries_.find(aTicket);
  if (it == entries_.end() || it->second.dispatched_) {
    return;
  }
  const std::uint32_t index = it->second.flow_;
  Detach(index);
  flows_[index].waiting_.erase(it->second.position_);
  flows_[index].queuedCost_ -= it->second.cost_;
  Attach(index);
  --waiting_;
  entries_.erase(it);
  AdvanceVirtualTime();
}

bool
FairQueue::Throttled(const FlowKey& aCandidate) const
{
  if (!settings_.throttle_ || active_.empty()) {
    return false;
  }
  const FlowKey& lagging = *active_.begin();
  return lagging.second != aCandidate.second &&
         aCandidate.first - lagging.first > *settings_.throttle_;
}

std::optional<TicketId>
FairQueue::Next(TimePoint aNow)
{
  ExpireAnticipation(aNow);
  if (ready_.empty() || Throttled(*ready_.begin())) {
    return std::nullopt;
  }
  return flows_[ready_.begin()->second].waiting_.begin()->ticket_;
}

void
FairQueue::Dispatch(TicketId aTicket)
{
  Entry& entry = entries_.at(aTicket);
  Flow& flow = flows_[entry.flow_];
  Detach(entry.flow_);
  flow.waiting_.erase(entry.position_);
  flow.queuedCost_ -= entry.cost_;
  entry.dispatched_ = true;
  entry.startTag_ = flow.nextStart_;
  flow.progress_ = flow.nextStart_;
  flow.nextStart_ += entry.cost_ / flow.weight_;
  ++flow.inFlight_;
  Attach(entry.flow_);
  outstanding_.insert(entry.startTag_);
  --waiting_;
  lastFinish_ = std::max(lastFinish_, flow.nextStart_);
  if (settings_.rule_ == VirtualTimeRule::MaxDispatched) {
    virtualTime_ = std::max(virtualTime_, entry.startTag_);
  }
  AdvanceVirtualTime();
}

void
FairQueue::Complete(TicketId aTicket, double aCost, TimePoint aNow)
{
  const auto it = entries_.find(aTicket);
  if (it == entries_.end() || !it->second.dispatched_) {
    return;
  }
  const Entry entry = it->second;
  entries_.erase(it);
  outstanding_.erase(outstanding_.find(entry.startTag_));
  Flow& flow = flows_[entry.flow_];
  Detach(entry.flow_);
  flow.nextStart_ += (std::max(aCost, kMinCost) - entry.cost_) / flow.weight_;
  --flow.inFlight_;
  const bool idle = flow.inFlight_ == 0 && flow.waiting_.empty();
  if (idle && settings_.anticipation_ > Duration::zero()) {
    flow.anticipated_ = true;
    flow.idleSince_ = aNow;
    flow.blocking_ = settings_.blockingAnticipation_ > Duration::zero();
    anticipationEnds_.insert({ aNow + settings_.anticipation_, entry.flow_ });
    blockingEnds_.insert(
      { aNow + settings_.blockingAnticipation_, entry.flow_ });
  }
  Attach(entry.flow_);
  AdvanceVirtualTime();
}

void
FairQueue::ExpireAnticipation(TimePoint aNow)
{
  while (!blockingEnds_.empty() && blockingEnds_.begin()->first <= aNow) {
    const std::uint32_t index = blockingEnds_.begin()->second;
    blockingEnds_.erase(blockingEnds_.begin());
    Detach(index);
    flows_[index].blocking_ = false;
    Attach(index);
  }
  while (!anticipationEnds_.empty() &&
         anticipationEnds_.begin()->first <= aNow) {
    const std::uint32_t index = anticipationEnds_.begin()->second;
    anticipationEnds_.erase(anticipationEnds_.begin());
    Detach(index);
    flows_[index].anticipated_ = false;
    Attach(index);
    AdvanceVirtualTime();
  }
}

void
FairQueue::AdvanceVirtualTime()
{
  if (outstanding_.empty()) {
    virtualTime_ = std::max(virtualTime_, lastFinish_);
  } else if (settings_.rule_ == VirtualTimeRule::MinOutstanding) {
    virtualTime_ = std::max(virtualTime_, *outstanding_.begin());
  }
}

void
FairQueue::Stall(TicketId aTicket)
{
  const std::uint32_t index = entries_.at(aTicket).flow_;
  Detach(index);
  flows_[index].stalled_ = true;
  Attach(index);
  stalled_.push_back(index);
}

void
FairQueue::Resume()
{
  for (const std::uint32_t index : stalled_) {
    Detach(index);
    flows_[index].stalled_ = false;
    Attach(index);
  }
  stalled_.clear();
}

double
FairQueue::QueuedCost(const FlowId& aFlow) const
{
  const Flow* flow = Find(aFlow);
  return flow == nullptr ? 0 : flow->queuedCost_;
}

double
FairQueue::Share(const FlowId& aFlow) const
{
  const Flow* flow = Find(aFlow);
  const double own = flow == nullptr ? 1 : flow->weight_;
  const bool waits = flow != nullptr && !flow->waiting_.empty();
  return own / (waits ? waitingWeight_ : waitingWeight_ + own);
}

} // namespace marjoramtally
