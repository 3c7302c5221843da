/// The scenario `routing`: one service on engines of different speed, with
/// live callers and three trainers, at several loads and with reports that are
/// one second old.

#include "programs/load/offered_load.hpp"
#include "programs/load/queue_variants.hpp"

#include <algorithm>

namespace marjoramtally::bench {

namespace {

constexpr std::array<double, 3> kLoads{ 0.5, 0.9, 1.5 };

/// Requests that one entry may have in flight: its share of the batches of
/// nine engines.
constexpr std::uint64_t kEntrySlots = 9 * kSlotsPerEngine;

std::unique_ptr<QueuePolicy>
MakeAdmission()
{
  return MakeAdmissionQueue({ "admission", {}, kEntrySlots }, {});
}

DecideRow
RunOnce(const DecideOptions& aOptions,
        const RoutePolicySpec& aPolicy,
        const Fleet::MakeQueue& aMakeQueue,
        double aLoad)
{
  FleetSettings settings;
  settings.seed_ = aOptions.seed_;
  settings.olderSlowdown_ = kOlderSlowdown;
  Fleet fleet(settings, aPolicy, aMakeQueue);
  OfferMixedLoad(fleet, settings, aLoad);
  fleet.Run(aOptions.length_);
  DecideRow row = fleet.Row(aPolicy.name_, aLoad);
  const Duration measured = fleet.Loop().Now() - settings.measureFrom_;
  row.goodputShare_ = static_cast<double>(fleet.Measures().usefulTokens_) /
                      static_cast<double>(measured.count());
  return row;
}

/// Divides the goodput of each row by the best one.
void
ScaleGoodput(DecideRows& aRows)
{
  double best = 0;
  for (const DecideRow& row : aRows) {
    best = std::max(best, row.goodputShare_.value_or(0));
  }
  for (DecideRow& row : aRows) {
    row.goodputShare_ = row.goodputShare_.value_or(0) / best;
  }
}

} // namespace

DecideRows
RunRoutingScenario(const DecideOptions& aOptions)
{
  std::vector<RoutePolicySpec> policies = BaselinePolicies();
  policies.push_back(LibraryPolicy());
  policies.insert(
    policies.end(), LibraryVariants().begin(), LibraryVariants().end());
  DecideRows rows;
  for (const double load : kLoads) {
    for (const RoutePolicySpec& policy : policies) {
      rows.push_back(RunOnce(aOptions, policy, MakeClassQueue, load));
    }
    rows.push_back(RunOnce(aOptions, LibraryPolicy(), MakeAdmission, load));
    rows.back().policy_ = "ours-and-admission";
  }
  ScaleGoodput(rows);
  return rows;
}

} // namespace marjoramtally::bench
