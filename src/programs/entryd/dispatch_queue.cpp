#include "programs/entryd/dispatch_queue.hpp"

namespace marjoramtally {

void
DispatchQueue::UpdateLimits(const Rules& aRules,
                            const std::vector<UpstreamView>& aUpstreams)
{
  admission_.SetClasses(aRules.classes_);
  for (const auto& [id, trainer] : aRules.trainers_) {
    admission_.SetWeight(ServiceId{ trainer.service_ }, id, trainer.weight_);
  }
  std::map<ServiceId, std::uint64_t> slots;
  for (const UpstreamView& upstream : aUpstreams) {
    slots[upstream.service_] += upstream.TakesWork() ? upstream.limit_ : 0;
  }
  for (const auto& [service, count] : slots) {
    admission_.SetCapacity(service, count);
  }
}

std::vector<AttemptStart>
DispatchQueue::PickStarts(const ServiceId& aService,
                          const InFlightRequests& aRequests,
                          TimePoint aNow)
{
  std::vector<AttemptStart> starts;
  std::vector<QueuedRequest> suspects;
  admission_.Resume(aService);
  while (const QueuedRequest* queued = admission_.Next(aService, aNow)) {
    const TicketId ticket = queued->ticket_;
    const InFlightRequestPtr& request = aRequests.at(ticket);
    UpstreamPtr upstream =
      router_.Pick(queued->spec_,
                   crashGuard_.UpstreamsToAvoid(queued->spec_, request->tried_),
                   aNow);
    if (!upstream) {
      admission_.Stall(ticket);
    } else if (!crashGuard_.TryStart(queued->spec_, upstream->id_)) {
      // A suspect that must wait to run isolated does not block the queue.
      suspects.push_back(*queued);
      admission_.Remove(ticket);
    } else {
      router_.OnSent(upstream->id_, queued->spec_, aNow);
      admission_.Dispatch(ticket, aNow);
      starts.push_back({ ticket, request, std::move(upstream) });
    }
  }
  for (QueuedRequest& suspect : suspects) {
    admission_.EnqueueFront(std::move(suspect), aNow);
  }
  return starts;
}

std::vector<ExpiredRequest>
DispatchQueue::TakeExpired(const InFlightRequests& aRequests, TimePoint aNow)
{
  std::vector<ExpiredRequest> expired;
  for (const QueuedRequest& request : admission_.Expire(aNow)) {
    expired.push_back({ request.ticket_,
                        aRequests.at(request.ticket_),
                        admission_.ExpectedWait(request.spec_) });
  }
  return expired;
}

} // namespace marjoramtally
