/// The scenario `faults`: one of nine engines becomes ten times slower, or
/// crashes and restarts, at 70% load.

#include "programs/load/offered_load.hpp"

namespace marjoramtally::bench {

namespace {

constexpr double kLoad = 0.7;
constexpr double kSlowdown = 10;
constexpr EngineIndex kFaultyEngine{ 4 };
constexpr TimePoint kFaultStart{ std::chrono::seconds(30) };
constexpr TimePoint kFaultEnd{ std::chrono::seconds(70) };
/// The faulty engine's share of live requests is counted only from this long
/// after the fault, so that policies have time to react.
constexpr Duration kReactionTime = std::chrono::seconds(2);

/// One kind of fault and how to start and end it.
struct Fault
{
  std::string_view name_;
  void (*start_)(FakeEngine&);
  void (*end_)(FakeEngine&);
};

constexpr std::array<Fault, 2> kFaults{ {
  { "slow",
    [](FakeEngine& aEngine) { aEngine.SetSlowdown(kSlowdown); },
    [](FakeEngine& aEngine) { aEngine.SetSlowdown(1); } },
  { "crash",
    [](FakeEngine& aEngine) { aEngine.Crash(); },
    [](FakeEngine& aEngine) { aEngine.Restart(); } },
} };

/// Counts of the live requests that arrived during the fault.
struct LiveFaultCounts
{
  std::uint64_t live_ = 0;
  /// Late, refused or failed.
  std::uint64_t notInTime_ = 0;
  std::uint64_t afterReaction_ = 0;
  std::uint64_t atFaultyEngine_ = 0;

  void Count(const BenchOutcome& aOutcome)
  {
    const RequestSpec& spec = aOutcome.request_.spec_;
    if (spec.class_ != RequestClass::Live || spec.arrived_ < kFaultStart ||
        spec.arrived_ >= kFaultEnd) {
      return;
    }
    ++live_;
    notInTime_ += aOutcome.end_ == BenchEnd::Complete ? 0 : 1;
    if (spec.arrived_ >= kFaultStart + kReactionTime) {
      ++afterReaction_;
      atFaultyEngine_ += aOutcome.engine_ == kFaultyEngine ? 1 : 0;
    }
  }
};

double
Share(std::uint64_t aPart, std::uint64_t aTotal)
{
  return static_cast<double>(aPart) /
         static_cast<double>(std::max<std::uint64_t>(aTotal, 1));
}

DecideRow
RunFault(const DecideOptions& aOptions,
         const Fault& aFault,
         const RoutePolicySpec& aPolicy)
{
  FleetSettings settings;
  settings.seed_ = aOptions.seed_;
  Fleet fleet(settings, aPolicy);
  OfferMixedLoad(fleet, settings, kLoad);
  LiveFaultCounts counts;
  fleet.OnOutcome(
    [&](const BenchOutcome& aOutcome) { counts.Count(aOutcome); });
  fleet.Loop().At(kFaultStart,
                  [&] { aFault.start_(fleet.Engine(kFaultyEngine)); });
  fleet.Loop().At(kFaultEnd, [&] { aFault.end_(fleet.Engine(kFaultyEngine)); });
  fleet.Run(aOptions.length_);
  DecideRow row = fleet.Row(
    std::string(aFault.name_) + " " + std::string(aPolicy.name_), kLoad);
  row.liveLateShare_ = Share(counts.notInTime_, counts.live_);
  row.slowShare_ = Share(counts.atFaultyEngine_, counts.afterReaction_);
  return row;
}

} // namespace

DecideRows
RunFaultsScenario(const DecideOptions& aOptions)
{
  std::vector<RoutePolicySpec> policies = BaselinePolicies();
  policies.push_back(LibraryPolicy());
  DecideRows rows;
  for (const Fault& fault : kFaults) {
    for (const RoutePolicySpec& policy : policies) {
      rows.push_back(RunFault(aOptions, fault, policy));
    }
  }
  return rows;
}

} // namespace marjoramtally::bench
