#include "programs/entryd/dispatcher.hpp"

#include "programs/entryd/upstream_list.hpp"

namespace marjoramtally {

namespace {

constexpr std::uint32_t kMaxAttempts = 4;
constexpr auto kDispatchPeriod = std::chrono::milliseconds(20);

} // namespace

Dispatcher::Dispatcher(Host& aHost)
  : host_(aHost)
  , router_(ZoneId{ aHost.Settings().zone_ },
            std::hash<std::string>{}(aHost.Settings().instance_))
  , crashGuard_(aHost)
  , reports_(aHost, router_)
  , queue_(router_, crashGuard_)
  , hedges_(router_, crashGuard_)
{
}

void
Dispatcher::Start()
{
  crashGuard_.Start();
  host_.ClusterState().OnRefresh(
    [this](const ClusterViewPtr& aView) { ApplyView(aView); });
  reports_.Start();
  host_.TimerQueue().Every(kDispatchPeriod, [this] {
    Expire();
    DispatchWaiting();
    HedgeStragglers();
  });
}

std::size_t
Dispatcher::Unfinished() const
{
  const std::lock_guard lock(mutex_);
  return requests_.size();
}

bool
Dispatcher::KnowsService(const ServiceId& aService) const
{
  return host_.ClusterState().View()->rules_->services_.contains(aService);
}

void
Dispatcher::ApplyView(const ClusterViewPtr& aView)
{
  const std::vector<UpstreamView> upstreams = ListUpstreams(*aView->rules_);
  {
    const std::lock_guard lock(mutex_);
    router_.SetUpstreams(upstreams, host_.Now());
    reports_.SetUpstreams(upstreams);
    queue_.UpdateLimits(*aView->rules_, upstreams);
  }
  DispatchWaiting();
}

void
Dispatcher::Submit(RequestSpec aSpec,
                   UpstreamMessage aMessage,
                   TraceContext aTrace,
                   ResponseClassifier aClassify,
                   DispatchDone aDone)
{
  Span queueSpan = StartSpan(aTrace, "queue");
  auto request = std::make_shared<InFlightRequest>(InFlightRequest{
    std::move(aSpec),
    std::move(aMessage),
    std::move(aClassify),
    std::move(aDone),
    Attempts(kMaxAttempts),
    {},
    std::move(aTrace),
    std::move(queueSpan),
  });
  const TicketId ticket = AddRequest(request);
  if (FinishIfQuarantined(ticket, request)) {
    return;
  }
  AdmissionVerdict verdict;
  {
    const std::lock_guard lock(mutex_);
    verdict = queue_.Enqueue(ticket, request->spec_, host_.Now());
  }
  if (verdict.kind_ != AdmissionVerdict::Kind::Queued) {
    Refuse(ticket, request, verdict);
    return;
  }
  DispatchService(request->spec_.service_);
}

TicketId
Dispatcher::AddRequest(const InFlightRequestPtr& aRequest)
{
  const std::lock_guard lock(mutex_);
  const TicketId ticket{ ++lastTicket_ };
  requests_.emplace(ticket, aRequest);
  return ticket;
}

void
Dispatcher::Refuse(TicketId aTicket,
                   const InFlightRequestPtr& aRequest,
                   const AdmissionVerdict& aVerdict)
{
  const bool full = aVerdict.kind_ == AdmissionVerdict::Kind::QueueFull;
  host_.Measures().Count("marjoram_refused_total{reason=\"" +
                         std::string(full ? "queue_full" : "would_be_late") +
                         "\",class=\"" +
                         std::string(ToString(aRequest->spec_.class_)) + "\"}");
  Finish(aTicket, aRequest, MakeRefused(aVerdict));
}

void
Dispatcher::Expire()
{
  std::vector<ExpiredRequest> expired;
  {
    const std::lock_guard lock(mutex_);
    expired = queue_.TakeExpired(requests_, host_.Now());
  }
  for (const auto& [ticket, request, wait] : expired) {
    Finish(ticket, request, MakeExpired(wait, request->attempts_.FinalStep()));
  }
}

void
Dispatcher::DispatchWaiting()
{
  std::vector<ServiceId> services;
  {
    const std::lock_guard lock(mutex_);
    services = queue_.Waiting();
  }
  for (const ServiceId& service : services) {
    DispatchService(service);
  }
}

void
Dispatcher::DispatchService(const ServiceId& aService)
{
  std::vector<AttemptStart> starts;
  {
    const std::lock_guard lock(mutex_);
    starts = queue_.PickStarts(aService, requests_, host_.Now());
    RecordStarts(starts);
  }
  for (const AttemptStart& start : starts) {
    host_.Traces().End(start.request_->queueSpan_);
    SendAttempt(start);
  }
}

void
Dispatcher::HedgeStragglers()
{
  std::vector<AttemptStart> hedges;
  {
    const std::lock_guard lock(mutex_);
    // Capacity counts as idle only while no request waits for it.
    hedges = hedges_.Review(requests_, queue_.empty(), host_.Now());
    RecordStarts(hedges);
  }
  for (const AttemptStart& hedge : hedges) {
    host_.Measures().Count("marjoram_hedges_total");
    SendAttempt(hedge);
  }
}

void
Dispatcher::SendAttempt(const AttemptStart& aStart)
{
  const InFlightRequest& request = *aStart.request_;
  Span span = StartSpan(request.trace_, "upstream");
  span.attributes_["upstream"] = aStart.upstream_->id_.Get();
  HttpCall call =
    MakeCall(request, *aStart.upstream_, span.context_, host_.Now());
  const auto sink = request.message_.sink_;
  if (sink) {
    sink->Prepare(call);
  }
  const HttpCallId id = host_.Http().Send(
    std::move(call), [this, aStart, span](HttpResult aResult) mutable {
      host_.Traces().End(std::move(span));
      EndAttempt(aStart, std::move(aResult));
    });
  if (sink) {
    sink->OnSent(id);
  }
  RecordCall(aStart, id);
}

void
Dispatcher::RecordStarts(const std::vector<AttemptStart>& aStarts)
{
  const TimePoint now = host_.Now();
  for (const AttemptStart& start : aStarts) {
    InFlightRequest& request = *start.request_;
    request.sent_.push_back({ start.upstream_->id_, now, std::nullopt });
    hedges_.OnStarted(
      start.ticket_, request, queue_.ExpectedTokens(request.spec_), now);
  }
}

void
Dispatcher::RecordCall(const AttemptStart& aStart, HttpCallId aCall)
{
  const std::lock_guard lock(mutex_);
  for (SentAttempt& sent : aStart.request_->sent_) {
    if (sent.upstream_ == aStart.upstream_->id_) {
      sent.call_ = aCall;
    }
  }
}

void
Dispatcher::EndAttempt(const AttemptStart& aStart, HttpResult aResult)
{
  const RequestSpec& spec = aStart.request_->spec_;
  const UpstreamId& upstream = aStart.upstream_->id_;
  const AttemptEnd end = ClassifyAttempt(*aStart.request_, aResult);
  crashGuard_.OnAttemptEnd(spec, upstream, aResult.end_, end);
  const auto decision = Decide(aStart, end, crashGuard_.Check(spec), aResult);
  if (!decision) {
    return;
  }
  for (const SentAttempt& unneeded : decision->toCancel_) {
    if (unneeded.call_) {
      host_.Http().Cancel(*unneeded.call_);
    }
  }
  if (decision->next_ != NextStep::Retry) {
    Finish(aStart.ticket_,
           aStart.request_,
           MakeEnded(upstream, std::move(aResult), decision->next_));
  }
  DispatchService(spec.service_);
}

std::optional<Dispatcher::Decision>
Dispatcher::Decide(const AttemptStart& aStart,
                   AttemptEnd aEnd,
                   const QuarantineVerdict& aVerdict,
                   HttpResult& aResult)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = host_.Now();
  InFlightRequest& request = *aStart.request_;
  const auto tokens = aEnd == AttemptEnd::Complete
                        ? std::optional(CountTokens(aResult.response_))
                        : std::nullopt;
  ReportToRouter(aStart, aEnd, aResult);
  if (request.answered_ && tokens) {
    hedges_.OnWasted(*tokens);
  }
  if (!RecordAttemptEnd(request, aStart.upstream_->id_, aEnd, now)) {
    return std::nullopt;
  }
  queue_.Complete(aStart.ticket_, tokens, now);
  hedges_.OnDecided(aStart.ticket_, request, tokens, now);
  Decision decision{ ChooseNextStep(request, aEnd, aVerdict, aResult),
                     request.sent_ };
  if (decision.next_ == NextStep::Retry) {
    request.queueSpan_ = StartSpan(request.trace_, "queue");
    queue_.EnqueueFront(aStart.ticket_, request.spec_, now);
  }
  return decision;
}

void
Dispatcher::ReportToRouter(const AttemptStart& aStart,
                           AttemptEnd aEnd,
                           const HttpResult& aResult)
{
  const UpstreamId& upstream = aStart.upstream_->id_;
  const SentAttempt sent = RemoveSent(*aStart.request_, upstream);
  router_.OnDone(upstream,
                 aStart.request_->spec_,
                 { aEnd,
                   aResult.end_ == HttpEnd::TimedOut,
                   aResult.end_ == HttpEnd::Cancelled,
                   sent.at_,
                   CountTokens(aResult.response_) },
                 host_.Now());
}

NextStep
Dispatcher::ChooseNextStep(InFlightRequest& aRequest,
                           AttemptEnd aEnd,
                           const QuarantineVerdict& aVerdict,
                           HttpResult& aResult)
{
  const NextStep next =
    aRequest.attempts_.RecordEnd(aRequest.spec_, aEnd, host_.Now());
  if (next == NextStep::FinishCompleted) {
    retries_.OnSuccess(aRequest.spec_.service_);
  }
  if (next != NextStep::Retry) {
    return next;
  }
  const auto& sink = aRequest.message_.sink_;
  if (sink && sink->IsAbandoned()) {
    return aRequest.attempts_.FinalStep();
  }
  if (!retries_.Take(aRequest.spec_.service_)) {
    host_.Measures().Count("marjoram_retries_refused_total");
    return aRequest.attempts_.FinalStep();
  }
  if (aVerdict.refused_) {
    aResult.message_ = aVerdict.reason_;
    return aRequest.attempts_.FinalStep();
  }
  return next;
}

bool
Dispatcher::FinishIfQuarantined(TicketId aTicket,
                                const InFlightRequestPtr& aRequest)
{
  const QuarantineVerdict verdict = crashGuard_.Check(aRequest->spec_);
  if (!verdict.refused_) {
    return false;
  }
  Finish(aTicket, aRequest, MakeQuarantined(verdict));
  return true;
}

void
Dispatcher::Finish(TicketId aTicket,
                   const InFlightRequestPtr& aRequest,
                   DispatchResult aResult)
{
  {
    const std::lock_guard lock(mutex_);
    requests_.erase(aTicket);
  }
  requestMetrics_.OnFinished(aRequest->spec_.class_,
                             aResult.outcome_,
                             host_.Now() - aRequest->spec_.arrived_);
  aRequest->done_(std::move(aResult));
}

} // namespace marjoramtally
