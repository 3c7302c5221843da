/// Followers of a prefix of the store: readings, watches, faults.

#include "daemon/prefix_follower.hpp"
#include "fake_store.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

TEST_CASE("a follower that is destroyed by its own callback tells no more")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  auto follower = std::make_unique<PrefixFollower>(store, timers, "k/");
  int settled = 0;
  int changes = 0;
  follower->onChange_ = [&](const StoreEvent&) {
    ++changes;
    follower.reset();
  };
  follower->onBatchEnd_ = [&] { ++settled; };
  follower->Start();
  timers.Advance(10ms);
  REQUIRE(settled == 1);
  store.Put("k/a", "1");
  store.Put("k/b", "1");
  REQUIRE(changes == 1);
  REQUIRE(settled == 1);
  REQUIRE(store.CountWatches("k/") == 0);
}

TEST_CASE("a follower reads all again when its watch lost its place")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  PrefixFollower follower(store, timers, "k/");
  std::size_t last = 0;
  follower.onSnapshot_ = [&](const StoreRange& aRange) {
    last = aRange.records_.size();
  };
  follower.Start();
  timers.Advance(10ms);
  store.dropsEvents_ = true;
  store.Put("k/a", "1");
  store.SendBatch("k/", { true, false, 0, {} });
  timers.Advance(10ms);
  REQUIRE(last == 1);
}

TEST_CASE("a follower's first watch opens in its time and misses nothing")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  PrefixFollower follower(store, timers, "k/");
  follower.Start(500ms);
  timers.Advance(490ms);
  REQUIRE(store.CountWatches("k/") == 0);
  timers.Advance(20ms);
  REQUIRE(store.CountWatches("k/") == 1);
  REQUIRE(store.watchedFrom_.at("k/") == store.Revision() + 1);
  // Later watches open at once.
  store.SendBatch("k/", { true, false, 0, {} });
  timers.Advance(10ms);
  REQUIRE(store.CountWatches("k/") >= 1);
}

// A gateway kept a configuration in force for 6 s that had been replaced. The
// order: the store forgot its history, so that watches and relays lost their
// place; the gateway read anew from a replica that was seconds behind, began to
// watch from there, lost its place at once, and so on until the replica had
// caught up. Cause: what followed a lost place was read as a first reading is.
TEST_CASE("only a follower's first reading may be old")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  PrefixFollower follower(store, timers, "k/");
  std::size_t last = 0;
  follower.onSnapshot_ = [&](const StoreRange& aRange) {
    last = aRange.records_.size();
  };
  follower.Start();
  timers.Advance(10ms);
  REQUIRE(store.earlierReads_ == 1);
  store.dropsEvents_ = true;
  store.Put("k/a", "1");
  store.earlierRevision_ = 1;
  store.SendBatch("k/", { true, false, 0, {} });
  timers.Advance(10ms);
  REQUIRE(last == 1);
  REQUIRE(store.earlierReads_ == 1);
}

TEST_CASE("a follower that is stopped before its first watch opens none")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  PrefixFollower follower(store, timers, "k/");
  follower.Start(500ms);
  timers.Advance(100ms);
  follower.Stop();
  timers.Advance(1s);
  REQUIRE(store.CountWatches("k/") == 0);
}

TEST_CASE("a follower keeps reading while the store is away")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  PrefixFollower follower(store, timers, "k/");
  int all = 0;
  int failures = 0;
  follower.onSnapshot_ = [&](const StoreRange&) { ++all; };
  follower.onFailure_ = [&](const Error&) { ++failures; };
  store.fault_ = StoreFault::Refuses;
  follower.Start();
  timers.Advance(5s);
  REQUIRE(all == 0);
  REQUIRE(failures > 3);
  store.fault_ = StoreFault::None;
  timers.Advance(1s);
  REQUIRE(all == 1);
}
