/// Simulations of jobs on several gateways: results that were read once are
/// returned by all of them.

#include "job_simulation.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

constexpr std::uint64_t kSeeds = 40;

/// @returns the number in an environment variable, or the default
std::uint64_t
NumberOr(const char* aVariable, std::uint64_t aDefault)
{
  const char* set = std::getenv(aVariable);
  return set == nullptr ? aDefault : std::strtoull(set, nullptr, 10);
}

} // namespace

// Guards against a result that is read at one gateway and missing at another,
// even 12 s after the job's end. It was seen once under many faults; the cause
// is unknown.
TEST_CASE("results that were read are returned by every connected gateway")
{
  const std::uint64_t first = NumberOr("JOB_PLAY_FIRST", 1);
  const std::uint64_t count = NumberOr("JOB_PLAY_SEEDS", kSeeds);
  std::size_t read = 0;
  std::size_t takeovers = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    JobSimulation simulation(seed);
    simulation.Run();
    read += simulation.ResultsRead();
    takeovers += simulation.Takeovers();
    for (const std::string& violation : simulation.Violations()) {
      UNSCOPED_INFO(violation);
    }
    CHECK(simulation.Violations().empty());
  }
  CAPTURE(read, takeovers);
  // The simulation is meaningful only if results are read and jobs change
  // owners.
  REQUIRE(takeovers > 2 * count);
  REQUIRE(read > 20 * count);
}
