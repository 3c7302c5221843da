/// Sends one request to upstreams until one has answered it: attempts,
/// retries, time limits, streams passed on as they come.
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

/// Names a request in progress.
using ForwardId = std::uint64_t;

/// A stream that can be resumed and makes nothing for this long is resumed
/// elsewhere: callers leave after a gap of two seconds or more, and a change
/// of weights holds a stream up for 0.9 s.
inline constexpr auto kStreamStallTimeout = std::chrono::milliseconds(1500);

/// What is to be sent on.
struct ForwardRequest
{
  /// Id of the caller's attempt; empty if it named none.
  std::string attempt_;
  std::string method_;
  /// Path and query.
  std::string target_;
  HttpHeaders headers_;
  std::string body_;
  ServiceId service_;
  RouteKind kind_ = RouteKind::Idempotent;
  /// Of a stream: another upstream may go on after the last event held.
  bool resumable_ = false;
  /// Of a stream: takes its head and events as they come. The response of
  /// the outcome is for it as well, if nothing of the stream was passed on.
  HttpReplyPtr reply_;
  std::uint32_t maxAttempts_ = 1;
  /// Longest time that the answer is waited for.
  Duration limit_ = std::chrono::seconds(10);
  /// Time within which an answer is worth most.
  Duration objective_ = std::chrono::seconds(1);
  /// The id was sent before and its run failed.
  bool failedBefore_ = false;
  /// Whose use it counts as; empty: nobody's.
  CustomerId customer_;
};

/// How a request ended.
struct ForwardOutcome
{
  HttpResponse response_;
  /// The response is an upstream's own, and whole.
  bool answered_ = false;
  /// The head of a stream was passed on: there is no response any more.
  bool headSent_ = false;
  /// No upstream ran it and none will.
  bool notRun_ = false;
  /// Answers in which an upstream reported its own failure.
  std::uint32_t failures_ = 0;
};

using ForwardDone = std::function<void(ForwardOutcome)>;

/// All requests in progress of this process.
class Forwarder
{
public:
  /// Both outlive this.
  Forwarder(GatewayContext& aHost, UpstreamTable& aTable);

  /// Starts a request; `aDone` is called once unless it is cancelled.
  ForwardId Start(ForwardRequest aRequest, ForwardDone aDone);
  /// Ends a request whose caller left.
  void Cancel(ForwardId aId);
  /// Attempts at the upstream's incarnation before are lost.
  void OnUpstreamRestarted(const UpstreamId& aUpstream);
  /// What is held against requests; items of jobs ask and tell it as well.
  [[nodiscard]] RequestQuarantine& Quarantine() noexcept { return quarantine_; }
  /// What customers used through this process.
  [[nodiscard]] const UsageMeter& Usage() const noexcept { return usage_; }
  /// @returns requests in progress by service
  [[nodiscard]] std::map<ServiceId, std::uint64_t> InProgress() const;

private:
  /// A refused caller comes back after this time.
  static constexpr auto kRetryAfter = std::chrono::milliseconds(200);

  /// What a stream has beside other requests.
  struct Stream
  {
    explicit Stream(EventRelay aRelay)
      : relay_(std::move(aRelay))
    {
    }

    EventRelay relay_;
    SendWindow window_;
    /// Head of the present attempt; the body too unless it is a stream.
    HttpResponse head_;
    /// The present attempt answers with events.
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
    /// Attempts that may have run.
    std::uint32_t possibleRuns_ = 0;
    /// Attempts that were cut short for another upstream.
    std::uint32_t timedOutAttempts_ = 0;
    UpstreamId upstream_;
    /// When the present attempt was sent.
    TimePoint sentAt_;
    HttpCallId call_ = 0;
    /// Number of the present attempt; answers of others are ignored.
    std::uint32_t attemptNumber_ = 0;
    bool inFlight_ = false;
    /// Why its answer is not to be believed; empty while it is.
    std::string_view rejectReason_;
    LoopTimerId limitTimer_ = 0;
    LoopTimerId attemptTimer_ = 0;
    /// The last answer of an upstream that reported its own failure.
    std::optional<HttpResponse> failure_;
    std::uint32_t failures_ = 0;
    /// Of a stream only.
    std::unique_ptr<Stream> stream_;
    /// When an upstream began to run it, as far as is known.
    std::optional<TimePoint> runStartedAt_;
  };

  /// The present attempt has begun to run at its upstream, or may have.
  static void MarkRunStarted(PendingRequest& aPending, TimePoint aAt);
  /// Counts a request that began to run, once.
  void CountUsage(const PendingRequest& aPending);

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
  /// An attempt gave no whole answer.
  void OnAttemptFailed(ForwardId aId,
                       PendingRequest& aPending,
                       HttpEnd aEnd,
                       const std::string& aWhy);
  void OnAnswer(ForwardId aId,
                PendingRequest& aPending,
                HttpResponse aResponse);
  /// The head of an answer came.
  /// @returns whether it is believed
  [[nodiscard]] bool OnHead(PendingRequest& aPending,
                            int aStatus,
                            const HttpHeaders& aHeaders);
  /// The answer to the present attempt was not believed.
  void OnRejected(ForwardId aId,
                  PendingRequest& aPending,
                  const HttpResult& aResult);
  /// @returns why an answer is not an upstream's own to this request; empty
  /// if it is
  [[nodiscard]] std::string_view RejectReason(const PendingRequest& aPending,
                                              const HttpResponse& aHead) const;
  /// @returns how long the next attempt may take before another is tried
  [[nodiscard]] static Duration AttemptTimeout(const PendingRequest& aPending);
  void OnAttemptTimeout(ForwardId aId);
  void OnLimit(ForwardId aId);
  [[nodiscard]] bool MayRetry(const PendingRequest& aPending) const;
  /// @returns when the present attempt was sent or last heard of
  [[nodiscard]] static TimePoint LastProgress(
    const PendingRequest& aPending) noexcept
  {
    return aPending.stream_ ? aPending.stream_->lastProgress_
                            : aPending.sentAt_;
  }
  /// The present attempt has ended.
  void EndAttempt(PendingRequest& aPending,
                  CallVerdict aVerdict,
                  CallEnd aEnd = CallEnd::Other);
  /// Breaks off the present attempt.
  void CancelAttempt(PendingRequest& aPending, CallEnd aEnd = CallEnd::Other);
  void Finish(ForwardId aId, ForwardOutcome aOutcome);
  void FailRequest(ForwardId aId,
                   int aStatus,
                   std::string_view aWhy,
                   Duration aRetryAfter = kRetryAfter);
  [[nodiscard]] Duration TimeLeft(const PendingRequest& aPending) const;
  /// @returns whether another run of the request does no harm
  [[nodiscard]] static bool Repeatable(const PendingRequest& aPending) noexcept;
  [[nodiscard]] static bool HeadSent(const PendingRequest& aPending) noexcept
  {
    return aPending.stream_ && aPending.stream_->headSent_;
  }
  /// @returns the pending if that attempt is still its present one
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

/// Header fields that are passed on: all but those of one connection and
/// those that the proxy sets itself.
[[nodiscard]] HttpHeaders
ForwardableHeaders(const HttpHeaders& aHeaders, const WireNames& aNames);

/// Makes a request name the customer whose it is, and nobody else: what the
/// caller sent of that is dropped, and its key too.
/// @param aCustomer empty: nobody's
void
SetCustomer(HttpHeaders& aHeaders,
            const WireNames& aNames,
            const CustomerId& aCustomer);

/// @returns a refusal that says when to come back
[[nodiscard]] HttpResponse
RefusedResponse(std::string_view aWhy, Duration aRetryAfter);

} // namespace marjoramtally
