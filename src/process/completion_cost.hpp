/// Expected time to completion of a request at an upstream.
#pragma once

#include "marjoramtally/process/router.hpp"
#include "process/routing_snapshot.hpp"

namespace marjoramtally {

/// @returns units of work that a request takes at this load: tokens times
/// the requests that a step works through
[[nodiscard]] double
WorkUnits(double aTokens, double aLoad) noexcept;

/// @returns requests expected at the upstream
[[nodiscard]] double
ExpectedLoad(const RoutedUpstream& aUpstream,
             const RouterTuning& aTuning,
             TimePoint aNow) noexcept;

/// @param aCachedTrust trust, from 0 to 1, that the prefix is cached there
/// @returns microseconds, with the delay that its prefill brings to others
[[nodiscard]] double
CompletionCost(const RoutedUpstream& aUpstream,
               const RequestSpec& aRequest,
               double aCachedTrust,
               bool aRemote,
               const RouterTuning& aTuning,
               TimePoint aNow) noexcept;

} // namespace marjoramtally
