/// Followers of a prefix of the store: reads, watches and store failures.

#include "daemon/prefix_follower.hpp"
#include "fake_store.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

TEST_CASE("a follower destroyed by its own callback runs no more callbacks")
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

TEST_CASE("a follower reads all records again when its watch ends")
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

TEST_CASE("a follower's first watch opens after its delay and misses no change")
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
  // Later watches open without delay.
  store.SendBatch("k/", { true, false, 0, {} });
  timers.Advance(10ms);
  REQUIRE(store.CountWatches("k/") >= 1);
}

// When the store compacts its history, watches and relays end. If the follower
// then reads from a replica that lags by seconds, a watch from that revision
// ends immediately, and so on until the replica has caught up. A gateway kept a
// replaced configuration in force for 6 s this way.
TEST_CASE("only a follower's first read may return an older revision")
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

TEST_CASE("a follower retries its read while the store is unavailable")
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
