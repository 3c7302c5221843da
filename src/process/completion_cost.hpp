/// Expected time to completion of a request at an upstream.
#pragma once

#include "marjoramtally/process/router.hpp"
#include "process/routing_snapshot.hpp"

namespace marjoramtally {

/// @returns units of work of a request at this load: tokens times the duration
/// of a decoding step, in units of the time that one sequence adds to a step
[[nodiscard]] double
WorkUnits(double aTokens, double aLoad) noexcept;

/// @returns expected number of requests at the upstream
[[nodiscard]] double
ExpectedLoad(const RoutedUpstream& aUpstream,
             const RouterTuning& aTuning,
             TimePoint aNow) noexcept;

/// @param aCachedTrust trust, between 0 and 1, that the prefix is cached there
/// @param aRemote whether the upstream is in another zone
/// @returns microseconds, including the delay of other requests by the prefill
[[nodiscard]] double
CompletionCost(const RoutedUpstream& aUpstream,
               const RequestSpec& aRequest,
               double aCachedTrust,
               bool aRemote,
               const RouterTuning& aTuning,
               TimePoint aNow) noexcept;

} // namespace marjoramtally
