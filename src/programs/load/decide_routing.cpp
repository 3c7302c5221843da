/// The scenario `routing`: one service on a mixed fleet, live callers and
/// three trainers, at several loads, with reports that lag one second.

#include "programs/load/offered_load.hpp"

namespace marjoramtally::bench {

namespace {

constexpr std::array<double, 3> kLoads{ 0.5, 0.9, 1.5 };

} // namespace

DecideRows
RunRoutingScenario(const DecideOptions& aOptions)
{
  std::vector<RoutePolicySpec> policies = BaselinePolicies();
  policies.push_back(OurPolicy());
  policies.insert(policies.end(), OurVariants().begin(), OurVariants().end());
  DecideRows rows;
  for (const double load : kLoads) {
    for (const RoutePolicySpec& policy : policies) {
      FleetSettings settings;
      settings.seed_ = aOptions.seed_;
      settings.olderSlowdown_ = kOlderSlowdown;
      Fleet fleet(settings, policy);
      OfferMixedLoad(fleet, settings, load);
      fleet.Run(aOptions.length_);
      rows.push_back(fleet.Row(policy.name_, load));
    }
  }
  return rows;
}

} // namespace marjoramtally::bench
