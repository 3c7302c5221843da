/// A fleet for tests of weight plans.
#pragma once

#include "marjoramtally/process.hpp"

namespace marjoramtally::test {

/// @returns upstreams that hold the first version of all models
inline std::vector<PlanUpstream>
MakeFleet(int aUpstreams, int aModels)
{
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < aUpstreams; ++i) {
    PlanUpstream upstream;
    upstream.id_ = UpstreamId{ "u" + std::to_string(i) };
    upstream.service_ = ServiceId{ "svc" };
    upstream.zone_ = ZoneId{ "z" + std::to_string(i % 5) };
    for (int model = 0; model < aModels; ++model) {
      upstream.versions_["m" + std::to_string(model)] = WeightVersion{ 1 };
    }
    fleet.push_back(std::move(upstream));
  }
  return fleet;
}

} // namespace marjoramtally::test
