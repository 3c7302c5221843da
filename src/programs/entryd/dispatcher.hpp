/// Takes requests through queue, routing and attempts to their outcome.
#pragma once

#include "daemon/host.hpp"
#include "programs/entryd/dispatch_queue.hpp"
#include "programs/entryd/hedges.hpp"
#include "programs/entryd/report_poller.hpp"
#include "programs/entryd/request_metrics.hpp"

namespace marjoramtally {

/// The dispatcher of one entry process. Thread-safe.
///
/// One lock guards the queue, the hedges, the retry budget, the flights and
/// what changes in a flight. Each member function takes it itself, but for
/// those marked, which are called with it held. Router, crash guard, report
/// poller and measures are thread-safe: they are called with the lock held or
/// not, and never call back. Callers' callbacks, the HTTP client and traces
/// are only called without it; of a sink, only `IsAbandoned` is called with it.
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
              ResponseClassifier aClassify,
              DispatchDone aDone);
  /// @returns requests not yet finished
  [[nodiscard]] std::size_t Unfinished() const;
  [[nodiscard]] bool KnowsService(const ServiceId& aService) const;
  /// Suspicions that entries share.
  [[nodiscard]] CrashGuard& Crashes() noexcept { return crashes_; }

private:
  /// What follows from an attempt that decides its request.
  struct Decision
  {
    NextStep next_ = NextStep::Retry;
    /// Attempts to be cancelled.
    std::vector<SentAttempt> toCancel_{};
  };

  void ApplyView(const ClusterViewPtr& aView);
  [[nodiscard]] TicketId AddRequest(const InFlightRequestPtr& aRequest);
  void Refuse(TicketId aTicket,
              const InFlightRequestPtr& aRequest,
              const AdmissionVerdict& aVerdict);
  void Expire();
  /// Dispatches what may go now, of all services or of one.
  void DispatchWaiting();
  void DispatchService(const ServiceId& aService);
  void HedgeStragglers();
  void SendAttempt(const AttemptStart& aStart);
  /// Puts attempts on the lists of those in progress. The lock that chose
  /// them is still held, so that the end of another attempt sees them.
  void RecordStarts(const std::vector<AttemptStart>& aStarts);
  void RecordCall(const AttemptStart& aStart, HttpCallId aCall);
  void EndAttempt(const AttemptStart& aStart, HttpResult aResult);
  /// Records an attempt's end.
  /// @param aVerdict whether its request may run again
  /// @param aResult gets the reason if it may not
  /// @returns what follows, if it decides the request
  [[nodiscard]] std::optional<Decision> Decide(
    const AttemptStart& aStart,
    AttemptEnd aEnd,
    const QuarantineVerdict& aVerdict,
    HttpResult& aResult);
  /// Tells the router how an attempt ended; the lock is held.
  void ReportToRouter(const AttemptStart& aStart,
                      AttemptEnd aEnd,
                      const HttpResult& aResult);
  /// Decides what follows an attempt, within the retry budget and the
  /// quarantine; the lock is held.
  [[nodiscard]] NextStep ChooseNextStep(InFlightRequest& aRequest,
                                        AttemptEnd aEnd,
                                        const QuarantineVerdict& aVerdict,
                                        HttpResult& aResult);
  void Finish(TicketId aTicket,
              const InFlightRequestPtr& aRequest,
              DispatchResult aResult);
  /// Ends a request whose fingerprint is quarantined.
  /// @returns whether it was
  bool FinishIfQuarantined(TicketId aTicket,
                           const InFlightRequestPtr& aRequest);

  Host& host_;
  RequestMetrics requestMetrics_{ host_.Measures() };
  Router router_;
  CrashGuard crashes_;
  ReportPoller reports_;
  mutable std::mutex mutex_;
  DispatchQueue queue_;
  Hedges hedges_;
  RetryBudget retries_;
  InFlightRequests requests_;
  std::uint64_t lastTicket_ = 0;
};

} // namespace marjoramtally
