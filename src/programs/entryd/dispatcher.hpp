/// Dispatches requests: queueing, routing, attempts, retries and hedges.
#pragma once

#include "daemon/host.hpp"
#include "programs/entryd/dispatch_queue.hpp"
#include "programs/entryd/hedges.hpp"
#include "programs/entryd/report_poller.hpp"
#include "programs/entryd/request_metrics.hpp"

namespace marjoramtally {

/// The dispatcher of one entry process. Thread-safe.
///
/// One lock guards the queue, the hedges, the retry budget, the map of requests
/// in flight and their mutable members. Each member function takes the lock
/// itself, except those documented to be called with the lock held. The router,
/// the crash guard, the report poller and the metrics are thread-safe and never
/// call back, so they are called with or without the lock. Callers' callbacks,
/// the HTTP client and traces are only called without the lock; of a sink, only
/// `IsAbandoned` is called with it.
class Dispatcher
{
public:
  explicit Dispatcher(Host& aHost);

  /// Starts the periodic work: refreshes of upstreams, polls of their reports,
  /// dispatch, expiry and hedging.
  void Start();
  /// Dispatches one request; `aDone` is called exactly once.
  void Submit(RequestSpec aSpec,
              UpstreamMessage aMessage,
              TraceContext aTrace,
              ResponseClassifier aClassify,
              DispatchDone aDone);
  /// @returns number of requests that are not finished
  [[nodiscard]] std::size_t Unfinished() const;
  [[nodiscard]] bool KnowsService(const ServiceId& aService) const;
  /// @returns the crash guard, which handles suspicions of other entry
  /// instances
  [[nodiscard]] CrashGuard& GetCrashGuard() noexcept { return crashGuard_; }

private:
  /// What follows from an attempt that ends its request or causes a retry.
  struct Decision
  {
    NextStep next_ = NextStep::Retry;
    /// Attempts still in progress that are no longer needed.
    std::vector<SentAttempt> toCancel_{};
  };

  void ApplyView(const ClusterViewPtr& aView);
  [[nodiscard]] TicketId AddRequest(const InFlightRequestPtr& aRequest);
  void Refuse(TicketId aTicket,
              const InFlightRequestPtr& aRequest,
              const AdmissionVerdict& aVerdict);
  void Expire();
  /// Sends the waiting requests of all services for which an upstream has
  /// capacity.
  void DispatchWaiting();
  /// The same for one service.
  void DispatchService(const ServiceId& aService);
  void HedgeStragglers();
  void SendAttempt(const AttemptStart& aStart);
  /// Adds attempts to their requests' lists of attempts in progress. Called
  /// with the lock held since they were chosen, so that the end of another
  /// attempt of the same request finds them.
  void RecordStarts(const std::vector<AttemptStart>& aStarts);
  void RecordCall(const AttemptStart& aStart, HttpCallId aCall);
  void EndAttempt(const AttemptStart& aStart, HttpResult aResult);
  /// Records the end of an attempt.
  /// @param aVerdict whether the quarantine lets its request run again
  /// @param aResult receives the reason if it does not
  /// @returns what follows, or nothing if the request is already answered or
  /// another of its attempts is in progress
  [[nodiscard]] std::optional<Decision> Decide(
    const AttemptStart& aStart,
    AttemptEnd aEnd,
    const QuarantineVerdict& aVerdict,
    HttpResult& aResult);
  /// Reports the end of an attempt to the router. Called with the lock held.
  void ReportToRouter(const AttemptStart& aStart,
                      AttemptEnd aEnd,
                      const HttpResult& aResult);
  /// Decides what follows an attempt, subject to the retry budget and the
  /// quarantine. Called with the lock held.
  [[nodiscard]] NextStep ChooseNextStep(InFlightRequest& aRequest,
                                        AttemptEnd aEnd,
                                        const QuarantineVerdict& aVerdict,
                                        HttpResult& aResult);
  void Finish(TicketId aTicket,
              const InFlightRequestPtr& aRequest,
              DispatchResult aResult);
  /// Finishes a request if its fingerprint is quarantined.
  /// @returns whether it is
  bool FinishIfQuarantined(TicketId aTicket,
                           const InFlightRequestPtr& aRequest);

  Host& host_;
  RequestMetrics requestMetrics_{ host_.Measures() };
  Router router_;
  CrashGuard crashGuard_;
  ReportPoller reports_;
  mutable std::mutex mutex_;
  DispatchQueue queue_;
  Hedges hedges_;
  RetryBudget retries_;
  InFlightRequests requests_;
  std::uint64_t lastTicket_ = 0;
};

} // namespace marjoramtally
