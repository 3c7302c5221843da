#include "programs/entryd/dispatcher.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

/// Members of groups sent a second time in one review.
constexpr std::size_t kHedgesPerReview = 4;
constexpr std::uint32_t kMaxAttempts = 4;
constexpr auto kReportPeriod = std::chrono::milliseconds(50);
constexpr auto kReportTimeout = std::chrono::seconds(1);
constexpr auto kPumpPeriod = std::chrono::milliseconds(20);
/// Attempts without a caller's deadline end after this long.
constexpr auto kLongestAttempt = std::chrono::minutes(30);

AttemptEnd
JudgeAttempt(const HttpResult& aResult, const ResponseJudge& aJudge)
{
  if (aResult.end_ == HttpEnd::Whole) {
    return aJudge(aResult.response_);
  }
  return aResult.end_ == HttpEnd::NotSent ? AttemptEnd::NotRun
                                          : AttemptEnd::MaybeRun;
}

/// @returns tokens that a completion says it generated; 0 if it is none
std::uint64_t
CountTokens(const HttpResponse& aResponse)
{
  constexpr std::string_view kKey = "\"completion_tokens\":";
  const std::size_t at = aResponse.body_.rfind(kKey);
  if (at == std::string::npos) {
    return 0;
  }
  std::uint64_t tokens = 0;
  const char* begin = aResponse.body_.data() + at + kKey.size();
  std::from_chars(
    begin, aResponse.body_.data() + aResponse.body_.size(), tokens);
  return tokens;
}

Duration
WholeMillis(Duration aDuration)
{
  return std::chrono::floor<std::chrono::milliseconds>(aDuration);
}

Result<UpstreamReport>
ParseReport(const std::string& aBody)
{
  try {
    const auto body = nlohmann::json::parse(aBody);
    UpstreamReport report;
    report.running_ = body.at("running").get<std::uint64_t>();
    report.queued_ = body.at("queued").get<std::uint64_t>();
    for (const auto& [model, version] : body.at("models").items()) {
      report.models_[model] = WeightVersion{ version.get<std::uint64_t>() };
    }
    report.leaving_ = body.value("leaving", false);
    report.incarnation_ = body.value("incarnation", std::uint64_t{ 0 });
    return report;
  } catch (const nlohmann::json::exception& failure) {
    return Error{ ErrorKind::BadInput, failure.what() };
  }
}

} // namespace

Dispatcher::Dispatcher(Host& aHost)
  : host_(aHost)
  , router_(ZoneId{ aHost.Settings().zone_ },
            std::hash<std::string>{}(aHost.Settings().instance_))
  , polls_(ZoneId{ aHost.Settings().zone_ }, aHost.Settings().instance_)
  , crashes_(aHost)
{
}

void
Dispatcher::Start()
{
  crashes_.Start();
  host_.Members().OnRefresh(
    [this](const ClusterViewPtr& aView) { TakeView(aView); });
  host_.Clockwork().Every(kReportPeriod, [this] { PollReports(); });
  host_.Clockwork().Every(kPumpPeriod, [this] {
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
  return host_.Members().View()->rules_->services_.contains(aService);
}

void
Dispatcher::TakeView(const ClusterViewPtr& aView)
{
  std::vector<UpstreamView> upstreams;
  for (const auto& [id, rule] : aView->rules_->upstreams_) {
    UpstreamView view;
    view.id_ = id;
    view.service_ = ServiceId{ rule.service_ };
    view.zone_ = ZoneId{ rule.zone_ };
    view.address_ = rule.address_;
    view.leaving_ = rule.leaving_;
    view.limit_ = aView->rules_->services_.at(view.service_).upstreamLimit_;
    upstreams.push_back(std::move(view));
  }
  {
    const std::lock_guard lock(mutex_);
    router_.SetUpstreams(upstreams, host_.Now());
    polls_.SetUpstreams(upstreams, host_.Now());
    TakeLimits(*aView->rules_, upstreams);
  }
  Pump();
}

void
Dispatcher::TakeLimits(const Rules& aRules,
                       const std::vector<UpstreamView>& aUpstreams)
{
  admission_.SetClasses(aRules.classes_);
  for (const auto& [id, trainer] : aRules.trainers_) {
    admission_.SetWeight(ServiceId{ trainer.service_ }, id, trainer.weight_);
  }
  std::map<ServiceId, std::uint64_t> slots;
  for (const UpstreamView& upstream : aUpstreams) {
    slots[upstream.service_] += upstream.leaving_ ? 0 : upstream.limit_;
  }
  for (const auto& [service, count] : slots) {
    admission_.SetCapacity(service, count);
  }
}

void
Dispatcher::PollReports()
{
  std::vector<UpstreamView> upstreams;
  {
    const std::lock_guard lock(mutex_);
    upstreams = polls_.Due(host_.Now());
  }
  router_.Refresh(host_.Now());
  for (const UpstreamView& upstream : upstreams) {
    PollReport(upstream);
  }
}

void
Dispatcher::PollReport(const UpstreamView& aUpstream)
{
  HttpCall call;
  call.url_ = "http://" + aUpstream.address_ + "/load";
  call.timeout_ = kReportTimeout;
  host_.Http().Send(std::move(call),
                    [this, id = aUpstream.id_](const HttpResult& aResult) {
                      if (aResult.end_ != HttpEnd::Whole) {
                        return;
                      }
                      auto report = ParseReport(aResult.response_.body_);
                      if (!report) {
                        LogEvent(LogLevel::Warn,
                                 "report_unreadable",
                                 { { "upstream", id.Get() },
                                   { "error", report.error().message_ } });
                        return;
                      }
                      report.value().at_ = host_.Now();
                      router_.OnReport(id, report.value(), host_.Now());
                    });
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
  AdmissionVerdict verdict;
  TicketId ticket;
  {
    const std::lock_guard lock(mutex_);
    ticket = TicketId{ ++lastTicket_ };
    flights_.emplace(ticket, flight);
  }
  if (FinishIfQuarantined(ticket, flight)) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    verdict = admission_.Enqueue({ ticket, flight->spec_ }, host_.Now());
  }
  if (verdict.kind_ != AdmissionVerdict::Kind::Queued) {
    Refuse(ticket, flight, verdict);
    return;
  }
  PumpService(flight->spec_.service_);
}

void
Dispatcher::Refuse(TicketId aTicket,
                   const FlightPtr& aFlight,
                   const AdmissionVerdict& aVerdict)
{
  DispatchResult refused;
  const bool full = aVerdict.kind_ == AdmissionVerdict::Kind::QueueFull;
  refused.late_ = !full;
  refused.retryAfter_ = aVerdict.retryAfter_;
  refused.reason_ = full ? "the queue of its class is full"
                         : "it would miss its deadline: the expected wait is " +
                             FormatDuration(aVerdict.wait_);
  host_.Measures().Count("marjoram_refused_total{reason=\"" +
                         std::string(full ? "queue_full" : "would_be_late") +
                         "\",class=\"" +
                         std::string(ToString(aFlight->spec_.class_)) + "\"}");
  Finish(aTicket, aFlight, std::move(refused));
}

void
Dispatcher::Pump()
{
  std::vector<ServiceId> services;
  {
    const std::lock_guard lock(mutex_);
    services = admission_.Waiting();
  }
  for (const ServiceId& service : services) {
    PumpService(service);
  }
}

void
Dispatcher::PumpService(const ServiceId& aService)
{
  struct Start
  {
    TicketId ticket_;
    FlightPtr flight_;
    UpstreamView upstream_;
  };
  std::vector<Start> starts;
  std::vector<QueuedRequest> suspects;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = host_.Now();
    admission_.Resume(aService);
    while (const QueuedRequest* queued = admission_.Next(aService, now)) {
      const TicketId ticket = queued->ticket_;
      const FlightPtr flight = flights_.at(ticket);
      const auto upstream = router_.Pick(
        queued->spec_, crashes_.Avoid(queued->spec_, flight->tried_), now);
      if (!upstream) {
        admission_.Stall(ticket);
        continue;
      }
      if (!crashes_.TryStart(queued->spec_, upstream->id_)) {
        // A suspect waits for its turn alone and holds up nobody.
        suspects.push_back(*queued);
        admission_.Remove(ticket);
        continue;
      }
      router_.OnSent(upstream->id_, queued->spec_, now);
      admission_.Dispatch(ticket, now);
      starts.push_back({ ticket, flight, *upstream });
    }
    for (QueuedRequest& suspect : suspects) {
      admission_.EnqueueFront(std::move(suspect), now);
    }
  }
  for (const Start& start : starts) {
    SendAttempt(start.ticket_, start.flight_, start.upstream_);
  }
}

void
Dispatcher::Expire()
{
  struct Expired
  {
    TicketId ticket_;
    FlightPtr flight_;
    Duration wait_;
  };
  std::vector<Expired> expired;
  {
    const std::lock_guard lock(mutex_);
    for (const QueuedRequest& request : admission_.Expire(host_.Now())) {
      expired.push_back({ request.ticket_,
                          flights_.at(request.ticket_),
                          admission_.ExpectedWait(request.spec_) });
    }
  }
  for (const auto& [ticket, flight, wait] : expired) {
    DispatchResult result;
    result.late_ = true;
    result.retryAfter_ = wait;
    result.reason_ = "the queue left too little time before its deadline";
    result.outcome_ = flight->attempts_.GiveUp() == NextStep::FinishUnknown
                        ? Outcome::Unknown
                        : Outcome::RefusedNotRun;
    Finish(ticket, flight, std::move(result));
  }
}

void
Dispatcher::SendAttempt(TicketId aTicket,
                        const FlightPtr& aFlight,
                        const UpstreamView& aUpstream)
{
  host_.Traces().End(aFlight->queueSpan_);
  {
    const std::lock_guard lock(mutex_);
    aFlight->sent_.push_back({ aUpstream.id_, host_.Now(), std::nullopt });
    if (aFlight->spec_.class_ == RequestClass::Trainer &&
        aFlight->sent_.size() == 1) {
      stragglers_.OnStarted(
        { aTicket, 0, admission_.ExpectedTokens(aFlight->spec_), false },
        host_.Now());
    }
  }
  Span span = StartSpan(aFlight->trace_, "upstream");
  span.attributes_["upstream"] = aUpstream.id_.Get();
  HttpCall call;
  call.method_ = aFlight->message_.method_;
  call.url_ = "http://" + aUpstream.address_ + aFlight->message_.target_;
  call.headers_ = aFlight->message_.headers_;
  call.headers_.push_back({ "traceparent", span.context_.Format() });
  call.body_ = aFlight->message_.body_;
  call.atMostOnce_ = !aFlight->spec_.idempotent_;
  const Duration left = aFlight->spec_.deadline_ == kNever
                          ? Duration(kLongestAttempt)
                          : aFlight->spec_.deadline_ - host_.Now();
  call.timeout_ = std::max<Duration>(left, std::chrono::milliseconds(1));
  call.headers_.push_back({ std::string(kDeadlineHeader),
                            FormatDuration(WholeMillis(call.timeout_)) });
  const auto sink = aFlight->message_.sink_;
  if (sink) {
    sink->Prepare(call);
  }
  const HttpCallId id = host_.Http().Send(
    std::move(call),
    [this, aTicket, aFlight, aUpstream, span](HttpResult aResult) mutable {
      host_.Traces().End(std::move(span));
      EndAttempt(aTicket, aFlight, aUpstream, std::move(aResult));
    });
  if (sink) {
    sink->OnSent(id);
  }
  const std::lock_guard lock(mutex_);
  for (Sent& sent : aFlight->sent_) {
    if (sent.upstream_ == aUpstream.id_) {
      sent.call_ = id;
    }
  }
}

void
Dispatcher::HedgeStragglers()
{
  struct Hedge
  {
    TicketId ticket_;
    FlightPtr flight_;
    UpstreamPtr upstream_;
  };
  std::vector<Hedge> hedges;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = host_.Now();
    // Capacity is idle only while nothing waits for it.
    const std::size_t idle = admission_.size() == 0 ? kHedgesPerReview : 0;
    for (const StragglerAction& late : stragglers_.Review(now, idle)) {
      const auto flight = flights_.find(late.ticket_);
      if (flight == flights_.end() || flight->second->sent_.size() != 1 ||
          !flight->second->spec_.idempotent_ ||
          flight->second->message_.sink_) {
        continue;
      }
      const RequestSpec& spec = flight->second->spec_;
      const UpstreamId& slow = flight->second->sent_.front().upstream_;
      std::vector<UpstreamId> avoid = flight->second->tried_;
      avoid.push_back(slow);
      const UpstreamPtr upstream =
        router_.Pick(spec, crashes_.Avoid(spec, avoid), now);
      if (!upstream || upstream->id_ == slow ||
          !crashes_.TryStart(spec, upstream->id_)) {
        continue;
      }
      router_.OnSent(upstream->id_, spec, now);
      hedges.push_back({ late.ticket_, flight->second, upstream });
    }
  }
  for (const Hedge& hedge : hedges) {
    host_.Measures().Count("marjoram_hedges_total");
    SendAttempt(hedge.ticket_, hedge.flight_, *hedge.upstream_);
  }
}

Dispatcher::Sent
Dispatcher::TakeSent(Flight& aFlight, const UpstreamId& aUpstream)
{
  for (auto it = aFlight.sent_.begin(); it != aFlight.sent_.end(); ++it) {
    if (it->upstream_ == aUpstream) {
      Sent sent = std::move(*it);
      aFlight.sent_.erase(it);
      return sent;
    }
  }
  return {};
}

bool
Dispatcher::Decides(Flight& aFlight,
                    const UpstreamId& aUpstream,
                    const HttpResult& aResult,
                    AttemptEnd aEnd)
{
  const Sent sent = TakeSent(aFlight, aUpstream);
  const std::uint64_t tokens = CountTokens(aResult.response_);
  router_.OnDone(aUpstream,
                 aFlight.spec_,
                 { aEnd,
                   aResult.end_ == HttpEnd::TimedOut,
                   aResult.end_ == HttpEnd::Cancelled,
                   sent.at_,
                   tokens },
                 host_.Now());
  if (aFlight.won_) {
    if (aEnd == AttemptEnd::Whole) {
      stragglers_.OnWasted(static_cast<double>(tokens));
    }
    return false;
  }
  aFlight.tried_.push_back(aUpstream);
  aFlight.won_ = aEnd == AttemptEnd::Whole;
  if (!aFlight.won_ && !aFlight.sent_.empty()) {
    // The other attempt goes on; this one counts as made.
    static_cast<void>(
      aFlight.attempts_.After(aFlight.spec_, aEnd, host_.Now()));
    return false;
  }
  return true;
}

void
Dispatcher::EndAttempt(TicketId aTicket,
                       const FlightPtr& aFlight,
                       const UpstreamView& aUpstream,
                       HttpResult aResult)
{
  const auto& sink = aFlight->message_.sink_;
  const AttemptEnd end =
    sink ? sink->Judge(aResult) : JudgeAttempt(aResult, aFlight->judge_);
  const ServiceId service = aFlight->spec_.service_;
  const auto tokens = end == AttemptEnd::Whole
                        ? std::optional(CountTokens(aResult.response_))
                        : std::nullopt;
  NextStep next = NextStep::Retry;
  crashes_.OnEnd(aFlight->spec_, aUpstream.id_, aResult.end_, end);
  const QuarantineVerdict verdict = crashes_.Judge(aFlight->spec_);
  std::vector<Sent> losers;
  {
    const std::lock_guard lock(mutex_);
    if (!Decides(*aFlight, aUpstream.id_, aResult, end)) {
      return;
    }
    losers = aFlight->sent_;
    for (const Sent& loser : losers) {
      stragglers_.OnWasted(stragglers_.TokensIn(host_.Now() - loser.at_));
    }
    admission_.Complete(aTicket, tokens, host_.Now());
    stragglers_.OnEnded(aTicket,
                        tokens ? std::optional(static_cast<double>(*tokens))
                               : std::nullopt,
                        host_.Now());
    next = NextAfter(*aFlight, end);
    if (next == NextStep::Retry && verdict.refused_) {
      next = aFlight->attempts_.GiveUp();
      aResult.message_ = verdict.reason_;
    }
    if (next == NextStep::Retry) {
      aFlight->queueSpan_ = StartSpan(aFlight->trace_, "queue");
      admission_.EnqueueFront({ aTicket, aFlight->spec_ }, host_.Now());
    }
  }
  for (const Sent& loser : losers) {
    if (loser.call_) {
      host_.Http().Cancel(*loser.call_);
    }
  }
  if (next != NextStep::Retry) {
    DispatchResult result;
    result.upstream_ = aUpstream.id_;
    result.late_ = aResult.end_ == HttpEnd::TimedOut;
    result.reason_ = aResult.message_;
    result.response_ = std::move(aResult.response_);
    result.outcome_ = next == NextStep::FinishCompleted ? Outcome::Completed
                      : next == NextStep::FinishUnknown
                        ? Outcome::Unknown
                        : Outcome::RefusedNotRun;
    Finish(aTicket, aFlight, std::move(result));
  }
  PumpService(service);
}

NextStep
Dispatcher::NextAfter(Flight& aFlight, AttemptEnd aEnd)
{
  const NextStep next =
    aFlight.attempts_.After(aFlight.spec_, aEnd, host_.Now());
  if (next == NextStep::FinishCompleted) {
    retries_.OnSuccess(aFlight.spec_.service_);
  }
  const auto& sink = aFlight.message_.sink_;
  if (next == NextStep::Retry && sink && sink->GivenUp()) {
    return aFlight.attempts_.GiveUp();
  }
  if (next == NextStep::Retry && !retries_.Take(aFlight.spec_.service_)) {
    host_.Measures().Count("marjoram_retries_refused_total");
    return aFlight.attempts_.GiveUp();
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
  DispatchResult refused;
  refused.reason_ = verdict.reason_;
  refused.retryAfter_ = verdict.retryAfter_;
  Finish(aTicket, aFlight, std::move(refused));
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
