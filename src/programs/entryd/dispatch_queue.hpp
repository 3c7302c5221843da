/// Requests that wait for an upstream, and the choice of those to start.
#pragma once

#include "programs/entryd/crash_guard.hpp"
#include "programs/entryd/in_flight_request.hpp"

namespace marjoramtally {

/// A request that expired in the queue.
struct ExpiredRequest
{
  TicketId ticket_;
  InFlightRequestPtr request_;
  /// Expected time in the queue.
  Duration wait_{ 0 };
};

/// Queue of one entry process. Not thread-safe: the dispatcher's lock guards
/// the queue and the requests in flight.
class DispatchQueue
{
public:
  /// @param aRouter must outlive the queue, as must `aCrashGuard`
  DispatchQueue(Router& aRouter, CrashGuard& aCrashGuard) noexcept
    : router_(aRouter)
    , crashGuard_(aCrashGuard)
  {
  }

  /// Applies the rules' limits of classes and trainers, and the capacity of the
  /// services' upstreams.
  void UpdateLimits(const Rules& aRules,
                    const std::vector<UpstreamView>& aUpstreams);
  /// Enqueues a new request, unless its queue is full or it would miss its
  /// deadline.
  [[nodiscard]] AdmissionVerdict Enqueue(TicketId aTicket,
                                         const RequestSpec& aSpec,
                                         TimePoint aNow)
  {
    return admission_.Enqueue({ aTicket, aSpec }, aNow);
  }
  /// Enqueues a request that is sent again, ahead of all others of its class.
  void EnqueueFront(TicketId aTicket, const RequestSpec& aSpec, TimePoint aNow)
  {
    admission_.EnqueueFront({ aTicket, aSpec }, aNow);
  }
  /// @returns attempts of a service's requests to send now; the router already
  /// counts them as sent
  [[nodiscard]] std::vector<AttemptStart> PickStarts(
    const ServiceId& aService,
    const InFlightRequests& aRequests,
    TimePoint aNow);
  /// Removes and returns the requests that can no longer meet their deadline.
  [[nodiscard]] std::vector<ExpiredRequest> TakeExpired(
    const InFlightRequests& aRequests,
    TimePoint aNow);
  /// Ends a request that was started.
  /// @param aTokens generated tokens, if the answer was complete
  void Complete(TicketId aTicket,
                std::optional<std::uint64_t> aTokens,
                TimePoint aNow)
  {
    admission_.Complete(aTicket, aTokens, aNow);
  }
  /// @returns services with waiting requests
  [[nodiscard]] std::vector<ServiceId> Waiting() const
  {
    return admission_.Waiting();
  }
  [[nodiscard]] bool empty() const noexcept { return admission_.size() == 0; }
  /// @returns expected number of tokens that the request generates
  [[nodiscard]] double ExpectedTokens(const RequestSpec& aSpec) const
  {
    return admission_.ExpectedTokens(aSpec);
  }

private:
  Router& router_;
  CrashGuard& crashGuard_;
  Admission admission_;
};

} // namespace marjoramtally
