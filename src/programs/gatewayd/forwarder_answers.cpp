#include "programs/gatewayd/forwarder.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

void
LogUnframedAnswer(const RequestId& aId,
                  const UpstreamId& aUpstream,
                  const HttpResult& aResult)
{
  if (aResult.end_ == HttpEnd::Complete && !aResult.bodyFramed_) {
    LogEvent(LogLevel::Info,
             "answer_unframed",
             { { "id", aId.Get() },
               { "upstream", aUpstream.Get() },
               { "bytes", std::to_string(aResult.bodyBytes_) } });
  }
}

void
CountCutResponse(const GatewayContext& aHost, const HttpResult& aResult)
{
  const bool closed =
    aResult.end_ == HttpEnd::Broken || aResult.end_ == HttpEnd::Complete;
  if (aResult.end_ == HttpEnd::Complete && !aResult.bodyFramed_) {
    aHost.Measures().Count("upstream_responses_unframed_total");
  } else if (closed && !aResult.headReceived_) {
    aHost.Measures().Count(aResult.headBytes_ > 0
                             ? "upstream_responses_cut_total{part=\"head\"}"
                             : "upstream_responses_cut_total{part=\"all\"}");
  } else if (aResult.end_ == HttpEnd::Broken) {
    aHost.Measures().Count("upstream_responses_cut_total{part=\"body\"}");
  }
}

/// Logs which request an answer names and on which connection it arrived, so
/// that misdelivered answers can be traced.
void
Forwarder::LogAttemptEnd(const PendingRequest& aPending,
                         const HttpResult& aResult) const
{
  const HttpResponse& head =
    aPending.stream_ ? aPending.stream_->head_ : aResult.response_;
  const auto echo = FindHeader(head.headers_, host_.Formats().Names().attempt_);
  LogEvent(LogLevel::Debug,
           "attempt_ended",
           { { "id", aPending.request_.attempt_ },
             { "upstream", aPending.upstream_.Get() },
             { "whole", aResult.end_ == HttpEnd::Complete ? "yes" : "no" },
             { "head", aResult.headReceived_ ? "yes" : "no" },
             { "bytes", std::to_string(aResult.bodyBytes_) },
             { "status", std::to_string(head.status_) },
             { "names", std::string(echo.value_or("nothing")) },
             { "port", std::to_string(aResult.localPort_) },
             { "first_on_connection", aResult.opened_ ? "yes" : "no" },
             { "resent", aResult.resent_ ? "yes" : "no" } });
}

std::string_view
Forwarder::RejectReason(const PendingRequest& aPending,
                        const HttpResponse& aHead) const
{
  const WireNames& names = host_.Formats().Names();
  const auto echo = FindHeader(aHead.headers_, names.attempt_);
  // Upstreams echo the request's id in every answer. A second answer to an
  // earlier call on the connection may arrive late and without an id; accepted
  // as the answer to this request, it gave callers and trainers the signature
  // of another run.
  if (echo.value_or("") != aPending.request_.attempt_) {
    return echo ? "belongs to another request" : "does not name the request";
  }
  const bool success = aHead.status_ >= 200 && aHead.status_ < 300;
  const bool proven =
    !FindHeader(aHead.headers_, names.signature_).value_or("").empty();
  return success && !proven ? "not signed" : "";
}

bool
Forwarder::OnHead(PendingRequest& aPending,
                  int aStatus,
                  const HttpHeaders& aHeaders)
{
  HttpResponse head{ aStatus, aHeaders, {} };
  RecordLoad(host_, upstreamTable_, aPending.upstream_, aHeaders);
  aPending.rejectReason_ = RejectReason(aPending, head);
  if (aPending.stream_) {
    OnStreamHead(aPending, std::move(head));
  }
  return aPending.rejectReason_.empty();
}

void
Forwarder::OnRejected(ForwardId aId,
                      PendingRequest& aPending,
                      const HttpResult& aResult)
{
  LogEvent(LogLevel::Warn,
           "answer_rejected",
           { { "id", aPending.request_.attempt_ },
             { "upstream", aPending.upstream_.Get() },
             { "why", std::string(aPending.rejectReason_) },
             { "port", std::to_string(aResult.localPort_) },
             { "first_on_connection", aResult.opened_ ? "yes" : "no" } });
  ++aPending.possibleRuns_;
  MarkRunStarted(aPending, aPending.sentAt_);
  EndAttempt(aPending, CallVerdict::Failed, CallEnd::Abandoned);
  SendNext(aId);
}

void
Forwarder::OnAnswer(ForwardId aId,
                    PendingRequest& aPending,
                    HttpResponse aResponse)
{
  const WireNames& names = host_.Formats().Names();
  if (FindHeader(aResponse.headers_, names.notRun_) ||
      aResponse.status_ == 421) {
    if (aResponse.status_ == 421) {
      upstreamTable_.OnReplaced(aPending.upstream_, host_.Now());
    }
    EndAttempt(aPending, CallVerdict::Full);
    SendNext(aId);
    return;
  }
  ++aPending.possibleRuns_;
  MarkRunStarted(aPending, aPending.sentAt_);
  EndAttempt(aPending, CallVerdict::Answered);
  aPending.failures_ += aResponse.status_ == 500 ? 1 : 0;
  // A stream whose head was passed on cannot end with another response.
  if ((aResponse.status_ >= 500 && MayRetry(aPending)) || HeadSent(aPending)) {
    aPending.failure_ = std::move(aResponse);
    SendNext(aId);
    return;
  }
  Finish(aId, { std::move(aResponse), true });
}

} // namespace marjoramtally
