#include "programs/gatewayd/forwarder.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

namespace {

/// Share of the objective after which an idempotent request is sent to
/// another upstream.
constexpr double kPatienceShare = 0.7;
constexpr auto kLeastPatience = std::chrono::milliseconds(80);
/// Patience grows by this factor with each attempt that was cut short: what
/// takes long at one upstream is likelier long by itself than unlucky twice.
/// With equal patience a scoring call of 0.6 s and more was cut at each of 20
/// attempts over 25 s, and its trainer's step lost.
constexpr std::int64_t kPatienceGrowth = 3;
/// Less time than this is not worth an attempt.
constexpr auto kLeastAttempt = std::chrono::milliseconds(15);
constexpr std::string_view kTimeIsOver = "the time limit passed";
constexpr std::string_view kCrashesUpstreams =
  "quarantined: upstreams crashed each time while they ran this request";

} // namespace

Forwarder::Forwarder(GatewayContext& aHost, UpstreamTable& aTable)
  : host_(aHost)
  , upstreamTable_(aTable)
  , crashes_(aHost)
{
}

ForwardId
Forwarder::Start(ForwardRequest aRequest, ForwardDone aDone)
{
  const ForwardId id = ++last_;
  Flight& flight = flights_[id];
  flight.request_ = std::move(aRequest);
  flight.done_ = std::move(aDone);
  flight.started_ = host_.Now();
  flight.fingerprint_ =
    FingerprintOf(flight.request_.method_,
                  FindHeader(flight.request_.headers_, "Host").value_or(""),
                  flight.request_.target_,
                  flight.request_.body_);
  if (flight.request_.reply_) {
    flight.stream_ = MakeStream(flight.request_);
  }
  flight.limitTimer_ =
    host_.Timers().After(flight.request_.limit_, [this, id] { OnLimit(id); });
  SendNext(id);
  return id;
}

void
Forwarder::Cancel(ForwardId aId)
{
  const auto it = flights_.find(aId);
  if (it == flights_.end()) {
    return;
  }
  if (it->second.inFlight_) {
    NoteBegun(it->second, it->second.sent_);
  }
  CountUse(it->second);
  Abandon(it->second);
  host_.Timers().Cancel(it->second.limitTimer_);
  LogEvent(LogLevel::Info,
           "request_abandoned",
           { { "id", it->second.request_.attempt_ },
             { "upstream", it->second.upstream_.Get() } });
  flights_.erase(it);
}

void
Forwarder::OnUpstreamRestarted(const UpstreamId& aUpstream)
{
  std::vector<ForwardId> lost;
  for (const auto& [id, flight] : flights_) {
    if (flight.inFlight_ && flight.upstream_ == aUpstream &&
        host_.Now() - LastHeard(flight) >= Duration{ kRestartIdleTime }) {
      lost.push_back(id);
    }
  }
  for (const ForwardId id : lost) {
    const auto it = flights_.find(id);
    if (it == flights_.end()) {
      // The end of another has cancelled it.
      continue;
    }
    Flight& flight = it->second;
    LogEvent(LogLevel::Info,
             "attempt_lost",
             { { "id", flight.request_.attempt_ },
               { "upstream", aUpstream.Get() },
               { "why", "the upstream has started again" } });
    ++flight.ran_;
    NoteBegun(flight, flight.sent_);
    Abandon(flight, CallEnd::Broken);
    SendNext(id);
  }
}

Duration
Forwarder::Left(const Flight& aFlight) const
{
  return aFlight.started_ + aFlight.request_.limit_ - host_.Now();
}

bool
Forwarder::Repeatable(const Flight& aFlight) noexcept
{
  const ForwardRequest& request = aFlight.request_;
  return request.kind_ == RouteKind::Idempotent ||
         (aFlight.stream_ && request.resumable_ &&
          aFlight.stream_->relay_.CanResume());
}

bool
Forwarder::MayRetry(const Flight& aFlight) const
{
  return (aFlight.ran_ == 0 || Repeatable(aFlight)) &&
         aFlight.ran_ < aFlight.request_.maxAttempts_ &&
         Left(aFlight) > kLeastAttempt;
}

Forwarder::Flight*
Forwarder::Present(ForwardId aId, std::uint32_t aAttempt)
{
  const auto it = flights_.find(aId);
  const bool present = it != flights_.end() && it->second.attempt_ == aAttempt;
  return present ? &it->second : nullptr;
}

const TrackedUpstream*
Forwarder::PickFor(const Flight& aFlight) const
{
  const ServiceId& service = aFlight.request_.service_;
  const auto avoid = crashes_.Avoid(aFlight.fingerprint_);
  if (!avoid.empty()) {
    std::set<UpstreamId> excluded = aFlight.tried_;
    excluded.insert(avoid.begin(), avoid.end());
    const TrackedUpstream* apart =
      upstreamTable_.Pick(service, excluded, host_.Now());
    if (apart != nullptr && apart->removedAt_ == kNever &&
        apart->avoidUntil_ <= host_.Now()) {
      return apart;
    }
  }
  return upstreamTable_.Pick(service, aFlight.tried_, host_.Now());
}

void
Forwarder::SendNext(ForwardId aId)
{
  Flight& flight = flights_.at(aId);
  const QuarantineVerdict verdict = crashes_.Judge(flight.fingerprint_);
  if (verdict.refused_ && flight.ran_ == 0) {
    GiveUp(aId, 503, verdict.reason_, verdict.retryAfter_);
    return;
  }
  if (verdict.refused_) {
    GiveUp(aId, 502, kCrashesUpstreams);
    return;
  }
  const TrackedUpstream* upstream = PickFor(flight);
  if (upstream == nullptr || !MayRetry(flight)) {
    if (flight.failure_ && !Begun(flight)) {
      Finish(aId, { std::move(*flight.failure_), true });
    } else if (flight.ran_ == 0) {
      GiveUp(aId, 503, upstream == nullptr ? "no upstream" : "no time left");
    } else if (Left(flight) <= kLeastAttempt) {
      GiveUp(aId, 504, kTimeIsOver);
    } else {
      GiveUp(aId, 502, "no upstream gave a whole answer");
    }
    return;
  }
  Send(aId, flight, *upstream);
}

HttpCall
Forwarder::MakeCall(const Flight& aFlight, const UpstreamEntry& aUpstream) const
{
  const WireNames& names = host_.Formats().Names();
  const ForwardRequest& request = aFlight.request_;
  HttpCall call;
  call.method_ = request.method_;
  call.url_ = "http://" + aUpstream.address_ + request.target_;
  call.headers_ = request.headers_;
  call.headers_.push_back(
    { names.deadline_, std::to_string(WholeMillis(Left(aFlight))) });
  call.headers_.push_back({ names.expectUpstream_, aUpstream.id_.Get() });
  call.body_ = request.body_;
  call.timeout_ = Left(aFlight);
  call.connectTimeout_ =
    std::min<Duration>(kUpstreamConnectTimeout, call.timeout_);
  call.atMostOnce_ = !Repeatable(aFlight);
  // What tells a late second answer apart is the id. Where there is none, or
  // where it went out before and its failure may come twice, the connection
  // must be one that brought nothing yet.
  call.newConnection_ = request.failedBefore_ || request.attempt_.empty();
  return call;
}

void
Forwarder::Send(ForwardId aId,
                Flight& aFlight,
                const TrackedUpstream& aUpstream)
{
  aFlight.upstream_ = aUpstream.entry_.id_;
  aFlight.sent_ = host_.Now();
  aFlight.tried_.insert(aFlight.upstream_);
  aFlight.inFlight_ = true;
  aFlight.doubt_ = {};
  const std::uint32_t attempt = ++aFlight.attempt_;
  upstreamTable_.OnStart(aFlight.upstream_, host_.Now());
  crashes_.OnSent(aFlight.fingerprint_, aFlight.upstream_);
  LogEvent(LogLevel::Debug,
           "attempt_sent",
           { { "id", aFlight.request_.attempt_ },
             { "upstream", aFlight.upstream_.Get() },
             { "left_ms", std::to_string(WholeMillis(Left(aFlight))) } });
  HttpCall call = MakeCall(aFlight, aUpstream.entry_);
  call.onHead_ = [this, aId, attempt](int aStatus,
                                      const HttpHeaders& aHeaders) {
    Flight* flight = Present(aId, attempt);
    return flight != nullptr && OnHead(*flight, aStatus, aHeaders);
  };
  if (aFlight.stream_) {
    PrepareStream(aId, aFlight, call);
  }
  aFlight.call_ = host_.Client().Send(
    std::move(call), [this, aId, attempt](HttpResult aResult) {
      OnResult(aId, attempt, std::move(aResult));
    });
  const Duration patience = PatienceOf(aFlight);
  if (aFlight.request_.kind_ == RouteKind::Idempotent &&
      aFlight.ran_ + 1 < aFlight.request_.maxAttempts_) {
    aFlight.patienceTimer_ =
      host_.Timers().After(patience, [this, aId] { OnPatienceOver(aId); });
  }
}

Duration
Forwarder::PatienceOf(const Flight& aFlight)
{
  const auto objective =
    static_cast<double>(aFlight.request_.objective_.count());
  Duration patience = std::max<Duration>(
    kLeastPatience,
    Duration{ static_cast<std::int64_t>(kPatienceShare * objective) });
  for (std::uint32_t i = 0; i < aFlight.cutShort_; ++i) {
    patience *= kPatienceGrowth;
  }
  return std::min(patience, aFlight.request_.limit_);
}

void
Forwarder::EndAttempt(Flight& aFlight, CallVerdict aVerdict, CallEnd aEnd)
{
  host_.Timers().Cancel(aFlight.patienceTimer_);
  if (!aFlight.inFlight_) {
    return;
  }
  aFlight.inFlight_ = false;
  ++aFlight.attempt_;
  upstreamTable_.OnEnd(aFlight.upstream_, aVerdict, host_.Now());
  const bool answered = aVerdict == CallVerdict::Answered;
  crashes_.OnEnd(aFlight.fingerprint_,
                 aFlight.upstream_,
                 answered ? CallEnd::Answered : aEnd);
}

void
Forwarder::Abandon(Flight& aFlight, CallEnd aEnd)
{
  if (aFlight.inFlight_) {
    host_.Client().Cancel(aFlight.call_);
  }
  EndAttempt(aFlight, CallVerdict::Abandoned, aEnd);
}

/// Which request an answer names and which connection brought it: where answers
/// come in the wrong place, this tells whose they are.
void
Forwarder::LogEnd(const Flight& aFlight, const HttpResult& aResult) const
{
  const HttpResponse& head =
    aFlight.stream_ ? aFlight.stream_->head_ : aResult.response_;
  const auto echo = FindHeader(head.headers_, host_.Formats().Names().attempt_);
  LogEvent(LogLevel::Debug,
           "attempt_ended",
           { { "id", aFlight.request_.attempt_ },
             { "upstream", aFlight.upstream_.Get() },
             { "whole", aResult.end_ == HttpEnd::Whole ? "yes" : "no" },
             { "status", std::to_string(head.status_) },
             { "names", std::string(echo.value_or("nothing")) },
             { "port", std::to_string(aResult.localPort_) },
             { "first_on_connection", aResult.opened_ ? "yes" : "no" } });
}

void
Forwarder::OnResult(ForwardId aId, std::uint32_t aAttempt, HttpResult aResult)
{
  Flight* flight = Present(aId, aAttempt);
  if (flight == nullptr) {
    return;
  }
  LogEnd(*flight, aResult);
  if (aResult.opened_) {
    host_.Measures().Count("upstream_connections_total{for=\"calls\"}");
  }
  if (!flight->doubt_.empty()) {
    OnDoubted(aId, *flight, aResult);
  } else if (flight->stream_) {
    OnStreamEnd(aId, *flight, std::move(aResult));
  } else if (aResult.end_ == HttpEnd::Whole) {
    OnAnswer(aId, *flight, std::move(aResult.response_));
  } else {
    OnAttemptFailed(aId, *flight, aResult.end_, aResult.message_);
  }
}

void
Forwarder::OnAttemptFailed(ForwardId aId,
                           Flight& aFlight,
                           HttpEnd aEnd,
                           const std::string& aWhy)
{
  LogEvent(LogLevel::Info,
           "attempt_failed",
           { { "id", aFlight.request_.attempt_ },
             { "upstream", aFlight.upstream_.Get() },
             { "sent", aEnd == HttpEnd::NotSent ? "no" : "yes" },
             { "error", aWhy } });
  if (aEnd != HttpEnd::NotSent) {
    ++aFlight.ran_;
    NoteBegun(aFlight, aFlight.sent_);
  }
  EndAttempt(aFlight,
             CallVerdict::Failed,
             aEnd == HttpEnd::Broken ? CallEnd::Broken : CallEnd::Other);
  SendNext(aId);
}

std::string_view
Forwarder::Doubt(const Flight& aFlight, const HttpResponse& aHead) const
{
  const WireNames& names = host_.Formats().Names();
  const auto echo = FindHeader(aHead.headers_, names.attempt_);
  // Upstreams name the request in every answer of theirs. A second answer to
  // an earlier call of the connection may come late and without an id; taken
  // for this request's it gave callers and trainers another run's signature.
  if (echo.value_or("") != aFlight.request_.attempt_) {
    return echo ? "belongs to another request" : "does not name the request";
  }
  const bool success = aHead.status_ >= 200 && aHead.status_ < 300;
  const bool proven = FindHeader(aHead.headers_, names.signature_).has_value();
  return success && !proven ? "not signed" : "";
}

bool
Forwarder::OnHead(Flight& aFlight, int aStatus, const HttpHeaders& aHeaders)
{
  HttpResponse head{ aStatus, aHeaders, {} };
  aFlight.doubt_ = Doubt(aFlight, head);
  if (aFlight.stream_) {
    TakeHead(aFlight, std::move(head));
  }
  return aFlight.doubt_.empty();
}

void
Forwarder::OnDoubted(ForwardId aId, Flight& aFlight, const HttpResult& aResult)
{
  LogEvent(LogLevel::Warn,
           "answer_rejected",
           { { "id", aFlight.request_.attempt_ },
             { "upstream", aFlight.upstream_.Get() },
             { "why", std::string(aFlight.doubt_) },
             { "port", std::to_string(aResult.localPort_) },
             { "first_on_connection", aResult.opened_ ? "yes" : "no" } });
  ++aFlight.ran_;
  NoteBegun(aFlight, aFlight.sent_);
  EndAttempt(aFlight, CallVerdict::Failed);
  SendNext(aId);
}

void
Forwarder::OnAnswer(ForwardId aId, Flight& aFlight, HttpResponse aResponse)
{
  const WireNames& names = host_.Formats().Names();
  if (FindHeader(aResponse.headers_, names.notRun_) ||
      aResponse.status_ == 421) {
    if (aResponse.status_ == 421) {
      upstreamTable_.OnReplaced(aFlight.upstream_, host_.Now());
    }
    EndAttempt(aFlight, CallVerdict::Full);
    SendNext(aId);
    return;
  }
  ++aFlight.ran_;
  NoteBegun(aFlight, aFlight.sent_);
  EndAttempt(aFlight, CallVerdict::Answered);
  aFlight.failures_ += aResponse.status_ == 500 ? 1 : 0;
  // A stream that had begun cannot end with another answer.
  if ((aResponse.status_ >= 500 && MayRetry(aFlight)) || Begun(aFlight)) {
    aFlight.failure_ = std::move(aResponse);
    SendNext(aId);
    return;
  }
  Finish(aId, { std::move(aResponse), true });
}

void
Forwarder::OnPatienceOver(ForwardId aId)
{
  const auto it = flights_.find(aId);
  if (it == flights_.end() || !it->second.inFlight_) {
    return;
  }
  Flight& flight = it->second;
  const TrackedUpstream* other =
    upstreamTable_.Pick(flight.request_.service_, flight.tried_, host_.Now());
  if (other == nullptr || other->avoidUntil_ > host_.Now()) {
    return;
  }
  ++flight.ran_;
  NoteBegun(flight, flight.sent_);
  ++flight.cutShort_;
  Abandon(flight);
  LogEvent(LogLevel::Info,
           "attempt_outwaited",
           { { "id", flight.request_.attempt_ },
             { "upstream", flight.upstream_.Get() },
             { "next", other->entry_.id_.Get() } });
  SendNext(aId);
}

void
Forwarder::OnLimit(ForwardId aId)
{
  const auto it = flights_.find(aId);
  if (it == flights_.end()) {
    return;
  }
  if (it->second.inFlight_) {
    ++it->second.ran_;
    NoteBegun(it->second, it->second.sent_);
  }
  Abandon(it->second);
  GiveUp(aId, it->second.ran_ == 0 ? 503 : 504, kTimeIsOver);
}

void
Forwarder::GiveUp(ForwardId aId,
                  int aStatus,
                  std::string_view aWhy,
                  Duration aComeBack)
{
  const Flight& flight = flights_.at(aId);
  LogEvent(LogLevel::Warn,
           "request_given_up",
           { { "id", flight.request_.attempt_ },
             { "service", flight.request_.service_.Get() },
             { "status", std::to_string(aStatus) },
             { "attempts", std::to_string(flight.tried_.size()) },
             { "last_upstream", flight.upstream_.Get() },
             { "begun", Begun(flight) ? "yes" : "no" },
             { "why", std::string(aWhy) } });
  ForwardOutcome outcome;
  outcome.notRun_ = aStatus == 503;
  outcome.response_ = outcome.notRun_
                        ? RefusedResponse(aWhy, aComeBack)
                        : ErrorResponse(aStatus, "unknown_outcome", aWhy);
  Finish(aId, std::move(outcome));
}

void
Forwarder::Finish(ForwardId aId, ForwardOutcome aOutcome)
{
  auto node = flights_.extract(aId);
  Flight& flight = node.mapped();
  CountUse(flight);
  host_.Timers().Cancel(flight.limitTimer_);
  host_.Timers().Cancel(flight.patienceTimer_);
  aOutcome.begun_ = Begun(flight);
  const std::string status = aOutcome.begun_ && !aOutcome.answered_
                               ? "broken"
                               : std::to_string(aOutcome.response_.status_);
  host_.Measures().Count("requests_total{status=\"" + status + "\"}");
  host_.Measures().Observe(
    "request_seconds",
    std::chrono::duration<double>(host_.Now() - flight.started_).count());
  aOutcome.failures_ = flight.failures_;
  flight.done_(std::move(aOutcome));
}

} // namespace marjoramtally
