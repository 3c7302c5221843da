/// A request between its arrival and its outcome, with its attempts.
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
  /// Set once the client has taken it.
  std::optional<HttpCallId> call_;
};

/// A request that is not finished. What `Submit` was given does not change;
/// the rest is written under the dispatcher's lock.
struct InFlightRequest
{
  RequestSpec spec_;
  UpstreamMessage message_;
  ResponseClassifier classify_;
  DispatchDone done_;
  Attempts attempts_;
  std::vector<UpstreamId> tried_;
  TraceContext trace_;
  Span queueSpan_;
  /// Attempts in progress; more than one if it is hedged.
  std::vector<SentAttempt> sent_{};
  /// Whether a whole answer was taken; later ones are dropped.
  bool answered_ = false;
};

using InFlightRequestPtr = std::shared_ptr<InFlightRequest>;
using InFlightRequests = std::unordered_map<TicketId, InFlightRequestPtr>;

/// An attempt that is to be sent.
struct AttemptStart
{
  TicketId ticket_;
  InFlightRequestPtr request_;
  UpstreamPtr upstream_;
};

/// @returns how an attempt ended; may set a body for the accounting
[[nodiscard]] AttemptEnd
ClassifyAttempt(const InFlightRequest& aRequest, HttpResult& aResult);

/// @returns tokens that a completion says it generated; 0 if it is none
[[nodiscard]] std::uint64_t
CountTokens(const HttpResponse& aResponse);

/// Takes an attempt off the list of those in progress.
[[nodiscard]] SentAttempt
RemoveSent(InFlightRequest& aRequest, const UpstreamId& aUpstream);

/// Records the end of an attempt that was taken off the list.
/// @returns whether it decides the request
[[nodiscard]] bool
RecordAttemptEnd(InFlightRequest& aRequest,
                 const UpstreamId& aUpstream,
                 AttemptEnd aEnd,
                 TimePoint aNow);

/// @returns the call that makes an attempt
[[nodiscard]] HttpCall
MakeCall(const InFlightRequest& aRequest,
         const UpstreamView& aUpstream,
         const TraceContext& aTrace,
         TimePoint aNow);

} // namespace marjoramtally
