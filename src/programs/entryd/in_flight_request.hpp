/// Requests between arrival and outcome, and their attempts.
#pragma once

#include "marjoramtally/process.hpp"
#include "marjoramtally/request.hpp"
#include "programs/entryd/dispatch_result.hpp"
#include "programs/entryd/upstream_message.hpp"

#include <unordered_map>

namespace marjoramtally {

/// An attempt in progress.
struct SentAttempt
{
  UpstreamId upstream_;
  TimePoint at_;
  /// Set once the HTTP client has accepted the call.
  std::optional<HttpCallId> call_;
};

/// A request that is not finished. The parameters of `Dispatcher::Submit` do
/// not change; the other members are guarded by the dispatcher's lock.
struct InFlightRequest
{
  RequestSpec spec_;
  UpstreamMessage message_;
  ResponseClassifier classify_;
  DispatchDone done_;
  Attempts attempts_;
  /// Upstreams of ended attempts.
  std::vector<UpstreamId> tried_;
  TraceContext trace_;
  Span queueSpan_;
  /// Attempts in progress; more than one if the request is hedged.
  std::vector<SentAttempt> sent_{};
  /// Whether a complete answer was accepted; later answers are discarded.
  bool answered_ = false;
};

using InFlightRequestPtr = std::shared_ptr<InFlightRequest>;
using InFlightRequests = std::unordered_map<TicketId, InFlightRequestPtr>;

/// An attempt to be sent.
struct AttemptStart
{
  TicketId ticket_;
  InFlightRequestPtr request_;
  UpstreamPtr upstream_;
};

/// Classifies the end of an attempt. May set a response body from which the
/// generated tokens are counted.
[[nodiscard]] AttemptEnd
ClassifyAttempt(const InFlightRequest& aRequest, HttpResult& aResult);

/// @returns generated tokens as stated by a completion; 0 if the response
/// states none
[[nodiscard]] std::uint64_t
CountTokens(const HttpResponse& aResponse);

/// Removes an attempt from the attempts in progress.
/// @returns the attempt
[[nodiscard]] SentAttempt
RemoveSent(InFlightRequest& aRequest, const UpstreamId& aUpstream);

/// Records the end of an attempt that was removed by `RemoveSent`.
/// @returns whether the next step of the request is to be decided: false if the
/// request is already answered, or if this attempt failed and another is in
/// progress
[[nodiscard]] bool
RecordAttemptEnd(InFlightRequest& aRequest,
                 const UpstreamId& aUpstream,
                 AttemptEnd aEnd,
                 TimePoint aNow);

/// @returns the HTTP call of an attempt
[[nodiscard]] HttpCall
MakeCall(const InFlightRequest& aRequest,
         const UpstreamView& aUpstream,
         const TraceContext& aTrace,
         TimePoint aNow);

} // namespace marjoramtally
