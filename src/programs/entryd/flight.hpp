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
struct Flight
{
  RequestSpec spec_;
  UpstreamMessage message_;
  ResponseJudge judge_;
  DispatchDone done_;
  Attempts attempts_;
  std::vector<UpstreamId> tried_;
  TraceContext trace_;
  Span queueSpan_;
  /// Attempts in progress; more than one if it is hedged.
  std::vector<SentAttempt> sent_{};
  /// Whether a whole answer was taken; later ones are dropped.
  bool won_ = false;
};

using FlightPtr = std::shared_ptr<Flight>;
using Flights = std::unordered_map<TicketId, FlightPtr>;

/// An attempt that is to be sent.
struct AttemptStart
{
  TicketId ticket_;
  FlightPtr flight_;
  UpstreamPtr upstream_;
};

/// @returns how an attempt ended; may set a body for the accounting
[[nodiscard]] AttemptEnd
JudgeAttempt(const Flight& aFlight, HttpResult& aResult);

/// @returns tokens that a completion says it generated; 0 if it is none
[[nodiscard]] std::uint64_t
CountTokens(const HttpResponse& aResponse);

/// Takes an attempt off the list of those in progress.
[[nodiscard]] SentAttempt
TakeSent(Flight& aFlight, const UpstreamId& aUpstream);

/// Records the end of an attempt that was taken off the list.
/// @returns whether it decides the request
[[nodiscard]] bool
Decides(Flight& aFlight,
        const UpstreamId& aUpstream,
        AttemptEnd aEnd,
        TimePoint aNow);

/// @returns the call that makes an attempt
[[nodiscard]] HttpCall
MakeCall(const Flight& aFlight,
         const UpstreamView& aUpstream,
         const TraceContext& aTrace,
         TimePoint aNow);

} // namespace marjoramtally
