/// Forwards requests to upstreams, with attempts, retries, time limits and
/// streamed responses.
#pragma once

#include "daemon/gateway_context.hpp"
#include "marjoramtally/process/usage_meter.hpp"
#include "marjoramtally/request/event_relay.hpp"
#include "marjoramtally/runtime/http_server.hpp"
#include "marjoramtally/runtime/send_window.hpp"
#include "programs/gatewayd/request_quarantine.hpp"

#include <set>
#include <unordered_map>

namespace marjoramtally {

using ForwardId = std::uint64_t;

/// A resumable stream without a new event for this long is resumed at another
/// upstream. Callers disconnect after a gap of two seconds or more; a change of
/// weights pauses a stream for 0.9 s.
inline constexpr auto kStreamStallTimeout = std::chrono::milliseconds(1500);

/// A request to forward.
struct ForwardRequest
{
  /// Id of the caller's attempt; empty if the caller sent none.
  std::string attempt_;
  std::string method_;
  /// Path and query.
  std::string target_;
  HttpHeaders headers_;
  HttpBody body_;
  ServiceId service_;
  RouteKind kind_ = RouteKind::Idempotent;
  /// Streams only: another upstream can continue after the last event received.
  bool resumable_ = false;
  /// Streams only: receives the head and the events as they arrive. If nothing
  /// of the stream was passed on, `ForwardDone` must send the response of the
  /// outcome on it.
  HttpReplyPtr reply_;
  std::uint32_t maxAttempts_ = 1;
  /// Maximum time to wait for the answer.
  Duration limit_ = std::chrono::seconds(10);
  /// Latency objective; an answer within this time has full value.
  Duration objective_ = std::chrono::seconds(1);
  /// A request with this id was sent before and its run failed.
  bool failedBefore_ = false;
  /// Known not to crash upstreams by itself: never suspected or refused for the
  /// crashes of its upstreams.
  bool trusted_ = false;
  /// The customer that usage is counted for; empty if none.
  CustomerId customer_;
};

/// How a request ended.
struct ForwardOutcome
{
  HttpResponse response_;
  /// The response is a complete answer of an upstream.
  bool answered_ = false;
  /// The head of a stream was passed on, so `response_` cannot be sent.
  bool headSent_ = false;
  /// No upstream ran the request, and none will.
  bool notRun_ = false;
  /// Number of answers in which an upstream reported its own failure.
  std::uint32_t failures_ = 0;
};

using ForwardDone = std::function<void(ForwardOutcome)>;

/// All requests in progress in this process. Used on one loop.
class Forwarder
{
public:
  /// Both arguments outlive this.
  Forwarder(GatewayContext& aHost, UpstreamTable& aTable);

  /// Starts a request; `aDone` is called once unless the request is cancelled.
  ForwardId Start(ForwardRequest aRequest, ForwardDone aDone);
  /// Cancels a request whose caller disconnected.
  void Cancel(ForwardId aId);
  /// Retries attempts that were lost with the upstream's previous incarnation.
  void OnUpstreamRestarted(const UpstreamId& aUpstream);
  /// Quarantine of requests that crash upstreams. Items of jobs and their
  /// scores are not subject to it.
  [[nodiscard]] RequestQuarantine& Quarantine() noexcept { return quarantine_; }
  /// Usage of customers through this process.
  [[nodiscard]] const UsageMeter& Usage() const noexcept { return usage_; }
  /// @returns number of requests in progress by service
  [[nodiscard]] std::map<ServiceId, std::uint64_t> InProgress() const;

private:
  /// Sent to a refused caller as `Retry-After`.
  static constexpr auto kRetryAfter = std::chrono::milliseconds(200);

  /// Additional state of a streamed request.
  struct Stream
  {
    explicit Stream(EventRelay aRelay)
      : relay_(std::move(aRelay))
    {
    }

    EventRelay relay_;
    SendWindow window_;
    /// Head of the current attempt, and its body if that is not an event
    /// stream.
    HttpResponse head_;
    /// The current attempt answers with an event stream.
    bool events_ = false;
    /// The head was passed on to the caller.
    bool headSent_ = false;
    TimePoint lastProgress_;
  };

  struct PendingRequest
  {
    ForwardRequest request_;
    ForwardDone done_;
    TimePoint startedAt_;
    Fingerprint fingerprint_;
    std::set<UpstreamId> tried_;
    /// Number of attempts that may have run.
    std::uint32_t possibleRuns_ = 0;
    /// Number of attempts that timed out in favour of another upstream.
    std::uint32_t timedOutAttempts_ = 0;
    UpstreamId upstream_;
    /// When the current attempt was sent.
    TimePoint sentAt_;
    HttpCallId call_ = 0;
    /// Number of the current attempt; answers to other attempts are ignored.
    std::uint32_t attemptNumber_ = 0;
    bool inFlight_ = false;
    /// Why the answer of the current attempt is rejected; empty if it is not.
    std::string_view rejectReason_;
    LoopTimerId limitTimer_ = 0;
    LoopTimerId attemptTimer_ = 0;
    /// The last answer of an upstream that reported its own failure.
    std::optional<HttpResponse> failure_;
    std::uint32_t failures_ = 0;
    /// Streams only.
    std::unique_ptr<Stream> stream_;
    /// When an upstream started to run the request, if known.
    std::optional<TimePoint> runStartedAt_;
  };

  /// Records that the current attempt has started to run, or may have.
  static void MarkRunStarted(PendingRequest& aPending, TimePoint aAt);
  /// Counts a request that started to run; called once per request.
  void CountUsage(const PendingRequest& aPending);

  /// @returns whether a request may run
  [[nodiscard]] QuarantineVerdict Judge(const PendingRequest& aPending);
  void SendNext(ForwardId aId);
  /// @returns nullptr if no upstream is left
  [[nodiscard]] const TrackedUpstream* PickUpstream(
    const PendingRequest& aPending) const;
  void Send(ForwardId aId,
            PendingRequest& aPending,
            const TrackedUpstream& aUpstream);
  [[nodiscard]] HttpCall MakeCall(const PendingRequest& aPending,
                                  const UpstreamEntry& aUpstream) const;
  void OnResult(ForwardId aId, std::uint32_t aAttempt, HttpResult aResult);
  void LogAttemptEnd(const PendingRequest& aPending,
                     const HttpResult& aResult) const;
  /// Handles an attempt that ended without a complete answer.
  void OnAttemptFailed(ForwardId aId,
                       PendingRequest& aPending,
                       HttpEnd aEnd,
                       const std::string& aWhy);
  void OnAnswer(ForwardId aId,
                PendingRequest& aPending,
                HttpResponse aResponse);
  /// Validates the head of an answer.
  /// @returns whether the answer is accepted
  [[nodiscard]] bool OnHead(PendingRequest& aPending,
                            int aStatus,
                            const HttpHeaders& aHeaders);
  /// Handles the end of an attempt whose answer was rejected.
  void OnRejected(ForwardId aId,
                  PendingRequest& aPending,
                  const HttpResult& aResult);
  /// @returns why an answer does not belong to this request or does not come
  /// from the upstream itself; empty if it is valid
  [[nodiscard]] std::string_view RejectReason(const PendingRequest& aPending,
                                              const HttpResponse& aHead) const;
  /// @returns time after which an attempt is cancelled and another upstream is
  /// tried
  [[nodiscard]] static Duration AttemptTimeout(const PendingRequest& aPending);
  void OnAttemptTimeout(ForwardId aId);
  void OnLimit(ForwardId aId);
  [[nodiscard]] bool MayRetry(const PendingRequest& aPending) const;
  /// @returns when the current attempt was sent or last made progress
  [[nodiscard]] static TimePoint LastProgress(
    const PendingRequest& aPending) noexcept
  {
    return aPending.stream_ ? aPending.stream_->lastProgress_
                            : aPending.sentAt_;
  }
  /// Records the end of the current attempt.
  void EndAttempt(PendingRequest& aPending,
                  CallVerdict aVerdict,
                  CallEnd aEnd = CallEnd::Other);
  /// Cancels the current attempt.
  void CancelAttempt(PendingRequest& aPending,
                     CallEnd aEnd = CallEnd::Abandoned);
  /// Removes the request and reports its outcome.
  void Finish(ForwardId aId, ForwardOutcome aOutcome);
  /// Finishes the request with an error response: a refusal for status 503,
  /// else an unknown outcome.
  void FailRequest(ForwardId aId,
                   int aStatus,
                   std::string_view aWhy,
                   Duration aRetryAfter = kRetryAfter);
  [[nodiscard]] Duration TimeLeft(const PendingRequest& aPending) const;
  /// @returns whether the request can safely run again
  [[nodiscard]] static bool Repeatable(const PendingRequest& aPending) noexcept;
  [[nodiscard]] static bool HeadSent(const PendingRequest& aPending) noexcept
  {
    return aPending.stream_ && aPending.stream_->headSent_;
  }
  /// @returns the request if that attempt is still the current one; else
  /// nullptr
  [[nodiscard]] PendingRequest* FindAttempt(ForwardId aId,
                                            std::uint32_t aAttempt);

  // Streams.
  [[nodiscard]] std::unique_ptr<Stream> MakeStream(
    const ForwardRequest& aRequest) const;
  void PrepareStream(ForwardId aId, PendingRequest& aPending, HttpCall& aCall);
  void OnStreamHead(PendingRequest& aPending, HttpResponse aHead);
  [[nodiscard]] bool OnData(ForwardId aId,
                            PendingRequest& aPending,
                            std::string_view aBytes);
  void ForwardEvents(ForwardId aId,
                     PendingRequest& aPending,
                     std::string aEvents);
  void OnChunkWritten(ForwardId aId, std::size_t aBytes, bool aOk);
  void SendHead(PendingRequest& aPending);
  void OnStreamEnd(ForwardId aId, PendingRequest& aPending, HttpResult aResult);
  void StartProgressTimer(ForwardId aId);
  void OnProgressTimer(ForwardId aId);

  GatewayContext& host_;
  UpstreamTable& upstreamTable_;
  RequestQuarantine quarantine_;
  UsageMeter usage_;
  ForwardId lastId_ = 0;
  std::unordered_map<ForwardId, PendingRequest> pending_;
};

/// @returns the header fields that are forwarded: all except hop-by-hop fields
/// and those that the gateway sets itself
[[nodiscard]] HttpHeaders
ForwardableHeaders(const HttpHeaders& aHeaders, const WireNames& aNames);

/// Sets the customer header of a request. Customer headers that the caller
/// sent are removed, and so is its key.
/// @param aCustomer empty for none
void
SetCustomer(HttpHeaders& aHeaders,
            const WireNames& aNames,
            const CustomerId& aCustomer);

/// Records the load that an upstream reports in the head of an answer.
void
RecordLoad(const GatewayContext& aHost,
           UpstreamTable& aTable,
           const UpstreamId& aUpstream,
           const HttpHeaders& aHeaders);

/// Logs an answer that is complete only because its connection ended in order.
void
LogUnframedAnswer(const RequestId& aId,
                  const UpstreamId& aUpstream,
                  const HttpResult& aResult);

/// Counts a response whose connection ended before it, within its head or its
/// body, and one whose end only that of its connection told.
void
CountCutResponse(const GatewayContext& aHost, const HttpResult& aResult);

/// @returns a refusal with a `Retry-After` header
[[nodiscard]] HttpResponse
RefusedResponse(std::string_view aWhy, Duration aRetryAfter);

} // namespace marjoramtally
