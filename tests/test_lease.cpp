#include "marjoramtally/process/lease.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };

/// A lease granted by a call sent at `kStart`.
LeaseKeeper
Granted()
{
  LeaseKeeper keeper(LeaseOptions{}, 1);
  REQUIRE(keeper.Next(kStart) == LeaseStep::Grant);
  REQUIRE(keeper.OnAnswer(LeaseAnswer::Confirmed, kStart, kStart + 3s));
  return keeper;
}

} // namespace

TEST_CASE(
  "a lease period counts from when its heartbeat was sent, less a margin")
{
  const LeaseKeeper keeper = Granted();
  CHECK(keeper.Holds(kStart + 3s));
  CHECK(keeper.StopAt() == kStart + 9s);
  CHECK(keeper.Holds(kStart + 9s - 1us));
  CHECK_FALSE(keeper.Holds(kStart + 9s));
}

TEST_CASE(
  "a process that resumes after a pause knows that its lease has expired")
{
  LeaseKeeper keeper = Granted();
  const TimePoint resumed = kStart + 60s;
  CHECK_FALSE(keeper.Holds(resumed));
  // The heartbeat sent before the pause is answered after it.
  LeaseKeeper waiting = Granted();
  const TimePoint sent = kStart + 4s;
  REQUIRE(waiting.Next(sent) == LeaseStep::KeepAlive);
  waiting.OnAnswer(LeaseAnswer::Confirmed, sent, resumed);
  CHECK_FALSE(waiting.Holds(resumed));
  REQUIRE(waiting.Next(resumed) == LeaseStep::KeepAlive);
  waiting.OnAnswer(LeaseAnswer::Gone, resumed, resumed);
  CHECK(waiting.Next(resumed) == LeaseStep::Grant);
}

TEST_CASE("a late answer does not confirm a later call")
{
  LeaseKeeper keeper = Granted();
  const TimePoint first = kStart + 4s;
  REQUIRE(keeper.Next(first) == LeaseStep::KeepAlive);
  CHECK(keeper.Next(first + 4s) == LeaseStep::Wait);
  TimePoint second = first + 5s;
  while (keeper.Next(second) != LeaseStep::KeepAlive) {
    second = second + 10ms;
  }
  CHECK_FALSE(keeper.OnAnswer(LeaseAnswer::Confirmed, first, second + 1ms));
  CHECK(keeper.StopAt() == kStart + 9s);
  CHECK(keeper.OnAnswer(LeaseAnswer::Confirmed, second, second + 1ms));
  CHECK(keeper.StopAt() == second + 9s);
}

TEST_CASE("retries in an outage back off, with delays that differ by instance")
{
  Backoff one(100ms, 5s, 1);
  Backoff two(100ms, 5s, 2);
  CHECK(one.Next() != two.Next());
  Duration wait{ 0 };
  for (int i = 0; i < 20; ++i) {
    wait = one.Next();
    CHECK(wait <= 5s);
  }
  CHECK(wait >= 2500ms);
  one.Reset();
  CHECK(one.Next() <= 100ms);
  LeaseKeeper keeper(LeaseOptions{}, 3);
  std::size_t asked = 0;
  for (TimePoint now = kStart; now < kStart + 60s; now = now + 50ms) {
    if (keeper.Next(now) == LeaseStep::Grant) {
      ++asked;
      keeper.OnAnswer(LeaseAnswer::Unknown, now, now);
    }
  }
  CHECK(asked > 10);
  CHECK(asked < 40);
}

TEST_CASE(
  "heartbeats and writes take precedence over reads in the store's budget")
{
  StoreBudget budget(1.0, 2.0);
  CHECK(budget.Take(StoreCallKind::Watch, kStart));
  CHECK(budget.Take(StoreCallKind::Read, kStart));
  CHECK_FALSE(budget.Take(StoreCallKind::Read, kStart));
  CHECK(budget.Take(StoreCallKind::Lease, kStart));
  CHECK(budget.Take(StoreCallKind::Write, kStart));
  CHECK_FALSE(budget.Take(StoreCallKind::Read, kStart + 2s));
  CHECK(budget.Take(StoreCallKind::Read, kStart + 4s));
  CHECK(budget.Count(StoreCallKind::Read) == 2);
  CHECK(budget.Refused() == 2);
}
