/// Simulated training steps on a fleet: results for trainers under several
/// policies.

#include "rollout_simulation.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

/// Runs the same simulation with several seeds and adds up the results.
SimulationResult
SimulateSeeds(SimulationSetup aSetup, std::int64_t aSeeds = 10)
{
  SimulationResult sum;
  for (std::int64_t seed = 1; seed <= aSeeds; ++seed) {
    aSetup.seed_ = static_cast<std::uint64_t>(seed);
    const SimulationResult result = RolloutSimulation(aSetup).Run();
    sum.steps_ += result.steps_;
    sum.onTime_ += result.onTime_;
    sum.meanStep_ += result.meanStep_ / aSeeds;
    sum.longestStep_ = std::max(sum.longestStep_, result.longestStep_);
    sum.groupsOnTime_ += result.groupsOnTime_;
    sum.loads_ += result.loads_;
  }
  return sum;
}

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

TEST_CASE("replicas of several models per upstream complete steps sooner")
{
  SimulationSetup setup;
  const SimulationResult shared = SimulateSeeds(setup);
  setup.plan_.maxReplicasPerUpstream_ = 1.0;
  const SimulationResult apart = SimulateSeeds(setup);
  WARN("mean step " << Seconds(apart.meanStep_)
                    << " s with one model per upstream, "
                    << Seconds(shared.meanStep_) << " s with 1.5; loads "
                    << apart.loads_ << " and " << shared.loads_);
  REQUIRE(shared.meanStep_ < apart.meanStep_ * 9 / 10);
  REQUIRE(shared.onTime_ == shared.steps_);
}

TEST_CASE("short of upstreams, finishing groups in turn completes more of them")
{
  SimulationSetup setup;
  setup.upstreams_ = 3;
  setup.trainers_ = { { 15, 8 }, { 30, 4 }, { 18, 4 } };
  const SimulationResult inTurn = SimulateSeeds(setup);
  setup.job_.slotShortageDelay_ = std::chrono::hours(1);
  const SimulationResult longestFirst = SimulateSeeds(setup);
  WARN("groups on time: " << longestFirst.groupsOnTime_
                          << " with the longest items first, "
                          << inTurn.groupsOnTime_ << " in turn; steps "
                          << longestFirst.onTime_ << " and " << inTurn.onTime_
                          << " of " << inTurn.steps_);
  REQUIRE(inTurn.groupsOnTime_ > longestFirst.groupsOnTime_ * 11 / 10);
}

namespace {

/// Eight trainers on 77 upstreams of six slots. An event takes 70 ms with one
/// run and 74 ms with six; steps hold 80 to 128 items of 6 to 13 events on
/// average and at most 93.
SimulationSetup
LargeFleet()
{
  SimulationSetup setup;
  setup.upstreams_ = 77;
  setup.zones_ = 5;
  setup.slots_ = 6;
  setup.eventMillis_ = 70.0;
  setup.slowdownOfRun_ = 0.011;
  setup.maxEvents_ = 93;
  setup.trainTime_ = std::chrono::milliseconds(500);
  setup.trainers_ = { { 14, 8, 9.75 }, { 5, 16, 6.75 }, { 13, 8, 9.75 },
                      { 8, 16, 8.25 }, { 6, 16, 4.5 },  { 8, 16, 8.25 },
                      { 6, 16, 9.75 }, { 6, 16, 4.5 } };
  return setup;
}

} // namespace

TEST_CASE("steps complete as soon on upstreams that registered in turn")
{
  constexpr std::int64_t kSeeds = 2;
  SimulationSetup setup = LargeFleet();
  const SimulationResult together = SimulateSeeds(setup, kSeeds);
  setup.registerInTurn_ = true;
  const SimulationResult inTurn = SimulateSeeds(setup, kSeeds);
  WARN("mean step " << Seconds(together.meanStep_) << " s, in turn "
                    << Seconds(inTurn.meanStep_) << " s; on time "
                    << together.onTime_ << " and " << inTurn.onTime_ << " of "
                    << inTurn.steps_);
  REQUIRE(inTurn.meanStep_ < together.meanStep_ * 11 / 10);
  REQUIRE(inTurn.onTime_ * 100 >= together.onTime_ * 95);
}
