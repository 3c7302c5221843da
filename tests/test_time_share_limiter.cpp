/// Limits the share of time of work that blocks its event loop.

#include "marjoramtally/process.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

TEST_CASE("work is delayed in proportion to the time that it takes")
{
  TimeShareLimiter pace(0.125);
  const TimePoint start{ 100s };
  REQUIRE(pace.NextAt() <= start);
  pace.OnDone(start, start + 10ms);
  REQUIRE(pace.NextAt() == start + 80ms);
  // Work that takes no time is not delayed.
  pace.OnDone(start + 80ms, start + 80ms);
  REQUIRE(pace.NextAt() == start + 80ms);
}
