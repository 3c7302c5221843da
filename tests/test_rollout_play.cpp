/// Training steps played on a fleet: what trainers get by which policy.

#include "rollout_play.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

/// The same play under ten seeds, added up.
PlayOutcome
PlaySeeds(PlaySetup aSetup)
{
  constexpr std::int64_t kSeeds = 10;
  PlayOutcome sum;
  for (std::int64_t seed = 1; seed <= kSeeds; ++seed) {
    aSetup.seed_ = static_cast<std::uint64_t>(seed);
    const PlayOutcome outcome = RolloutPlay(aSetup).Run();
    sum.steps_ += outcome.steps_;
    sum.onTime_ += outcome.onTime_;
    sum.meanStep_ += outcome.meanStep_ / kSeeds;
    sum.longestStep_ = std::max(sum.longestStep_, outcome.longestStep_);
    sum.groupsOnTime_ += outcome.groupsOnTime_;
    sum.loads_ += outcome.loads_;
  }
  return sum;
}

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

TEST_CASE("shared homes make steps whole sooner for few more loads")
{
  PlaySetup setup;
  const PlayOutcome shared = PlaySeeds(setup);
  setup.plan_.mostHomes_ = 1.0;
  const PlayOutcome apart = PlaySeeds(setup);
  WARN("mean step " << Seconds(apart.meanStep_) << " s with one home, "
                    << Seconds(shared.meanStep_) << " s with 1.5; loads "
                    << apart.loads_ << " and " << shared.loads_);
  REQUIRE(shared.meanStep_ < apart.meanStep_ * 9 / 10);
  REQUIRE(shared.onTime_ == shared.steps_);
}

TEST_CASE(
  "short of upstreams, finishing groups in turn makes more of them whole")
{
  PlaySetup setup;
  setup.upstreams_ = 3;
  setup.trainers_ = { { 15, 8 }, { 30, 4 }, { 18, 4 } };
  const PlayOutcome inTurn = PlaySeeds(setup);
  setup.job_.shortOfPlaces_ = std::chrono::hours(1);
  const PlayOutcome longestFirst = PlaySeeds(setup);
  WARN("groups on time: " << longestFirst.groupsOnTime_
                          << " with the longest items first, "
                          << inTurn.groupsOnTime_ << " in turn; steps "
                          << longestFirst.onTime_ << " and " << inTurn.onTime_
                          << " of " << inTurn.steps_);
  REQUIRE(inTurn.groupsOnTime_ > longestFirst.groupsOnTime_ * 11 / 10);
}
