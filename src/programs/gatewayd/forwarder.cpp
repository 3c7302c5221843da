#include "programs/gatewayd/forwarder.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

namespace {

/// Share of the latency objective after which an attempt of an idempotent
/// request is cancelled in favour of another upstream.
constexpr double kAttemptTimeoutShare = 0.7;
constexpr auto kMinAttemptTimeout = std::chrono::milliseconds(80);
/// The attempt timeout grows by this factor with each attempt that timed out,
/// because a request that is slow at one upstream is more likely slow at every
/// upstream than delayed by chance twice. With a constant timeout, a scoring
/// call of 0.6 s or more was cancelled at each of 20 attempts over 25 s, and
/// its trainer's step was lost.
constexpr std::int64_t kAttemptTimeoutGrowth = 3;
/// Minimum time left for which another attempt is sent.
constexpr auto kMinAttemptTime = std::chrono::milliseconds(15);
constexpr std::string_view kTimeLimitText = "the time limit passed";
constexpr std::string_view kQuarantinedText =
  "quarantined: upstreams crashed each time while they ran this request";
constexpr std::string_view kHeldBackText =
  "no upstream gave a whole answer, and another attempt might crash one more";

} // namespace

Forwarder::Forwarder(GatewayContext& aHost, UpstreamTable& aTable)
  : host_(aHost)
  , upstreamTable_(aTable)
  , quarantine_(aHost)
{
}

ForwardId
Forwarder::Start(ForwardRequest aRequest, ForwardDone aDone)
{
  const ForwardId id = ++lastId_;
  PendingRequest& pending = pending_[id];
  pending.request_ = std::move(aRequest);
  pending.done_ = std::move(aDone);
  pending.startedAt_ = host_.Now();
  pending.fingerprint_ =
    FingerprintOf(pending.request_.method_,
                  FindHeader(pending.request_.headers_, "Host").value_or(""),
                  pending.request_.target_,
                  pending.request_.body_.Get());
  if (pending.request_.reply_) {
    pending.stream_ = MakeStream(pending.request_);
  }
  pending.limitTimer_ =
    host_.Timers().After(pending.request_.limit_, [this, id] { OnLimit(id); });
  SendNext(id);
  return id;
}

void
Forwarder::Cancel(ForwardId aId)
{
  const auto it = pending_.find(aId);
  if (it == pending_.end()) {
    return;
  }
  if (it->second.inFlight_) {
    MarkRunStarted(it->second, it->second.sentAt_);
  }
  CountUsage(it->second);
  CancelAttempt(it->second);
  host_.Timers().Cancel(it->second.limitTimer_);
  LogEvent(LogLevel::Info,
           "request_abandoned",
           { { "id", it->second.request_.attempt_ },
             { "upstream", it->second.upstream_.Get() } });
  pending_.erase(it);
}

void
Forwarder::OnUpstreamRestarted(const UpstreamId& aUpstream)
{
  std::vector<ForwardId> lost;
  for (const auto& [id, pending] : pending_) {
    if (pending.inFlight_ && pending.upstream_ == aUpstream &&
        host_.Now() - LastProgress(pending) >= Duration{ kRestartIdleTime }) {
      lost.push_back(id);
    }
  }
  for (const ForwardId id : lost) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) {
      // Cancelled by the callback of another request in this loop.
      continue;
    }
    PendingRequest& pending = it->second;
    LogEvent(LogLevel::Info,
             "attempt_lost",
             { { "id", pending.request_.attempt_ },
               { "upstream", aUpstream.Get() },
               { "why", "the upstream has restarted" } });
    ++pending.possibleRuns_;
    MarkRunStarted(pending, pending.sentAt_);
    CancelAttempt(pending, CallEnd::Broken);
    SendNext(id);
  }
}

Duration
Forwarder::TimeLeft(const PendingRequest& aPending) const
{
  return aPending.startedAt_ + aPending.request_.limit_ - host_.Now();
}

bool
Forwarder::Repeatable(const PendingRequest& aPending) noexcept
{
  const ForwardRequest& request = aPending.request_;
  return request.kind_ == RouteKind::Idempotent ||
         (aPending.stream_ && request.resumable_ &&
          aPending.stream_->relay_.CanResume());
}

bool
Forwarder::MayRetry(const PendingRequest& aPending) const
{
  return (aPending.possibleRuns_ == 0 || Repeatable(aPending)) &&
         aPending.possibleRuns_ < aPending.request_.maxAttempts_ &&
         TimeLeft(aPending) > kMinAttemptTime;
}

Forwarder::PendingRequest*
Forwarder::FindAttempt(ForwardId aId, std::uint32_t aAttempt)
{
  const auto it = pending_.find(aId);
  const bool present =
    it != pending_.end() && it->second.attemptNumber_ == aAttempt;
  return present ? &it->second : nullptr;
}

const TrackedUpstream*
Forwarder::PickUpstream(const PendingRequest& aPending) const
{
  const ServiceId& service = aPending.request_.service_;
  const auto avoid = aPending.request_.trusted_
                       ? std::vector<UpstreamId>{}
                       : quarantine_.UpstreamsToAvoid(aPending.fingerprint_);
  if (!avoid.empty()) {
    std::set<UpstreamId> excluded = aPending.tried_;
    excluded.insert(avoid.begin(), avoid.end());
    const TrackedUpstream* apart =
      upstreamTable_.Pick(service, excluded, host_.Now());
    if (apart != nullptr && apart->removedAt_ == kNever &&
        apart->avoidUntil_ <= host_.Now()) {
      return apart;
    }
  }
  return upstreamTable_.Pick(service, aPending.tried_, host_.Now());
}

QuarantineVerdict
Forwarder::Judge(const PendingRequest& aPending)
{
  return aPending.request_.trusted_ ? QuarantineVerdict{}
                                    : quarantine_.Judge(aPending.fingerprint_);
}

void
Forwarder::SendNext(ForwardId aId)
{
  PendingRequest& pending = pending_.at(aId);
  const QuarantineVerdict verdict = Judge(pending);
  if (verdict.refused_ && pending.possibleRuns_ == 0) {
    FailRequest(aId, 503, verdict.reason_, verdict.retryAfter_);
    return;
  }
  if (verdict.refused_) {
    FailRequest(aId, 502, verdict.heldBack_ ? kHeldBackText : kQuarantinedText);
    return;
  }
  if (verdict.onTrial_ && !pending.tried_.empty()) {
    // One upstream at most is risked in a trial.
    FailRequest(aId, pending.possibleRuns_ == 0 ? 503 : 502, kHeldBackText);
    return;
  }
  const TrackedUpstream* upstream = PickUpstream(pending);
  if (upstream == nullptr || !MayRetry(pending)) {
    if (pending.failure_ && !HeadSent(pending)) {
      Finish(aId, { std::move(*pending.failure_), true });
    } else if (pending.possibleRuns_ == 0) {
      FailRequest(
        aId, 503, upstream == nullptr ? "no upstream" : "no time left");
    } else if (TimeLeft(pending) <= kMinAttemptTime) {
      FailRequest(aId, 504, kTimeLimitText);
    } else {
      FailRequest(aId, 502, "no upstream gave a whole answer");
    }
    return;
  }
  Send(aId, pending, *upstream);
}

HttpCall
Forwarder::MakeCall(const PendingRequest& aPending,
                    const UpstreamEntry& aUpstream) const
{
  const WireNames& names = host_.Formats().Names();
  const ForwardRequest& request = aPending.request_;
  HttpCall call;
  call.method_ = request.method_;
  call.url_ = "http://" + aUpstream.address_ + request.target_;
  call.headers_ = request.headers_;
  call.headers_.push_back(
    { names.deadline_, std::to_string(WholeMillis(TimeLeft(aPending))) });
  call.headers_.push_back({ names.expectUpstream_, aUpstream.id_.Get() });
  call.body_ = request.body_;
  call.timeout_ = TimeLeft(aPending);
  call.connectTimeout_ =
    std::min<Duration>(kUpstreamConnectTimeout, call.timeout_);
  call.atMostOnce_ = !Repeatable(aPending);
  call.mayResend_ = !call.atMostOnce_;
  // A late second answer to an earlier call on the same connection is
  // recognised by its id. Without an id, or with one that was sent before and
  // whose failure may arrive twice, a new connection is required.
  call.newConnection_ = request.failedBefore_ || request.attempt_.empty();
  return call;
}

void
Forwarder::Send(ForwardId aId,
                PendingRequest& aPending,
                const TrackedUpstream& aUpstream)
{
  aPending.upstream_ = aUpstream.entry_.id_;
  aPending.sentAt_ = host_.Now();
  aPending.tried_.insert(aPending.upstream_);
  aPending.inFlight_ = true;
  aPending.rejectReason_ = {};
  const std::uint32_t attempt = ++aPending.attemptNumber_;
  upstreamTable_.OnStart(aPending.upstream_, host_.Now());
  if (!aPending.request_.trusted_) {
    quarantine_.OnSent(aPending.fingerprint_, aPending.upstream_);
  }
  LogEvent(LogLevel::Debug,
           "attempt_sent",
           { { "id", aPending.request_.attempt_ },
             { "upstream", aPending.upstream_.Get() },
             { "left_ms", std::to_string(WholeMillis(TimeLeft(aPending))) } });
  HttpCall call = MakeCall(aPending, aUpstream.entry_);
  call.onHead_ = [this, aId, attempt](int aStatus,
                                      const HttpHeaders& aHeaders) {
    PendingRequest* pending = FindAttempt(aId, attempt);
    return pending != nullptr && OnHead(*pending, aStatus, aHeaders);
  };
  if (aPending.stream_) {
    PrepareStream(aId, aPending, call);
  }
  aPending.call_ = host_.Client().Send(
    std::move(call), [this, aId, attempt](HttpResult aResult) {
      OnResult(aId, attempt, std::move(aResult));
    });
  const Duration timeout = AttemptTimeout(aPending);
  if (aPending.request_.kind_ == RouteKind::Idempotent &&
      aPending.possibleRuns_ + 1 < aPending.request_.maxAttempts_) {
    aPending.attemptTimer_ =
      host_.Timers().After(timeout, [this, aId] { OnAttemptTimeout(aId); });
  }
}

Duration
Forwarder::AttemptTimeout(const PendingRequest& aPending)
{
  const auto objective =
    static_cast<double>(aPending.request_.objective_.count());
  Duration timeout = std::max<Duration>(
    kMinAttemptTimeout,
    Duration{ static_cast<std::int64_t>(kAttemptTimeoutShare * objective) });
  for (std::uint32_t i = 0; i < aPending.timedOutAttempts_; ++i) {
    timeout *= kAttemptTimeoutGrowth;
  }
  return std::min(timeout, aPending.request_.limit_);
}

void
Forwarder::EndAttempt(PendingRequest& aPending,
                      CallVerdict aVerdict,
                      CallEnd aEnd)
{
  host_.Timers().Cancel(aPending.attemptTimer_);
  if (!aPending.inFlight_) {
    return;
  }
  aPending.inFlight_ = false;
  ++aPending.attemptNumber_;
  upstreamTable_.OnEnd(aPending.upstream_, aVerdict, host_.Now());
  if (!aPending.request_.trusted_) {
    const bool answered = aVerdict == CallVerdict::Answered;
    quarantine_.OnEnd(aPending.fingerprint_,
                      aPending.upstream_,
                      answered ? CallEnd::Answered : aEnd);
  }
}

void
Forwarder::CancelAttempt(PendingRequest& aPending, CallEnd aEnd)
{
  if (aPending.inFlight_) {
    host_.Client().Cancel(aPending.call_);
  }
  EndAttempt(aPending, CallVerdict::Abandoned, aEnd);
}

void
Forwarder::OnResult(ForwardId aId, std::uint32_t aAttempt, HttpResult aResult)
{
  PendingRequest* pending = FindAttempt(aId, aAttempt);
  if (pending == nullptr) {
    return;
  }
  LogAttemptEnd(*pending, aResult);
  CountCutResponse(host_, aResult);
  LogUnframedAnswer(
    RequestId{ pending->request_.attempt_ }, pending->upstream_, aResult);
  if (aResult.opened_) {
    host_.Measures().Count("upstream_connections_total{for=\"calls\"}");
  }
  if (aResult.resent_) {
    // Whatever the answer is, the upstream may have run the request when it was
    // sent first.
    ++pending->possibleRuns_;
  }
  if (!pending->rejectReason_.empty()) {
    OnRejected(aId, *pending, aResult);
  } else if (pending->stream_) {
    OnStreamEnd(aId, *pending, std::move(aResult));
  } else if (aResult.end_ == HttpEnd::Complete) {
    OnAnswer(aId, *pending, std::move(aResult.response_));
  } else {
    OnAttemptFailed(aId, *pending, aResult.end_, aResult.message_);
  }
}

void
Forwarder::OnAttemptFailed(ForwardId aId,
                           PendingRequest& aPending,
                           HttpEnd aEnd,
                           const std::string& aWhy)
{
  LogEvent(LogLevel::Info,
           "attempt_failed",
           { { "id", aPending.request_.attempt_ },
             { "upstream", aPending.upstream_.Get() },
             { "fingerprint", Hex(aPending.fingerprint_) },
             { "sent", aEnd == HttpEnd::NotSent ? "no" : "yes" },
             { "error", aWhy } });
  if (aEnd != HttpEnd::NotSent) {
    ++aPending.possibleRuns_;
    MarkRunStarted(aPending, aPending.sentAt_);
  }
  EndAttempt(aPending, CallVerdict::Failed, CallEndOf(aEnd));
  SendNext(aId);
}

void
Forwarder::OnAttemptTimeout(ForwardId aId)
{
  const auto it = pending_.find(aId);
  if (it == pending_.end() || !it->second.inFlight_) {
    return;
  }
  PendingRequest& pending = it->second;
  if (!pending.request_.trusted_ &&
      quarantine_.WasAtCrash(pending.fingerprint_)) {
    // A second attempt might crash a second upstream.
    return;
  }
  const TrackedUpstream* other =
    upstreamTable_.Pick(pending.request_.service_, pending.tried_, host_.Now());
  if (other == nullptr || other->avoidUntil_ > host_.Now()) {
    return;
  }
  ++pending.possibleRuns_;
  MarkRunStarted(pending, pending.sentAt_);
  ++pending.timedOutAttempts_;
  CancelAttempt(pending);
  LogEvent(LogLevel::Info,
           "attempt_outwaited",
           { { "id", pending.request_.attempt_ },
             { "upstream", pending.upstream_.Get() },
             { "fingerprint", Hex(pending.fingerprint_) },
             { "next", other->entry_.id_.Get() } });
  SendNext(aId);
}

void
Forwarder::OnLimit(ForwardId aId)
{
  const auto it = pending_.find(aId);
  if (it == pending_.end()) {
    return;
  }
  if (it->second.inFlight_) {
    ++it->second.possibleRuns_;
    MarkRunStarted(it->second, it->second.sentAt_);
  }
  CancelAttempt(it->second);
  FailRequest(aId, it->second.possibleRuns_ == 0 ? 503 : 504, kTimeLimitText);
}

void
Forwarder::FailRequest(ForwardId aId,
                       int aStatus,
                       std::string_view aWhy,
                       Duration aRetryAfter)
{
  const PendingRequest& pending = pending_.at(aId);
  LogEvent(LogLevel::Warn,
           "request_given_up",
           { { "id", pending.request_.attempt_ },
             { "service", pending.request_.service_.Get() },
             { "status", std::to_string(aStatus) },
             { "attempts", std::to_string(pending.tried_.size()) },
             { "last_upstream", pending.upstream_.Get() },
             { "begun", HeadSent(pending) ? "yes" : "no" },
             { "why", std::string(aWhy) } });
  ForwardOutcome outcome;
  outcome.notRun_ = aStatus == 503;
  outcome.response_ = outcome.notRun_
                        ? RefusedResponse(aWhy, aRetryAfter)
                        : ErrorResponse(aStatus, "unknown_outcome", aWhy);
  Finish(aId, std::move(outcome));
}

void
Forwarder::Finish(ForwardId aId, ForwardOutcome aOutcome)
{
  auto node = pending_.extract(aId);
  PendingRequest& pending = node.mapped();
  CountUsage(pending);
  host_.Timers().Cancel(pending.limitTimer_);
  host_.Timers().Cancel(pending.attemptTimer_);
  aOutcome.headSent_ = HeadSent(pending);
  const std::string status = aOutcome.headSent_ && !aOutcome.answered_
                               ? "broken"
                               : std::to_string(aOutcome.response_.status_);
  host_.Measures().Count("requests_total{status=\"" + status + "\"}");
  host_.Measures().Observe(
    "request_seconds",
    std::chrono::duration<double>(host_.Now() - pending.startedAt_).count());
  aOutcome.failures_ = pending.failures_;
  pending.done_(std::move(aOutcome));
}

} // namespace marjoramtally
