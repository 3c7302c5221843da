#include "runtime/idle_timeout.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime kStart{ 10s };

} // namespace

TEST_CASE("a call times out when no byte is received in time")
{
  IdleTimeout limit{ 1s };
  limit.OnByte(kStart);
  REQUIRE(limit.DueAt() == kStart + 1s);
  REQUIRE_FALSE(limit.Check(kStart + 999ms));
  REQUIRE(limit.Check(kStart + 1s));
}

TEST_CASE("a received byte restarts the timeout")
{
  IdleTimeout limit{ 1s };
  limit.OnByte(kStart);
  limit.OnByte(kStart + 900ms);
  REQUIRE_FALSE(limit.Check(kStart + 1s));
  REQUIRE(limit.Check(kStart + 1900ms));
}

// Guards against a client that counts its own suspension as idle time of its
// peer: stopped for 1.5 s of every 2 s, it abandoned a response whose bytes
// arrived 0.3 s apart.
TEST_CASE("a suspended process does not count that time as idle")
{
  IdleTimeout limit{ 1s };
  limit.OnByte(kStart);
  // The process is suspended from 0.5 s on, so the check due at 1 s runs late.
  REQUIRE_FALSE(limit.Check(kStart + 2s));
  REQUIRE(limit.DueAt() == kStart + 3s);
  SECTION("a byte that was in transit counts")
  {
    limit.OnByte(kStart + 2100ms);
    REQUIRE_FALSE(limit.Check(kStart + 3s));
  }
  SECTION("a peer that stays unresponsive times out")
  {
    REQUIRE(limit.Check(kStart + 3s));
  }
}

TEST_CASE("a default-constructed timeout is unlimited")
{
  REQUIRE_FALSE(IdleTimeout{}.Limited());
}
