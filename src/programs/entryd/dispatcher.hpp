/// Takes requests through queue, routing and attempts to their outcome.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/process.hpp"
#include "marjoramtally/request.hpp"
#include "programs/entryd/attempt_sink.hpp"
#include "programs/entryd/crash_guard.hpp"
#include "programs/entryd/request_measures.hpp"

#include <unordered_map>

namespace marjoramtally {

/// The HTTP message to send to whichever upstream is chosen.
struct UpstreamMessage
{
  std::string method_;
  /// Path and query.
  std::string target_;
  HttpHeaders headers_;
  std::string body_;
  /// Takes the answer piece by piece, if set; the result has no body then.
  std::shared_ptr<AttemptSink> sink_{};
};

/// What became of a request.
struct DispatchResult
{
  Outcome outcome_ = Outcome::RefusedNotRun;
  /// Set if completed.
  HttpResponse response_;
  UpstreamId upstream_;
  /// Why it was not completed, for people.
  std::string reason_;
  /// Whether it was its deadline that ended it.
  bool late_ = false;
  /// When sending it again makes sense.
  Duration retryAfter_ = std::chrono::seconds(1);
};

using DispatchDone = std::function<void(DispatchResult)>;
/// Judges a whole response: does it prove that the answer is complete?
using ResponseJudge = std::function<AttemptEnd(const HttpResponse&)>;

/// The dispatcher of one entry process. Thread-safe.
class Dispatcher
{
public:
  explicit Dispatcher(Host& aHost);

  /// Starts to refresh upstreams and their reports.
  void Start();
  /// Takes one request to its outcome; `aDone` is called exactly once.
  void Submit(RequestSpec aSpec,
              UpstreamMessage aMessage,
              TraceContext aTrace,
              ResponseJudge aJudge,
              DispatchDone aDone);
  /// @returns requests not yet finished
  [[nodiscard]] std::size_t Unfinished() const;
  [[nodiscard]] bool KnowsService(const ServiceId& aService) const;
  /// Suspicions that entries share.
  [[nodiscard]] CrashGuard& Crashes() noexcept { return crashes_; }

private:
  /// An attempt in progress.
  struct Sent
  {
    UpstreamId upstream_;
    TimePoint at_;
    /// Set once the client has taken it.
    std::optional<HttpCallId> call_;
  };
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
    std::vector<Sent> sent_{};
    /// Whether a whole answer was taken; later ones are dropped.
    bool won_ = false;
  };
  using FlightPtr = std::shared_ptr<Flight>;

  void TakeView(const ClusterViewPtr& aView);
  void PollReports();
  void PollReport(const UpstreamView& aUpstream);
  /// Takes over the rules' limits of classes, trainers and services.
  void TakeLimits(const Rules& aRules,
                  const std::vector<UpstreamView>& aUpstreams);
  /// Dispatches what may go now, of all services or of one.
  void Pump();
  void PumpService(const ServiceId& aService);
  void Refuse(TicketId aTicket,
              const FlightPtr& aFlight,
              const AdmissionVerdict& aVerdict);
  void Expire();
  void SendAttempt(TicketId aTicket,
                   const FlightPtr& aFlight,
                   const UpstreamView& aUpstream);
  /// Sends members of groups that run late a second time.
  void HedgeStragglers();
  /// Takes an attempt off the list of those in progress.
  [[nodiscard]] static Sent TakeSent(Flight& aFlight,
                                     const UpstreamId& aUpstream);
  /// Records an attempt's end; the lock is held.
  /// @returns whether it decides the request, which then has no other attempt
  /// in progress but those to be cancelled
  [[nodiscard]] bool Decides(Flight& aFlight,
                             const UpstreamId& aUpstream,
                             const HttpResult& aResult,
                             AttemptEnd aEnd);
  void EndAttempt(TicketId aTicket,
                  const FlightPtr& aFlight,
                  const UpstreamView& aUpstream,
                  HttpResult aResult);
  void Finish(TicketId aTicket,
              const FlightPtr& aFlight,
              DispatchResult aResult);
  /// Ends a request whose fingerprint is quarantined.
  /// @returns whether it was
  bool FinishIfQuarantined(TicketId aTicket, const FlightPtr& aFlight);
  /// Decides what follows an attempt, within the retry budget.
  [[nodiscard]] NextStep NextAfter(Flight& aFlight, AttemptEnd aEnd);

  Host& host_;
  RequestMeasures measures_{ host_.Measures() };
  mutable std::mutex mutex_;
  Router router_;
  PollPlan polls_;
  Admission admission_;
  StragglerPolicy stragglers_;
  RetryBudget retries_;
  CrashGuard crashes_;
  std::unordered_map<TicketId, FlightPtr> flights_;
  std::uint64_t lastTicket_ = 0;
};

} // namespace marjoramtally
