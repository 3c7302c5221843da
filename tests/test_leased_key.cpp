/// Keys attached to a lease: exclusive keys, renewals and lost leases.

#include "daemon/leased_key.hpp"
#include "fake_store.hpp"
#include "log_capture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

TEST_CASE("one process holds an exclusive key at a time")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey first(store, timers, clock, { "duty", "one", 1500ms, true });
  LeasedKey second(store, timers, clock, { "duty", "two", 1500ms, true });
  first.Start();
  timers.Advance(10ms);
  second.Start();
  timers.Advance(5s);
  REQUIRE(first.Held());
  REQUIRE_FALSE(second.Held());
  const FencingNumber fence = first.Fence();
  first.Release();
  timers.Advance(10ms);
  second.Retry();
  timers.Advance(20ms);
  REQUIRE(second.Held());
  REQUIRE(second.Fence() > fence);
}

TEST_CASE("a key of an earlier run of the same process is taken over at once")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  const auto ours = [](const std::string& aValue) {
    return aValue.starts_with("one~");
  };
  LeasedKey first(
    store, timers, clock, { "duty", "one~1", 1500ms, true, ours });
  first.Start();
  timers.Advance(20ms);
  REQUIRE(first.Held());
  LeasedKey other(
    store,
    timers,
    clock,
    { "duty", "two~1", 1500ms, true, [](const std::string& aValue) {
       return aValue.starts_with("two~");
     } });
  other.Start();
  LeasedKey again(
    store, timers, clock, { "duty", "one~2", 1500ms, true, ours });
  again.Start();
  timers.Advance(30ms);
  REQUIRE(again.Held());
  REQUIRE(again.Fence() > first.Fence());
  REQUIRE_FALSE(other.Held());
  REQUIRE(store.records_.at("duty").value_ == "one~2");
}

TEST_CASE("a holder that cannot renew stops before its lease expires")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "duty", "one", 1500ms, true });
  int lost = 0;
  key.onLost_ = [&] { ++lost; };
  key.Start();
  timers.Advance(10ms);
  REQUIRE(key.Held());
  store.fault_ = StoreFault::Unresponsive;
  timers.Advance(1490ms);
  REQUIRE_FALSE(key.Held());
  timers.Advance(3s);
  REQUIRE(lost == 1);
}

TEST_CASE("a holder that was suspended no longer holds its key")
{
  ManualClock clock;
  ManualClock boot;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, boot, { "duty", "one", 1500ms, true });
  key.Start();
  timers.Advance(10ms);
  REQUIRE(key.Held());
  // Only the clock that advances during suspension moves.
  boot.Advance(4s);
  REQUIRE_FALSE(key.Held());
}

TEST_CASE("a write whose answer was lost is resolved by reading the key")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "duty", "one", 1500ms, true });
  key.Start();
  timers.Advance(5ms);
  store.fault_ = StoreFault::LosesAnswers;
  timers.Advance(4ms);
  store.fault_ = StoreFault::None;
  timers.Advance(1s);
  REQUIRE(key.Held());
  REQUIRE(store.commits_ == 1);
}

TEST_CASE("a liveness record whose lease expired at the store is written again")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "life", "me", 1500ms, false });
  key.Start();
  timers.Advance(10ms);
  store.ExpireAllLeases();
  REQUIRE_FALSE(store.records_.contains("life"));
  timers.Advance(1s);
  REQUIRE(store.records_.contains("life"));
  REQUIRE(key.Held());
}

TEST_CASE("a key outlives its previous lease")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "life", "me", 12s, false });
  key.Start();
  timers.Advance(10ms);
  const StoreLeaseId before = store.records_.at("life").lease_;
  key.SetTtl(1500ms);
  timers.Advance(20ms);
  const StoreLeaseId now = store.records_.at("life").lease_;
  REQUIRE(now != before);
  store.ExpireLease(before);
  REQUIRE(store.records_.contains("life"));
  store.ExpireLease(now);
  REQUIRE_FALSE(store.records_.contains("life"));
}

TEST_CASE("a holder that starts over gets a higher fencing number")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "duty", "one", 1500ms, true });
  key.Start();
  timers.Advance(10ms);
  const FencingNumber before = key.Fence();
  key.StartOver();
  REQUIRE_FALSE(key.Held());
  timers.Advance(2s);
  REQUIRE(key.Held());
  REQUIRE(key.Fence() > before);
}

// A lease that was not renewed in time because its process was busy must be
// distinguishable in the log from one that no longer exists at the store.
TEST_CASE("a lost lease is logged with its reason")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "duty", "one", 1500ms, true });
  key.Start();
  timers.Advance(10ms);
  const LogCapture log;
  SECTION("the lease no longer exists at the store")
  {
    store.ExpireAllLeases();
    timers.Advance(600ms);
    REQUIRE(
      log.Contains("event=lease_lost key=duty why=\"the store ended it\""));
  }
  SECTION("it was not renewed in time")
  {
    store.fault_ = StoreFault::Unresponsive;
    timers.Advance(3s);
    // Renewals that get no answer are not sent late.
    REQUIRE(log.Contains("renewal_delay_ms=0"));
    REQUIRE(
      log.Contains("event=lease_lost key=duty why=\"not renewed in time\""));
  }
}

// A holder releases its key while a renewal is in progress. If the renewal's
// answer is not ignored, the holder reads the key, finds it absent and writes
// it without a lease. No other process could take over the duty if it then
// died.
TEST_CASE("an answer about an abandoned lease is ignored")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "duty", "one", 1500ms, true });
  key.Start();
  // The first renewal is in progress.
  timers.Advance(509ms);
  REQUIRE(key.Held());
  key.StartOver();
  timers.Advance(1s);
  REQUIRE_FALSE(store.records_.contains("duty"));
  timers.Advance(1s);
  REQUIRE(key.Held());
  REQUIRE(store.records_.at("duty").lease_ != 0);
}

// A gateway that accepts its first job while its liveness record is being
// written must not keep the long lease of an idle gateway: if it died, its jobs
// would wait 12 s for another owner.
TEST_CASE("a time to live that is set while the key is written takes effect")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "life", "me", 12s, false });
  key.Start();
  timers.Advance(2ms);
  SECTION("the lease is being granted") {}
  SECTION("the key is being written")
  {
    timers.Advance(4ms);
  }
  key.SetTtl(1500ms);
  timers.Advance(30ms);
  REQUIRE(key.Held());
  REQUIRE(store.TtlOf(store.records_.at("life").lease_) == 1500ms);
}

// Guards against a gateway that is taken for dead although it runs: its key was
// found under its own previous lease and taken for the key of another process.
TEST_CASE("a key whose move to a new lease got no answer is moved later")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "life", "me", 12s, false });
  key.Start();
  timers.Advance(10ms);
  const StoreLeaseId before = store.records_.at("life").lease_;
  key.SetTtl(1500ms);
  timers.Advance(2ms);
  store.fault_ = StoreFault::Unresponsive;
  timers.Advance(1s);
  store.fault_ = StoreFault::None;
  timers.Advance(3s);
  REQUIRE(store.records_.at("life").lease_ != before);
  store.ExpireLease(before);
  REQUIRE(store.records_.contains("life"));
  REQUIRE(key.Held());
}

// Guards against a key that ends with an abandoned lease although its process
// runs: a write that got no answer moved it back to that lease.
TEST_CASE("a late write does not move a key back to its previous lease")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "life", "me", 12s, false });
  store.nextCommitAfter_ = 3s;
  key.Start();
  timers.Advance(1s);
  REQUIRE(key.Held());
  const StoreLeaseId before = store.records_.at("life").lease_;
  key.SetTtl(1500ms);
  timers.Advance(3s);
  REQUIRE(store.records_.at("life").lease_ != before);
  store.ExpireLease(before);
  REQUIRE(store.records_.contains("life"));
}
