/// Sends members of groups that run late a second time.
#pragma once

#include "programs/entryd/crash_guard.hpp"
#include "programs/entryd/in_flight_request.hpp"

namespace marjoramtally {

/// Hedges of one entry process. Not thread-safe: it belongs to the
/// dispatcher, under whose lock it and the flights are.
class Hedges
{
public:
  /// @param aRouter and `aCrashes` outlive the hedges
  Hedges(Router& aRouter, CrashGuard& aCrashes) noexcept
    : router_(aRouter)
    , crashes_(aCrashes)
  {
  }

  /// An attempt was put on the list of those in progress.
  void OnStarted(TicketId aTicket,
                 const InFlightRequest& aRequest,
                 double aExpectedTokens,
                 TimePoint aNow);
  /// A request was decided; its attempts still in progress are wasted.
  /// @param aTokens tokens generated, if the answer was whole
  void OnDecided(TicketId aTicket,
                 const InFlightRequest& aRequest,
                 std::optional<std::uint64_t> aTokens,
                 TimePoint aNow);
  /// A whole answer came after another.
  void OnWasted(std::uint64_t aTokens) noexcept
  {
    policy_.OnWasted(static_cast<double>(aTokens));
  }
  /// @param aIdle whether upstreams have capacity that nothing waits for
  /// @returns second attempts to send now; the router counts them as sent
  [[nodiscard]] std::vector<AttemptStart>
  Review(const InFlightRequests& aRequests, bool aIdle, TimePoint aNow);

private:
  /// @returns where to send a second attempt, or null
  [[nodiscard]] UpstreamPtr Pick(const InFlightRequest& aRequest,
                                 TimePoint aNow);

  Router& router_;
  CrashGuard& crashes_;
  StragglerPolicy policy_;
};

} // namespace marjoramtally
