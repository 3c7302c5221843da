/// Sends late members of groups a second time (hedged requests).
#pragma once

#include "programs/entryd/crash_guard.hpp"
#include "programs/entryd/in_flight_request.hpp"

namespace marjoramtally {

/// Hedges of one entry process. Not thread-safe: the dispatcher's lock guards
/// the hedges and the requests in flight.
class Hedges
{
public:
  /// @param aRouter must outlive the hedges, as must `aCrashGuard`
  Hedges(Router& aRouter, CrashGuard& aCrashGuard) noexcept
    : router_(aRouter)
    , crashGuard_(aCrashGuard)
  {
  }

  /// Handles an attempt that was added to the attempts in progress.
  void OnStarted(TicketId aTicket,
                 const InFlightRequest& aRequest,
                 double aExpectedTokens,
                 TimePoint aNow);
  /// Handles the end of a request or of its current attempts before a retry;
  /// attempts still in progress count as wasted.
  /// @param aTokens generated tokens, if the answer was complete
  void OnDecided(TicketId aTicket,
                 const InFlightRequest& aRequest,
                 std::optional<std::uint64_t> aTokens,
                 TimePoint aNow);
  /// Records a complete answer that arrived after another one.
  void OnWasted(std::uint64_t aTokens) noexcept
  {
    policy_.OnWasted(static_cast<double>(aTokens));
  }
  /// @param aIdle whether upstreams have capacity for which no request waits
  /// @returns second attempts to send now; the router already counts them as
  /// sent
  [[nodiscard]] std::vector<AttemptStart>
  Review(const InFlightRequests& aRequests, bool aIdle, TimePoint aNow);

private:
  /// @returns the upstream for a second attempt, or null
  [[nodiscard]] UpstreamPtr Pick(const InFlightRequest& aRequest,
                                 TimePoint aNow);

  Router& router_;
  CrashGuard& crashGuard_;
  StragglerPolicy policy_;
};

} // namespace marjoramtally
