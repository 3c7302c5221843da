/// Keys that hang on a lease: exclusive ones, renewals, losses.

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

TEST_CASE("a key of an earlier run of this process is taken over at once")
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

TEST_CASE("a holder that cannot renew stops before its lease ends")
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

TEST_CASE("a holder that was suspended knows that it may not act")
{
  ManualClock clock;
  ManualClock boot;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, boot, { "duty", "one", 1500ms, true });
  key.Start();
  timers.Advance(10ms);
  REQUIRE(key.Held());
  // Only the clock that counts suspension moves on.
  boot.Advance(4s);
  REQUIRE_FALSE(key.Held());
}

TEST_CASE("a write whose answer was lost is settled by reading back")
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

TEST_CASE("a sign of life that lapsed while the store was away comes back")
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

TEST_CASE("a key outlives the lease that it hung on before")
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

TEST_CASE("a holder that was refused contends anew, under a higher number")
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

// The duty of orders changed hands and no log told why: a lease that ran out
// since its process was busy looks like one that the store ended.
TEST_CASE("a lease that is lost is told with the reason")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "duty", "one", 1500ms, true });
  key.Start();
  timers.Advance(10ms);
  const LogCapture log;
  SECTION("the store ended it")
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

// Found beside the wandering duty: a holder that an upstream refused gave its
// key up while a renewal was under way. The renewal's answer made it read the
// key back and, as it was gone, write it without a lease. Had it died then,
// nobody else would ever have got the duty.
TEST_CASE("an answer to a lease that was given up is ignored")
{
  ManualClock clock;
  ManualTimers timers(clock);
  FakeStore store(timers);
  LeasedKey key(store, timers, clock, { "duty", "one", 1500ms, true });
  key.Start();
  // The first renewal has just been sent.
  timers.Advance(509ms);
  REQUIRE(key.Held());
  key.StartOver();
  timers.Advance(1s);
  REQUIRE_FALSE(store.records_.contains("duty"));
  timers.Advance(1s);
  REQUIRE(key.Held());
  REQUIRE(store.records_.at("duty").lease_ != 0);
}

// A gateway that accepted its first job while it still wrote its sign of life
// kept the long lease of an idle one; its jobs waited 12 s for another owner
// when it died.
TEST_CASE("a length that changes while the key is written holds from then on")
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
