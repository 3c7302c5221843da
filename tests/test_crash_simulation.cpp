/// Runs the simulation of a crashing request with a fixed range of seeds.

#include "crash_simulation.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

/// Late runs of the crashing request that are allowed.
constexpr int kMaxLate = 3;
constexpr std::uint64_t kSeeds = 40;
/// Scoring calls in a burst: little load, and about as much as fits.
constexpr std::size_t kBursts[] = { 100, 300 };

/// @returns the value of an environment variable, else the default; further
/// seeds are run by hand
std::uint64_t
NumberFrom(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

template<typename Check>
void
SimulateAll(bool aTrustedScores, Check aCheck)
{
  const std::uint64_t first = NumberFrom("CRASH_FIRST", 1);
  const std::uint64_t seeds = NumberFrom("CRASH_SEEDS", kSeeds);
  for (const std::size_t burst : kBursts) {
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
      CrashFleetOptions options;
      options.scoresPerBurst_ = burst;
      options.trustedScores_ = aTrustedScores;
      const CrashFleetResult result = CrashSimulation(seed, options).Run();
      INFO("seed " << seed << ", bursts of " << burst << ": " << result.crashes_
                   << " crashes, " << result.late_ << " late runs, "
                   << result.othersRefused_ << " refusals of other requests");
      CHECK(result.crashes_ >= 2);
      aCheck(result);
    }
  }
}

} // namespace

TEST_CASE("a crashing request is refused although other requests break at each "
          "crash")
{
  SimulateAll(false, [](const CrashFleetResult& aResult) {
    CHECK(aResult.late_ <= kMaxLate);
  });
}

TEST_CASE("a request that breaks at the crashes of another one is not refused")
{
  SimulateAll(false, [](const CrashFleetResult& aResult) {
    CHECK(aResult.othersRefused_ == 0);
  });
}

TEST_CASE("a crashing request is refused beside scores that break at each "
          "crash, and they are not")
{
  SimulateAll(true, [](const CrashFleetResult& aResult) {
    CHECK(aResult.late_ <= kMaxLate);
    CHECK(aResult.othersRefused_ == 0);
  });
}
