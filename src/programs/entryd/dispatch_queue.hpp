/// The requests that wait for an upstream, and which of them start now.
#pragma once

#include "programs/entryd/crash_guard.hpp"
#include "programs/entryd/in_flight_request.hpp"

namespace marjoramtally {

/// A request that waited too long.
struct ExpiredRequest
{
  TicketId ticket_;
  InFlightRequestPtr request_;
  /// Expected time in the queue.
  Duration wait_{ 0 };
};

/// Queue of one entry process. Not thread-safe: it belongs to the
/// dispatcher, under whose lock it and the flights are.
class DispatchQueue
{
public:
  /// @param aRouter and `aCrashes` outlive the queue
  DispatchQueue(Router& aRouter, CrashGuard& aCrashes) noexcept
    : router_(aRouter)
    , crashes_(aCrashes)
  {
  }

  /// Takes over the rules' limits of classes, trainers and services.
  void UpdateLimits(const Rules& aRules,
                    const std::vector<UpstreamView>& aUpstreams);
  /// Takes a new request, or says why not.
  [[nodiscard]] AdmissionVerdict Enqueue(TicketId aTicket,
                                         const RequestSpec& aSpec,
                                         TimePoint aNow)
  {
    return admission_.Enqueue({ aTicket, aSpec }, aNow);
  }
  /// Puts a request that is to be sent again before all of its class.
  void EnqueueFront(TicketId aTicket, const RequestSpec& aSpec, TimePoint aNow)
  {
    admission_.EnqueueFront({ aTicket, aSpec }, aNow);
  }
  /// @returns attempts of a service's requests to send now, which the router
  /// counts as sent
  [[nodiscard]] std::vector<AttemptStart> PickStarts(
    const ServiceId& aService,
    const InFlightRequests& aRequests,
    TimePoint aNow);
  /// Removes and returns requests that can no longer meet their deadline.
  [[nodiscard]] std::vector<ExpiredRequest> TakeExpired(
    const InFlightRequests& aRequests,
    TimePoint aNow);
  /// Ends a request that was started.
  /// @param aTokens tokens generated, if the answer was whole
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
  /// @returns tokens that such a request is expected to generate
  [[nodiscard]] double ExpectedTokens(const RequestSpec& aSpec) const
  {
    return admission_.ExpectedTokens(aSpec);
  }

private:
  Router& router_;
  CrashGuard& crashes_;
  Admission admission_;
};

} // namespace marjoramtally
