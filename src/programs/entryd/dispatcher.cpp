#include "programs/entryd/dispatcher.hpp"

#include "programs/entryd/upstream_list.hpp"

namespace marjoramtally {

namespace {

constexpr std::uint32_t kMaxAttempts = 4;
constexpr auto kPumpPeriod = std::chrono::milliseconds(20);

} // namespace

Dispatcher::Dispatcher(Host& aHost)
  : host_(aHost)
  , router_(ZoneId{ aHost.Settings().zone_ },
            std::hash<std::string>{}(aHost.Settings().instance_))
  , crashes_(aHost)
  , reports_(aHost, router_)
  , queue_(router_, crashes_)
  , hedges_(router_, crashes_)
{
}

void
Dispatcher::Start()
{
  crashes_.Start();
  host_.ClusterState().OnRefresh(
    [this](const ClusterViewPtr& aView) { TakeView(aView); });
  reports_.Start();
  host_.TimerQueue().Every(kPumpPeriod, [this] {
    Expire();
    Pump();
    HedgeStragglers();
  });
}

std::size_t
Dispatcher::Unfinished() const
{
  const std::lock_guard lock(mutex_);
  return flights_.size();
}

bool
Dispatcher::KnowsService(const ServiceId& aService) const
{
  return host_.ClusterState().View()->rules_->services_.contains(aService);
}

void
Dispatcher::TakeView(const ClusterViewPtr& aView)
{
  const std::vector<UpstreamView> upstreams = ListUpstreams(*aView->rules_);
  {
    const std::lock_guard lock(mutex_);
    router_.SetUpstreams(upstreams, host_.Now());
    reports_.SetUpstreams(upstreams);
    queue_.TakeLimits(*aView->rules_, upstreams);
  }
  Pump();
}

void
Dispatcher::Submit(RequestSpec aSpec,
                   UpstreamMessage aMessage,
                   TraceContext aTrace,
                   ResponseJudge aJudge,
                   DispatchDone aDone)
{
  Span queueSpan = StartSpan(aTrace, "queue");
  auto flight = std::make_shared<Flight>(Flight{
    std::move(aSpec),
    std::move(aMessage),
    std::move(aJudge),
    std::move(aDone),
    Attempts(kMaxAttempts),
    {},
    std::move(aTrace),
    std::move(queueSpan),
  });
  const TicketId ticket = Open(flight);
  if (FinishIfQuarantined(ticket, flight)) {
    return;
  }
  AdmissionVerdict verdict;
  {
    const std::lock_guard lock(mutex_);
    verdict = queue_.Enqueue(ticket, flight->spec_, host_.Now());
  }
  if (verdict.kind_ != AdmissionVerdict::Kind::Queued) {
    Refuse(ticket, flight, verdict);
    return;
  }
  PumpService(flight->spec_.service_);
}

TicketId
Dispatcher::Open(const FlightPtr& aFlight)
{
  const std::lock_guard lock(mutex_);
  const TicketId ticket{ ++lastTicket_ };
  flights_.emplace(ticket, aFlight);
  return ticket;
}

void
Dispatcher::Refuse(TicketId aTicket,
                   const FlightPtr& aFlight,
                   const AdmissionVerdict& aVerdict)
{
  const bool full = aVerdict.kind_ == AdmissionVerdict::Kind::QueueFull;
  host_.Measures().Count("marjoram_refused_total{reason=\"" +
                         std::string(full ? "queue_full" : "would_be_late") +
                         "\",class=\"" +
                         std::string(ToString(aFlight->spec_.class_)) + "\"}");
  Finish(aTicket, aFlight, MakeRefused(aVerdict));
}

void
Dispatcher::Expire()
{
  std::vector<ExpiredRequest> expired;
  {
    const std::lock_guard lock(mutex_);
    expired = queue_.TakeExpired(flights_, host_.Now());
  }
  for (const auto& [ticket, flight, wait] : expired) {
    Finish(ticket, flight, MakeExpired(wait, flight->attempts_.FinalStep()));
  }
}

void
Dispatcher::Pump()
{
  std::vector<ServiceId> services;
  {
    const std::lock_guard lock(mutex_);
    services = queue_.Waiting();
  }
  for (const ServiceId& service : services) {
    PumpService(service);
  }
}

void
Dispatcher::PumpService(const ServiceId& aService)
{
  std::vector<AttemptStart> starts;
  {
    const std::lock_guard lock(mutex_);
    starts = queue_.PickStarts(aService, flights_, host_.Now());
    RecordStarts(starts);
  }
  for (const AttemptStart& start : starts) {
    host_.Traces().End(start.flight_->queueSpan_);
    SendAttempt(start);
  }
}

void
Dispatcher::HedgeStragglers()
{
  std::vector<AttemptStart> hedges;
  {
    const std::lock_guard lock(mutex_);
    // Capacity is idle only while nothing waits for it.
    hedges = hedges_.Review(flights_, queue_.empty(), host_.Now());
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
  const Flight& flight = *aStart.flight_;
  Span span = StartSpan(flight.trace_, "upstream");
  span.attributes_["upstream"] = aStart.upstream_->id_.Get();
  HttpCall call =
    MakeCall(flight, *aStart.upstream_, span.context_, host_.Now());
  const auto sink = flight.message_.sink_;
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
    Flight& flight = *start.flight_;
    flight.sent_.push_back({ start.upstream_->id_, now, std::nullopt });
    hedges_.OnStarted(
      start.ticket_, flight, queue_.ExpectedTokens(flight.spec_), now);
  }
}

void
Dispatcher::RecordCall(const AttemptStart& aStart, HttpCallId aCall)
{
  const std::lock_guard lock(mutex_);
  for (SentAttempt& sent : aStart.flight_->sent_) {
    if (sent.upstream_ == aStart.upstream_->id_) {
      sent.call_ = aCall;
    }
  }
}

void
Dispatcher::EndAttempt(const AttemptStart& aStart, HttpResult aResult)
{
  const RequestSpec& spec = aStart.flight_->spec_;
  const UpstreamId& upstream = aStart.upstream_->id_;
  const AttemptEnd end = JudgeAttempt(*aStart.flight_, aResult);
  crashes_.OnEnd(spec, upstream, aResult.end_, end);
  const auto decision = Decide(aStart, end, crashes_.Judge(spec), aResult);
  if (!decision) {
    return;
  }
  for (const SentAttempt& loser : decision->losers_) {
    if (loser.call_) {
      host_.Http().Cancel(*loser.call_);
    }
  }
  if (decision->next_ != NextStep::Retry) {
    Finish(aStart.ticket_,
           aStart.flight_,
           MakeEnded(upstream, std::move(aResult), decision->next_));
  }
  PumpService(spec.service_);
}

std::optional<Dispatcher::Decision>
Dispatcher::Decide(const AttemptStart& aStart,
                   AttemptEnd aEnd,
                   const QuarantineVerdict& aVerdict,
                   HttpResult& aResult)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = host_.Now();
  Flight& flight = *aStart.flight_;
  const auto tokens = aEnd == AttemptEnd::Complete
                        ? std::optional(CountTokens(aResult.response_))
                        : std::nullopt;
  TellRouter(aStart, aEnd, aResult);
  if (flight.won_ && tokens) {
    hedges_.OnWasted(*tokens);
  }
  if (!Decides(flight, aStart.upstream_->id_, aEnd, now)) {
    return std::nullopt;
  }
  queue_.Complete(aStart.ticket_, tokens, now);
  hedges_.OnDecided(aStart.ticket_, flight, tokens, now);
  Decision decision{ NextAfter(flight, aEnd, aVerdict, aResult), flight.sent_ };
  if (decision.next_ == NextStep::Retry) {
    flight.queueSpan_ = StartSpan(flight.trace_, "queue");
    queue_.EnqueueFront(aStart.ticket_, flight.spec_, now);
  }
  return decision;
}

void
Dispatcher::TellRouter(const AttemptStart& aStart,
                       AttemptEnd aEnd,
                       const HttpResult& aResult)
{
  const UpstreamId& upstream = aStart.upstream_->id_;
  const SentAttempt sent = TakeSent(*aStart.flight_, upstream);
  router_.OnDone(upstream,
                 aStart.flight_->spec_,
                 { aEnd,
                   aResult.end_ == HttpEnd::TimedOut,
                   aResult.end_ == HttpEnd::Cancelled,
                   sent.at_,
                   CountTokens(aResult.response_) },
                 host_.Now());
}

NextStep
Dispatcher::NextAfter(Flight& aFlight,
                      AttemptEnd aEnd,
                      const QuarantineVerdict& aVerdict,
                      HttpResult& aResult)
{
  const NextStep next =
    aFlight.attempts_.RecordEnd(aFlight.spec_, aEnd, host_.Now());
  if (next == NextStep::FinishCompleted) {
    retries_.OnSuccess(aFlight.spec_.service_);
  }
  if (next != NextStep::Retry) {
    return next;
  }
  const auto& sink = aFlight.message_.sink_;
  if (sink && sink->GivenUp()) {
    return aFlight.attempts_.FinalStep();
  }
  if (!retries_.Take(aFlight.spec_.service_)) {
    host_.Measures().Count("marjoram_retries_refused_total");
    return aFlight.attempts_.FinalStep();
  }
  if (aVerdict.refused_) {
    aResult.message_ = aVerdict.reason_;
    return aFlight.attempts_.FinalStep();
  }
  return next;
}

bool
Dispatcher::FinishIfQuarantined(TicketId aTicket, const FlightPtr& aFlight)
{
  const QuarantineVerdict verdict = crashes_.Judge(aFlight->spec_);
  if (!verdict.refused_) {
    return false;
  }
  Finish(aTicket, aFlight, MakeQuarantined(verdict));
  return true;
}

void
Dispatcher::Finish(TicketId aTicket,
                   const FlightPtr& aFlight,
                   DispatchResult aResult)
{
  {
    const std::lock_guard lock(mutex_);
    flights_.erase(aTicket);
  }
  measures_.Finished(aFlight->spec_.class_,
                     aResult.outcome_,
                     host_.Now() - aFlight->spec_.arrived_);
  aFlight->done_(std::move(aResult));
}

} // namespace marjoramtally
