#include "programs/entryd/in_flight_request.hpp"

#include <charconv>

namespace marjoramtally {

namespace {

/// Time limit of attempts of requests without a deadline.
constexpr auto kMaxAttemptTime = std::chrono::minutes(30);
constexpr auto kMinAttemptTime = std::chrono::milliseconds(1);

Duration
TimeLeft(const RequestSpec& aSpec, TimePoint aNow)
{
  const Duration left = aSpec.deadline_ == kNever ? Duration(kMaxAttemptTime)
                                                  : aSpec.deadline_ - aNow;
  return std::max<Duration>(left, kMinAttemptTime);
}

AttemptEnd
ClassifyLastSending(const InFlightRequest& aRequest, HttpResult& aResult)
{
  if (aRequest.message_.sink_) {
    return aRequest.message_.sink_->Classify(aResult);
  }
  if (aResult.end_ == HttpEnd::Complete) {
    return aRequest.classify_(aResult.response_);
  }
  return aResult.end_ == HttpEnd::NotSent ? AttemptEnd::NotRun
                                          : AttemptEnd::MaybeRun;
}

} // namespace

AttemptEnd
ClassifyAttempt(const InFlightRequest& aRequest, HttpResult& aResult)
{
  const AttemptEnd end = ClassifyLastSending(aRequest, aResult);
  // The request may have run when it was sent first.
  return end == AttemptEnd::NotRun && aResult.resent_ ? AttemptEnd::MaybeRun
                                                      : end;
}

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

SentAttempt
RemoveSent(InFlightRequest& aRequest, const UpstreamId& aUpstream)
{
  for (auto it = aRequest.sent_.begin(); it != aRequest.sent_.end(); ++it) {
    if (it->upstream_ == aUpstream) {
      SentAttempt sent = std::move(*it);
      aRequest.sent_.erase(it);
      return sent;
    }
  }
  return {};
}

bool
RecordAttemptEnd(InFlightRequest& aRequest,
                 const UpstreamId& aUpstream,
                 AttemptEnd aEnd,
                 TimePoint aNow)
{
  if (aRequest.answered_) {
    return false;
  }
  aRequest.tried_.push_back(aUpstream);
  aRequest.answered_ = aEnd == AttemptEnd::Complete;
  if (!aRequest.answered_ && !aRequest.sent_.empty()) {
    // Another attempt is still in progress; this one only counts as made.
    static_cast<void>(aRequest.attempts_.RecordEnd(aRequest.spec_, aEnd, aNow));
    return false;
  }
  return true;
}

HttpCall
MakeCall(const InFlightRequest& aRequest,
         const UpstreamView& aUpstream,
         const TraceContext& aTrace,
         TimePoint aNow)
{
  HttpCall call;
  call.method_ = aRequest.message_.method_;
  call.url_ = "http://" + aUpstream.address_ + aRequest.message_.target_;
  call.headers_ = aRequest.message_.headers_;
  call.headers_.push_back({ "traceparent", aTrace.Format() });
  call.body_ = aRequest.message_.body_;
  call.atMostOnce_ = !aRequest.spec_.idempotent_;
  call.mayResend_ = aRequest.spec_.idempotent_;
  call.timeout_ = TimeLeft(aRequest.spec_, aNow);
  call.headers_.push_back(
    { std::string(kDeadlineHeader),
      FormatDuration(std::chrono::milliseconds(WholeMillis(call.timeout_))) });
  return call;
}

} // namespace marjoramtally
