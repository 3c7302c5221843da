#include "programs/entryd/flight.hpp"

#include <charconv>

namespace marjoramtally {

namespace {

/// Attempts without a caller's deadline end after this long.
constexpr auto kLongestAttempt = std::chrono::minutes(30);
constexpr auto kShortestAttempt = std::chrono::milliseconds(1);

Duration
TimeLeft(const RequestSpec& aSpec, TimePoint aNow)
{
  const Duration left = aSpec.deadline_ == kNever ? Duration(kLongestAttempt)
                                                  : aSpec.deadline_ - aNow;
  return std::max<Duration>(left, kShortestAttempt);
}

} // namespace

AttemptEnd
JudgeAttempt(const Flight& aFlight, HttpResult& aResult)
{
  if (aFlight.message_.sink_) {
    return aFlight.message_.sink_->Judge(aResult);
  }
  if (aResult.end_ == HttpEnd::Whole) {
    return aFlight.judge_(aResult.response_);
  }
  return aResult.end_ == HttpEnd::NotSent ? AttemptEnd::NotRun
                                          : AttemptEnd::MaybeRun;
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
TakeSent(Flight& aFlight, const UpstreamId& aUpstream)
{
  for (auto it = aFlight.sent_.begin(); it != aFlight.sent_.end(); ++it) {
    if (it->upstream_ == aUpstream) {
      SentAttempt sent = std::move(*it);
      aFlight.sent_.erase(it);
      return sent;
    }
  }
  return {};
}

bool
Decides(Flight& aFlight,
        const UpstreamId& aUpstream,
        AttemptEnd aEnd,
        TimePoint aNow)
{
  if (aFlight.won_) {
    return false;
  }
  aFlight.tried_.push_back(aUpstream);
  aFlight.won_ = aEnd == AttemptEnd::Complete;
  if (!aFlight.won_ && !aFlight.sent_.empty()) {
    // The other attempt goes on; this one counts as made.
    static_cast<void>(aFlight.attempts_.RecordEnd(aFlight.spec_, aEnd, aNow));
    return false;
  }
  return true;
}

HttpCall
MakeCall(const Flight& aFlight,
         const UpstreamView& aUpstream,
         const TraceContext& aTrace,
         TimePoint aNow)
{
  HttpCall call;
  call.method_ = aFlight.message_.method_;
  call.url_ = "http://" + aUpstream.address_ + aFlight.message_.target_;
  call.headers_ = aFlight.message_.headers_;
  call.headers_.push_back({ "traceparent", aTrace.Format() });
  call.body_ = aFlight.message_.body_;
  call.atMostOnce_ = !aFlight.spec_.idempotent_;
  call.timeout_ = TimeLeft(aFlight.spec_, aNow);
  call.headers_.push_back(
    { std::string(kDeadlineHeader),
      FormatDuration(std::chrono::milliseconds(WholeMillis(call.timeout_))) });
  return call;
}

} // namespace marjoramtally
