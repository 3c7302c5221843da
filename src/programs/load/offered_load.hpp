/// The load that the routing scenarios offer.
#pragma once

#include "programs/load/fleet.hpp"

namespace marjoramtally::bench {

/// Every third engine of the mixed fleet takes this many times longer.
inline constexpr double kOlderSlowdown = 1.5;

/// Adds bursty live callers and three trainers that together ask for a share
/// of the engines' measured peak.
void
OfferMixedLoad(Fleet& aFleet, const FleetSettings& aSettings, double aLoad);

} // namespace marjoramtally::bench
