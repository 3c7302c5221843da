/// The load of the routing scenarios.
#pragma once

#include "programs/load/fleet.hpp"

namespace marjoramtally::bench {

/// Factor on the step times of every third engine in a mixed fleet.
inline constexpr double kOlderSlowdown = 1.5;

/// Adds bursty live callers and three trainers.
/// @param aLoad total load relative to the engines' measured peak
void
OfferMixedLoad(Fleet& aFleet, const FleetSettings& aSettings, double aLoad);

} // namespace marjoramtally::bench
