#include "runtime/idle_timeout.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime kStart{ 10s };

} // namespace

TEST_CASE("a call is over its silence when no byte came in time")
{
  IdleTimeout limit{ 1s };
  limit.OnByte(kStart);
  REQUIRE(limit.DueAt() == kStart + 1s);
  REQUIRE_FALSE(limit.Check(kStart + 999ms));
  REQUIRE(limit.Check(kStart + 1s));
}

TEST_CASE("a byte gives a call its whole time again")
{
  IdleTimeout limit{ 1s };
  limit.OnByte(kStart);
  limit.OnByte(kStart + 900ms);
  REQUIRE_FALSE(limit.Check(kStart + 1s));
  REQUIRE(limit.Check(kStart + 1900ms));
}

// A client that was stopped for 1.5 s of each 2 s gave up an answer whose bytes
// came 0.3 s apart: it took its own standstill for its peer's silence.
TEST_CASE("a process that was held up does not count that as silence")
{
  IdleTimeout limit{ 1s };
  limit.OnByte(kStart);
  // Stopped from 0.5 s on.
  REQUIRE_FALSE(limit.Check(kStart + 2s));
  REQUIRE(limit.DueAt() == kStart + 3s);
  SECTION("and the byte that was on its way counts")
  {
    limit.OnByte(kStart + 2100ms);
    REQUIRE_FALSE(limit.Check(kStart + 3s));
  }
  SECTION("and a peer that stays silent is given up")
  {
    REQUIRE(limit.Check(kStart + 3s));
  }
}

TEST_CASE("a call without a limit is not limited")
{
  REQUIRE_FALSE(IdleTimeout{}.Limited());
}
