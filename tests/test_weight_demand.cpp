/// Replicas and loads of models compared with the demand of their items.

#include "plan_fleet.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };

/// Trainers that announce a version every 4 s, in turn, and a fleet that loads
/// them.
struct DemandSimulation
{
  static constexpr int kModels = 4;
  static constexpr std::uint64_t kBurst = 240;
  static constexpr std::uint32_t kSlots = 6;
  /// Ticks of 100 ms.
  static constexpr int kLoadTicks = 11;
  static constexpr int kVersionTicks = 40;

  WeightPlan plan_;
  /// Whether the demand is polled, or only the largest burst is recorded.
  bool polled_ = true;
  std::vector<PlanUpstream> fleet_;
  std::map<UpstreamId, std::size_t> indexes_;
  std::map<std::size_t, std::pair<PlannedLoad, int>> loading_;
  std::size_t loads_ = 0;

  explicit DemandSimulation(int aUpstreams, bool aPolled = true)
    : polled_(aPolled)
    , fleet_(MakeFleet(aUpstreams, kModels))
  {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_[i].slots_ = kSlots;
      fleet_[i].zone_ = ZoneId{ "z" + std::to_string(i % 3) };
      indexes_[fleet_[i].id_] = i;
    }
  }

  void Tick(int aTick)
  {
    const TimePoint now = kStart + std::chrono::milliseconds(100 * aTick);
    for (int model = 0; model < kModels; ++model) {
      const std::string name = "m" + std::to_string(model);
      if (aTick % 10 == 0 && polled_) {
        plan_.OnDemand(name, kBurst, now);
      }
      if (aTick == 0 && !polled_) {
        plan_.OnBurst(name, kBurst);
      }
      if (aTick % kVersionTicks == 10 * model) {
        plan_.OnVersionAnnounced(name, NewestAt(aTick, model), now);
      }
    }
    for (auto it = loading_.begin(); it != loading_.end();) {
      const auto& [load, until] = it->second;
      if (until > aTick) {
        ++it;
        continue;
      }
      PlanUpstream& upstream = fleet_[it->first];
      upstream.versions_[load.model_] = load.version_;
      upstream.busy_ = false;
      plan_.OnLoaded(std::chrono::milliseconds(100 * kLoadTicks), now);
      it = loading_.erase(it);
    }
    const std::vector<PlannedLoad> loads = plan_.Next(fleet_);
    plan_.OnOrdered(now);
    for (const PlannedLoad& load : loads) {
      const std::size_t index = indexes_.at(load.upstream_);
      fleet_[index].busy_ = true;
      loading_[index] = { load, aTick + kLoadTicks };
      ++loads_;
    }
  }

  [[nodiscard]] static WeightVersion NewestAt(int aTick, int aModel)
  {
    const int named = (aTick - 10 * aModel) / kVersionTicks;
    return WeightVersion{ 2 + static_cast<std::uint64_t>(named) };
  }

  /// @returns the slots of upstreams outside zone `aLost` that can serve the
  /// newest step of a model
  [[nodiscard]] std::uint64_t UsableSlots(int aTick,
                                          int aModel,
                                          const ZoneId& aLost) const
  {
    std::uint64_t slots = 0;
    for (const PlanUpstream& upstream : fleet_) {
      const WeightVersion held =
        upstream.versions_.at("m" + std::to_string(aModel));
      const bool fits = held.Get() + 1 >= NewestAt(aTick, aModel).Get();
      slots += fits && upstream.zone_ != aLost ? kSlots : 0;
    }
    return slots;
  }
};

} // namespace

// The number of replicas grew with the fleet: with 3,000 upstreams a version
// was ordered for some hundred of them, for bursts that need forty. The holder
// of the duty sent two hundred orders per second, and the weight store served
// loads that no item needed.
TEST_CASE("the number of loads follows demand, not the size of the fleet")
{
  constexpr int kTicks = 400;
  const bool polled = GENERATE(true, false);
  CAPTURE(polled);
  const auto loadsOf = [polled](int aUpstreams) {
    DemandSimulation simulation(aUpstreams, polled);
    for (int tick = 0; tick < kTicks; ++tick) {
      simulation.Tick(tick);
    }
    return simulation.loads_;
  };
  const std::size_t few = loadsOf(600);
  const std::size_t many = loadsOf(3000);
  REQUIRE(few > 0);
  REQUIRE(many <= few + few / 5);
}

TEST_CASE("a burst finds its slots whichever zone is lost")
{
  const int upstreams = GENERATE(600, 3000);
  const int lost = GENERATE(0, 1, 2);
  DemandSimulation simulation(upstreams, GENERATE(true, false));
  // Ten versions; every upstream can serve the first one.
  for (int tick = 0; tick < 10 * DemandSimulation::kVersionTicks; ++tick) {
    simulation.Tick(tick);
    for (int model = 0; model < DemandSimulation::kModels; ++model) {
      // Steps begin a while after their version was announced.
      const int since = (tick - 10 * model) % DemandSimulation::kVersionTicks;
      if (tick >= 10 * model && since > 2 * DemandSimulation::kLoadTicks) {
        CAPTURE(tick, model);
        REQUIRE(simulation.UsableSlots(
                  tick, model, ZoneId{ "z" + std::to_string(lost) }) >=
                DemandSimulation::kBurst);
      }
    }
  }
}
