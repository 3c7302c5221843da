#include "marjoramtally/process/admission.hpp"

#include <algorithm>
#include <numeric>

namespace marjoramtally {

namespace {

constexpr std::uint64_t kPercent = 100;

constexpr std::size_t
IndexOf(RequestClass aClass) noexcept
{
  return static_cast<std::size_t>(aClass);
}

FlowId
FlowOf(const RequestSpec& aSpec)
{
  return FlowId{ aSpec.trainer_.Get() };
}

} // namespace

Admission::ServiceQueue&
Admission::QueueOf(const ServiceId& aService)
{
  return services_.try_emplace(aService, settings_.fair_).first->second;
}

const ClassLimits&
Admission::Limits(RequestClass aClass) const noexcept
{
  return settings_.classes_.at(IndexOf(aClass));
}

void
Admission::SetWeight(const ServiceId& aService,
                     const TrainerId& aTrainer,
                     std::uint64_t aWeight)
{
  QueueOf(aService).trainers_.SetWeight(FlowId{ aTrainer.Get() },
                                        static_cast<double>(aWeight));
}

void
Admission::SetCapacity(const ServiceId& aService, std::uint64_t aSlots)
{
  QueueOf(aService).slots_ = aSlots;
}

double
Admission::CostAhead(const ServiceQueue& aQueue,
                     const RequestSpec& aRequest) const
{
  const auto& queued = aQueue.queuedCost_;
  const double live = queued[IndexOf(RequestClass::Live)];
  if (aRequest.class_ == RequestClass::Live) {
    return live;
  }
  if (aRequest.class_ == RequestClass::Trainer) {
    const FlowId flow = FlowOf(aRequest);
    return live +
           aQueue.trainers_.QueuedCost(flow) / aQueue.trainers_.Share(flow);
  }
  const double all = std::accumulate(queued.begin(), queued.end(), 0.0);
  const std::uint64_t share = Limits(RequestClass::Background).share_;
  const double own = queued[IndexOf(RequestClass::Background)];
  return share == 0 ? all
                    : std::min(all,
                               own * static_cast<double>(kPercent) /
                                 static_cast<double>(share));
}

AdmissionVerdict
Admission::Enqueue(QueuedRequest aRequest, TimePoint aNow)
{
  const RequestSpec& spec = aRequest.spec_;
  const ServiceQueue& queue = QueueOf(spec.service_);
  const double ahead = CostAhead(queue, spec);
  const RefusalVerdict judged =
    queue.refusal_.Judge(spec, estimate_.Cost(spec), ahead, aNow);
  AdmissionVerdict verdict;
  verdict.wait_ = judged.wait_;
  if (size(spec.class_) >= Limits(spec.class_).queue_) {
    verdict.kind_ = AdmissionVerdict::Kind::QueueFull;
    verdict.retryAfter_ = judged.wait_;
    return verdict;
  }
  if (settings_.earlyRefusal_ && judged.refuse_) {
    verdict.kind_ = AdmissionVerdict::Kind::WouldBeLate;
    verdict.retryAfter_ = judged.retryAfter_;
    return verdict;
  }
  Insert(std::move(aRequest), judged.wait_, false, aNow);
  return verdict;
}

void
Admission::EnqueueFront(QueuedRequest aRequest, TimePoint aNow)
{
  Insert(std::move(aRequest), Duration::zero(), true, aNow);
}

void
Admission::Insert(QueuedRequest aRequest,
                  Duration aExpectedWait,
                  bool aFront,
                  TimePoint aNow)
{
  const TicketId ticket = aRequest.ticket_;
  const RequestSpec& spec = aRequest.spec_;
  ServiceQueue& queue = QueueOf(spec.service_);
  Entry entry;
  entry.cost_ = estimate_.Cost(spec);
  entry.expectedWait_ = aExpectedWait;
  entry.queuedAt_ = aNow;
  if (spec.deadline_ != kNever) {
    const Duration service =
      queue.refusal_.ServiceTime(spec.class_, entry.cost_);
    const bool fits =
      settings_.earlyRefusal_ && !aFront && aNow + service < spec.deadline_;
    entry.latestStart_ = fits ? spec.deadline_ - service : spec.deadline_;
    latestStarts_.insert({ entry.latestStart_, ticket });
  }
  if (spec.class_ == RequestClass::Trainer) {
    queue.trainers_.Push({ ticket, FlowOf(spec), entry.cost_, aFront }, aNow);
  } else {
    const bool live = spec.class_ == RequestClass::Live;
    (live ? queue.live_ : queue.background_).Push(spec, ticket, aFront);
  }
  queue.queuedCost_.at(IndexOf(spec.class_)) += entry.cost_;
  ++waiting_.at(IndexOf(spec.class_));
  entry.request_ = std::move(aRequest);
  entries_.insert_or_assign(ticket, std::move(entry));
}

bool
Admission::BackgroundIsDue(const ServiceQueue& aQueue) const noexcept
{
  const std::uint64_t share = Limits(RequestClass::Background).share_;
  return share > 0 && aQueue.background_.size() > 0 &&
         aQueue.dispatchesSinceBackground_ * share >= kPercent - share;
}

std::optional<TicketId>
Admission::NextNonLive(ServiceQueue& aQueue, TimePoint aNow)
{
  const auto trainer = aQueue.trainers_.Next(aNow);
  return trainer ? trainer : aQueue.background_.Next();
}

const QueuedRequest*
Admission::Next(const ServiceId& aService, TimePoint aNow)
{
  ServiceQueue& queue = QueueOf(aService);
  const std::uint64_t reserve = Limits(RequestClass::Live).reserve_;
  const std::uint64_t open = queue.slots_ - queue.slots_ * reserve / kPercent;
  const bool nonLiveAllowed =
    queue.slots_ == 0 ||
    queue.nonLiveInFlight_ < std::max<std::uint64_t>(open, 1);
  std::optional<TicketId> ticket;
  if (nonLiveAllowed && BackgroundIsDue(queue)) {
    ticket = queue.background_.Next();
  }
  if (!ticket) {
    ticket = queue.live_.Next();
  }
  if (!ticket && nonLiveAllowed) {
    ticket = NextNonLive(queue, aNow);
  }
  return ticket ? &entries_.at(*ticket).request_ : nullptr;
}

void
Admission::RemoveFromQueue(const Entry& aEntry)
{
  const RequestSpec& spec = aEntry.request_.spec_;
  const TicketId ticket = aEntry.request_.ticket_;
  ServiceQueue& queue = QueueOf(spec.service_);
  latestStarts_.erase({ aEntry.latestStart_, ticket });
  if (spec.class_ == RequestClass::Live) {
    queue.live_.Remove(spec, ticket);
  } else if (spec.class_ == RequestClass::Background) {
    queue.background_.Remove(spec, ticket);
  }
  queue.queuedCost_.at(IndexOf(spec.class_)) -= aEntry.cost_;
  --waiting_.at(IndexOf(spec.class_));
}

void
Admission::Dispatch(TicketId aTicket, TimePoint aNow)
{
  Entry& entry = entries_.at(aTicket);
  RemoveFromQueue(entry);
  const RequestClass requestClass = entry.request_.spec_.class_;
  ServiceQueue& queue = QueueOf(entry.request_.spec_.service_);
  if (requestClass == RequestClass::Trainer) {
    queue.trainers_.Dispatch(aTicket);
  }
  queue.refusal_.OnWaited(
    requestClass, entry.expectedWait_, aNow - entry.queuedAt_);
  const bool live = requestClass == RequestClass::Live;
  queue.nonLiveInFlight_ += live ? 0 : 1;
  queue.dispatchesSinceBackground_ = requestClass == RequestClass::Background
                                       ? 0
                                       : queue.dispatchesSinceBackground_ + 1;
  entry.dispatched_ = true;
  entry.dispatchedAt_ = aNow;
}

void
Admission::Stall(TicketId aTicket)
{
  const RequestSpec& spec = entries_.at(aTicket).request_.spec_;
  ServiceQueue& queue = QueueOf(spec.service_);
  if (spec.class_ == RequestClass::Trainer) {
    queue.trainers_.Stall(aTicket);
  } else if (spec.class_ == RequestClass::Live) {
    queue.live_.Stall(spec);
  } else {
    queue.background_.Stall(spec);
  }
}

void
Admission::Resume(const ServiceId& aService)
{
  ServiceQueue& queue = QueueOf(aService);
  queue.live_.Resume();
  queue.trainers_.Resume();
  queue.background_.Resume();
}

void
Admission::Complete(TicketId aTicket,
                    std::optional<std::uint64_t> aTokens,
                    TimePoint aNow)
{
  const auto it = entries_.find(aTicket);
  if (it == entries_.end() || !it->second.dispatched_) {
    return;
  }
  const Entry entry = std::move(it->second);
  entries_.erase(it);
  const RequestSpec& spec = entry.request_.spec_;
  ServiceQueue& queue = QueueOf(spec.service_);
  const double cost = aTokens ? estimate_.Learn(spec, *aTokens) : entry.cost_;
  if (spec.class_ == RequestClass::Trainer) {
    queue.trainers_.Complete(aTicket, cost, aNow);
  }
  if (spec.class_ != RequestClass::Live) {
    --queue.nonLiveInFlight_;
  }
  const Duration took = aNow - entry.dispatchedAt_;
  if (!aTokens && aNow >= spec.deadline_) {
    queue.refusal_.OnDeadlinePassed(spec.class_, entry.cost_, took);
  }
  if (aTokens) {
    const bool backlog =
      queue.live_.size() + queue.trainers_.size() + queue.background_.size() >
      0;
    queue.refusal_.OnCompleted(
      spec.class_, entry.cost_, cost, took, backlog, aNow);
  }
}

void
Admission::Remove(TicketId aTicket)
{
  const auto it = entries_.find(aTicket);
  if (it == entries_.end() || it->second.dispatched_) {
    return;
  }
  RemoveFromQueue(it->second);
  const RequestSpec& spec = it->second.request_.spec_;
  if (spec.class_ == RequestClass::Trainer) {
    QueueOf(spec.service_).trainers_.Remove(aTicket);
  }
  entries_.erase(it);
}

std::vector<QueuedRequest>
Admission::Expire(TimePoint aNow)
{
  std::vector<QueuedRequest> expired;
  while (!latestStarts_.empty() && latestStarts_.begin()->first <= aNow) {
    const TicketId ticket = latestStarts_.begin()->second;
    expired.push_back(entries_.at(ticket).request_);
    Remove(ticket);
  }
  return expired;
}

std::vector<ServiceId>
Admission::Waiting() const
{
  std::vector<ServiceId> waiting;
  for (const auto& [id, queue] : services_) {
    if (queue.live_.size() + queue.trainers_.size() + queue.background_.size() >
        0) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

Duration
Admission::ExpectedWait(const RequestSpec& aRequest) const
{
  const auto queue = services_.find(aRequest.service_);
  if (queue == services_.end()) {
    return Duration::zero();
  }
  return queue->second.refusal_.ExpectedWait(
    aRequest.class_, CostAhead(queue->second, aRequest));
}

std::size_t
Admission::size() const noexcept
{
  return std::accumulate(waiting_.begin(), waiting_.end(), std::size_t{ 0 });
}

} // namespace marjoramtally
