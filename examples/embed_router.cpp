/// Embeds admission and routing: a request waits in the queue of its class, is
/// routed to the upstream with the least expected completion time, and its
/// result is reported back. Sending is left to the embedder; the example opens
/// no sockets.
#include "marjoramtally/marjoramtally.hpp"

#include <iostream>

using namespace marjoramtally;
using std::chrono::milliseconds;

namespace {

const ServiceId kService{ "abonnenter" };
const ZoneId kZone{ "sal-nord" };

UpstreamView
MakeUpstream(const char* aId, const char* aAddress)
{
  UpstreamView view;
  view.id_ = UpstreamId{ aId };
  view.service_ = kService;
  view.zone_ = kZone;
  view.address_ = aAddress;
  return view;
}

QueuedRequest
MakeRequest(std::uint64_t aTicket, RequestClass aClass, TimePoint aNow)
{
  QueuedRequest request;
  request.ticket_ = TicketId{ aTicket };
  request.spec_.service_ = kService;
  request.spec_.class_ = aClass;
  request.spec_.arrived_ = aNow;
  request.spec_.deadline_ = aNow + milliseconds(500);
  return request;
}

} // namespace

int
main()
{
  ManualClock clock;
  Router router(kZone, /* aSeed */ 1);
  router.SetUpstreams({ MakeUpstream("abo-1", "127.0.0.1:8001"),
                        MakeUpstream("abo-2", "127.0.0.1:8002") },
                      clock.Now());
  UpstreamReport busy;
  busy.running_ = 40;
  busy.at_ = clock.Now();
  router.OnReport(UpstreamId{ "abo-1" }, busy, clock.Now());
  router.Refresh(clock.Now());

  Admission admission;
  bool ok = true;
  for (const auto& request :
       { MakeRequest(1, RequestClass::Background, clock.Now()),
         MakeRequest(2, RequestClass::Live, clock.Now()) }) {
    const auto verdict = admission.Enqueue(request, clock.Now());
    ok = ok && verdict.kind_ == AdmissionVerdict::Kind::Queued;
  }

  // The live request is dispatched first although it arrived last.
  const QueuedRequest next = *admission.Next(kService, clock.Now());
  const UpstreamPtr picked = router.Pick(next.spec_, {}, clock.Now());
  ok = ok && next.ticket_ == TicketId{ 2 } && picked &&
       picked->id_ == UpstreamId{ "abo-2" };
  admission.Dispatch(next.ticket_, clock.Now());
  const AttemptResult done{ .sentAt_ = clock.Now() };
  router.OnSent(UpstreamId{ "abo-2" }, next.spec_, clock.Now());
  clock.Advance(milliseconds(5)); // An embedder sends the request here.
  router.OnDone(UpstreamId{ "abo-2" }, next.spec_, done, clock.Now());
  admission.Complete(next.ticket_, std::nullopt, clock.Now());
  ok = ok && admission.size() == 1;
  std::cout << (ok ? "embed_router: as expected\n" : "embed_router: wrong\n");
  return ok ? 0 : 1;
}
