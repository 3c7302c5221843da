/// The scenario `herding`: few and many entries act on the same delayed
/// reports, with different numbers of candidates, with and without cost jitter
/// and correction of the reports.

#include "programs/load/offered_load.hpp"

namespace marjoramtally::bench {

namespace {

constexpr double kLoad = 0.9;
constexpr std::array<std::size_t, 2> kEntries{ 6, 36 };

} // namespace

DecideRows
RunHerdingScenario(const DecideOptions& aOptions)
{
  std::vector<RoutePolicySpec> policies = BaselinePolicies();
  policies.insert(
    policies.end(), HerdingVariants().begin(), HerdingVariants().end());
  DecideRows rows;
  for (const std::size_t entries : kEntries) {
    for (const RoutePolicySpec& policy : policies) {
      FleetSettings settings;
      settings.seed_ = aOptions.seed_;
      settings.olderSlowdown_ = kOlderSlowdown;
      settings.entries_ = entries;
      Fleet fleet(settings, policy);
      OfferMixedLoad(fleet, settings, kLoad);
      fleet.Run(aOptions.length_);
      rows.push_back(fleet.Row(
        std::to_string(entries) + " " + std::string(policy.name_), kLoad));
    }
  }
  return rows;
}

} // namespace marjoramtally::bench
