#include "programs/entryd/live_messages.hpp"

namespace marjoramtally {

namespace {

/// @returns whether a header applies to one connection or hop and is not
/// forwarded
bool
IsHopByHopHeader(std::string_view aName)
{
  static const HttpHeaders kHop{
    { "connection", "" }, { "content-length", "" }, { "transfer-encoding", "" },
    { "host", "" },       { "keep-alive", "" },     { "traceparent", "" },
    { "te", "" },         { "upgrade", "" },        { "x-deadline", "" },
    { "x-outcome", "" }
  };
  return FindHeader(kHop, aName).has_value();
}

int
FailureStatusCode(const DispatchResult& aResult)
{
  if (aResult.outcome_ == Outcome::Unknown) {
    return aResult.deadlineMissed_ ? 504 : 502;
  }
  return 503;
}

/// @returns the duration in seconds, rounded up, at least one
std::string
FormatRetryAfter(Duration aDuration)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aDuration);
  return std::to_string(
    std::max<std::chrono::seconds::rep>(seconds.count(), 1));
}

} // namespace

AttemptEnd
ClassifyPlainResponse(const HttpResponse& aResponse)
{
  const auto outcome = FindHeader(aResponse.headers_, kOutcomeHeader);
  const bool refused = outcome == ToString(Outcome::RefusedNotRun);
  return refused ? AttemptEnd::NotRun : AttemptEnd::Complete;
}

HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders)
{
  HttpHeaders forwarded;
  for (const HttpHeader& header : aHeaders) {
    if (!IsHopByHopHeader(header.name_)) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

HttpResponse
MakeResponse(DispatchResult aResult)
{
  HttpResponse response;
  if (aResult.outcome_ == Outcome::Completed) {
    response.status_ = aResult.response_.status_;
    response.headers_ = EndToEndHeaders(aResult.response_.headers_);
    response.body_ = std::move(aResult.response_.body_);
  } else {
    response = ErrorResponse(
      FailureStatusCode(aResult), ToString(aResult.outcome_), aResult.reason_);
    response.headers_.push_back(
      { "Retry-After", FormatRetryAfter(aResult.retryAfter_) });
  }
  response.headers_.push_back(
    { std::string(kOutcomeHeader), std::string(ToString(aResult.outcome_)) });
  return response;
}

HttpResponse
MakeRefusal(int aStatus, std::string_view aKind, std::string_view aMessage)
{
  HttpResponse response = ErrorResponse(aStatus, aKind, aMessage);
  response.headers_.push_back(
    { std::string(kOutcomeHeader),
      std::string(ToString(Outcome::RefusedNotRun)) });
  return response;
}

TraceContext
TraceOf(const HttpRequest& aRequest)
{
  const auto header = FindHeader(aRequest.headers_, "traceparent");
  const auto parsed = header ? TraceContext::Parse(*header) : std::nullopt;
  return parsed ? *parsed : TraceContext::Fresh();
}

} // namespace marjoramtally
