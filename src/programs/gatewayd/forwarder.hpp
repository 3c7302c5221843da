/// Sends one request to upstreams until one has answered it: attempts,
/// retries, time limits.
#pragma once

#include "daemon/gateway_context.hpp"

#include <set>
#include <unordered_map>

namespace marjoramtally {

/// Names a request in progress.
using ForwardId = std::uint64_t;

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
  std::uint32_t maxAttempts_ = 1;
  /// Longest time that the answer is waited for.
  Duration limit_ = std::chrono::seconds(10);
  /// Time within which an answer is worth most.
  Duration objective_ = std::chrono::seconds(1);
};

/// How a request ended.
struct ForwardOutcome
{
  HttpResponse response_;
  /// The response is an upstream's own.
  bool answered_ = false;
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
  Forwarder(GatewayContext& aHost, UpstreamBoard& aBoard);

  /// Starts a request; `aDone` is called once unless it is cancelled.
  ForwardId Start(ForwardRequest aRequest, ForwardDone aDone);
  /// Ends a request whose caller left.
  void Cancel(ForwardId aId);

private:
  struct Flight
  {
    ForwardRequest request_;
    ForwardDone done_;
    TimePoint started_;
    std::set<UpstreamId> tried_;
    /// Attempts that may have run.
    std::uint32_t ran_ = 0;
    UpstreamId upstream_;
    HttpCallId call_ = 0;
    /// Number of the present attempt; answers of others are ignored.
    std::uint32_t attempt_ = 0;
    bool inFlight_ = false;
    LoopTimerId limitTimer_ = 0;
    LoopTimerId patienceTimer_ = 0;
    /// The last answer of an upstream that reported its own failure.
    std::optional<HttpResponse> failure_;
    std::uint32_t failures_ = 0;
  };

  void SendNext(ForwardId aId);
  void Send(ForwardId aId, Flight& aFlight, const BoardUpstream& aUpstream);
  [[nodiscard]] HttpCall MakeCall(const Flight& aFlight,
                                  const UpstreamEntry& aUpstream) const;
  void OnResult(ForwardId aId, std::uint32_t aAttempt, HttpResult aResult);
  void OnAnswer(ForwardId aId, Flight& aFlight, HttpResponse aResponse);
  void OnPatienceOver(ForwardId aId);
  void OnLimit(ForwardId aId);
  [[nodiscard]] bool MayRetry(const Flight& aFlight) const;
  /// The present attempt has ended.
  void EndAttempt(Flight& aFlight, CallVerdict aVerdict);
  /// Breaks off the present attempt.
  void Abandon(Flight& aFlight);
  void Finish(ForwardId aId, ForwardOutcome aOutcome);
  void GiveUp(ForwardId aId, int aStatus, std::string_view aWhy);
  [[nodiscard]] Duration Left(const Flight& aFlight) const;

  GatewayContext& host_;
  UpstreamBoard& board_;
  ForwardId last_ = 0;
  std::unordered_map<ForwardId, Flight> flights_;
};

/// Header fields that are passed on: all but those of one connection and
/// those that the proxy sets itself.
[[nodiscard]] HttpHeaders
PassedHeaders(const HttpHeaders& aHeaders, const WireNames& aNames);

/// @returns a refusal that says when to come back
[[nodiscard]] HttpResponse
RefusedResponse(std::string_view aWhy, Duration aComeBack);

} // namespace marjoramtally
