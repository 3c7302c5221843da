/// Tests of how many upstreams are ordered, some against a simulated platform
/// that boots them.

#include "supply_fixture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const ServiceId kService{ "lm" };
const ZoneId kZone1{ "z1" };
const ZoneId kZone2{ "z2" };

SupplyView
MakeView(std::uint32_t aOne, std::uint32_t aTwo)
{
  SupplyView view;
  view.service_ = kService;
  view.supply_ = { 1, 10, 4s, { { kZone1, 1.2 }, { kZone2, 0.8 } }, 0.2 };
  view.slots_ = 6;
  view.serving_ = { { kZone1, aOne }, { kZone2, aTwo } };
  return view;
}

/// Time at which a plan has observed its upstreams long enough to order.
constexpr TimePoint kStart{ 100s };

/// @returns a plan that has observed the initial number of upstreams
SupplyPlan
ObservedPlan(const SupplyView& aView, SupplyPolicy aPolicy = {})
{
  SupplyPlan plan(aPolicy);
  REQUIRE(plan.Next(aView, kStart - 4s).empty());
  return plan;
}

std::map<ZoneId, std::uint32_t>
Counts(const std::vector<PlannedSupply>& aOrders)
{
  std::map<ZoneId, std::uint32_t> counts;
  for (const PlannedSupply& order : aOrders) {
    counts[order.pool_.zone_] = order.count_;
  }
  return counts;
}

} // namespace

TEST_CASE("before any demand more upstreams are ordered than were serving")
{
  SupplyPlan plan = ObservedPlan(MakeView(3, 2));
  const auto orders = Counts(plan.Next(MakeView(3, 2), kStart));
  REQUIRE(orders ==
          std::map<ZoneId, std::uint32_t>{ { kZone1, 5 }, { kZone2, 5 } });
}

// Guards against an order based on a partial count: upstreams register one
// after the other at startup, and an order for twice as many as had registered
// so far removed most of the others.
TEST_CASE("nothing is ordered until the upstreams have registered at startup")
{
  SupplyPlan plan;
  TimePoint now = kStart;
  for (std::uint32_t count = 0; count < 5; ++count) {
    plan.OnDemand(kService, 1000, now);
    REQUIRE(plan.Next(MakeView(count, count), now).empty());
    now = now + 1s;
  }
  REQUIRE(plan.Next(MakeView(4, 4), now + 1s).empty());
  REQUIRE(plan.Next(MakeView(4, 4), now + 2s).size() == 2);
}

TEST_CASE("a burst of items raises the order at once, within the limits")
{
  SupplyPlan plan = ObservedPlan(MakeView(3, 3));
  plan.OnDemand(kService, 60, kStart + 1s);
  // 60 slots and a quarter more are 12.5 upstreams of six slots each.
  const auto orders = plan.Next(MakeView(3, 3), kStart + 1s);
  REQUIRE(Counts(orders) ==
          std::map<ZoneId, std::uint32_t>{ { kZone1, 6 }, { kZone2, 7 } });
  for (const PlannedSupply& order : orders) {
    plan.OnEnd(order, SupplyEnd::Accepted, kStart + 1s);
  }
  REQUIRE(plan.Next(MakeView(3, 3), kStart + 2s).empty());
  plan.OnDemand(kService, 1000, kStart + 3s);
  REQUIRE(Counts(plan.Next(MakeView(6, 7), kStart + 3s)) ==
          std::map<ZoneId, std::uint32_t>{ { kZone1, 10 }, { kZone2, 10 } });
}

TEST_CASE("an order is reduced only after a long time of lower demand")
{
  SupplyPlan plan = ObservedPlan(MakeView(6, 7));
  plan.OnDemand(kService, 60, kStart);
  for (const PlannedSupply& order : plan.Next(MakeView(6, 7), kStart)) {
    plan.OnEnd(order, SupplyEnd::Accepted, kStart);
  }
  TimePoint now = kStart;
  while (now < kStart + 89s) {
    now = now + 1s;
    plan.OnDemand(kService, 12, now);
    REQUIRE(plan.Next(MakeView(6, 7), now).empty());
  }
  now = now + 4s;
  plan.OnDemand(kService, 12, now);
  REQUIRE(Counts(plan.Next(MakeView(6, 7), now)) ==
          std::map<ZoneId, std::uint32_t>{ { kZone1, 1 }, { kZone2, 2 } });
}

TEST_CASE("a zone without available upstreams is skipped for a while")
{
  SupplyPlan plan = ObservedPlan(MakeView(3, 3));
  plan.OnDemand(kService, 60, kStart);
  for (const PlannedSupply& order : plan.Next(MakeView(3, 3), kStart)) {
    plan.OnEnd(order,
               order.pool_.zone_ == kZone1 ? SupplyEnd::Unavailable
                                           : SupplyEnd::Accepted,
               kStart);
  }
  // The shortfall of the first zone is ordered in the second.
  const auto elsewhere = plan.Next(MakeView(3, 7), kStart + 1s);
  REQUIRE(Counts(elsewhere) ==
          std::map<ZoneId, std::uint32_t>{ { kZone2, 10 } });
  plan.OnEnd(elsewhere.front(), SupplyEnd::Accepted, kStart + 1s);
  REQUIRE(plan.Next(MakeView(3, 10), kStart + 4s).empty());
  REQUIRE(Counts(plan.Next(MakeView(3, 10), kStart + 5s)) ==
          std::map<ZoneId, std::uint32_t>{ { kZone1, 6 } });
}

// Guards against a late order that overrides a newer one: the first order gets
// no reply and is carried out 12 s later, after a second one for more.
TEST_CASE("an order is repeated once an older one can no longer take effect")
{
  SupplyPlan plan = ObservedPlan(MakeView(3, 7));
  plan.OnDemand(kService, 60, kStart);
  for (const PlannedSupply& order : plan.Next(MakeView(3, 7), kStart)) {
    plan.OnEnd(order, SupplyEnd::Unknown, kStart);
  }
  const auto again = plan.Next(MakeView(3, 7), kStart + 1s);
  REQUIRE(Counts(again).at(kZone1) == 6);
  for (const PlannedSupply& order : again) {
    plan.OnEnd(order, SupplyEnd::Accepted, kStart + 1s);
  }
  REQUIRE(plan.Next(MakeView(6, 7), kStart + 12s).empty());
  const auto last = plan.Next(MakeView(6, 7), kStart + 13s);
  REQUIRE(Counts(last).at(kZone1) == 6);
  for (const PlannedSupply& order : last) {
    plan.OnEnd(order, SupplyEnd::Accepted, kStart + 13s);
  }
  REQUIRE(plan.Next(MakeView(6, 7), kStart + 14s).empty());
}

TEST_CASE(
  "upstreams that do not register are ordered again after the boot time")
{
  SupplyPlan plan = ObservedPlan(MakeView(3, 7));
  plan.OnDemand(kService, 60, kStart);
  for (const PlannedSupply& order : plan.Next(MakeView(3, 7), kStart)) {
    plan.OnEnd(order, SupplyEnd::Accepted, kStart);
  }
  REQUIRE(plan.Next(MakeView(3, 7), kStart + 1s).empty());
  REQUIRE(plan.Next(MakeView(3, 7), kStart + 8s).empty());
  const auto again = plan.Next(MakeView(3, 7), kStart + 9s);
  REQUIRE(Counts(again) == std::map<ZoneId, std::uint32_t>{ { kZone1, 6 } });
  REQUIRE(again.front().reason_ == "fewer serve than were ordered");
}

TEST_CASE("a later holder does not order less than its predecessor")
{
  SupplyPlan plan;
  plan.OnRestored({ kService, kZone1, false }, 9);
  plan.OnRestored({ kService, kZone2, false }, 9);
  plan.OnDemand(kService, 30, kStart);
  REQUIRE(plan.Next(MakeView(3, 3), kStart).empty());
}

TEST_CASE("reclaimable upstreams are ordered as a share of what is added")
{
  SupplyPolicy policy;
  policy.spotShare_ = 0.5;
  SupplyPlan plan = ObservedPlan(MakeView(4, 2), policy);
  plan.OnDemand(kService, 1000, kStart);
  std::map<std::pair<ZoneId, bool>, std::uint32_t> counts;
  for (const PlannedSupply& order : plan.Next(MakeView(4, 2), kStart)) {
    counts[{ order.pool_.zone_, order.pool_.spot_ }] = order.count_;
  }
  REQUIRE(counts[{ kZone1, false }] == 7);
  REQUIRE(counts[{ kZone1, true }] == 3);
  REQUIRE(counts[{ kZone2, false }] == 6);
  REQUIRE(counts[{ kZone2, true }] == 4);
}

namespace {

/// Simulates the steps of a trainer: a burst of items every four seconds; each
/// item occupies a slot for some time. The platform boots ordered
/// upstreams.
struct StepSimulation
{
  SupplyPlan plan_;
  std::uint32_t serving_ = 4;
  std::deque<std::pair<TimePoint, std::uint32_t>> booting_;
  std::vector<Duration> waits_;
  std::uint32_t orders_ = 0;
  double upstreamSeconds_ = 0;

  explicit StepSimulation(SupplyPolicy aPolicy)
    : plan_(aPolicy)
  {
  }

  void Run(int aSeconds)
  {
    constexpr std::uint32_t kItems = 72;
    constexpr Duration kRun = 3s;
    std::deque<TimePoint> waiting;
    std::multiset<TimePoint> running;
    for (int tenth = 0; tenth < aSeconds * 10; ++tenth) {
      const TimePoint now{ tenth * 100ms };
      while (!booting_.empty() && booting_.front().first <= now) {
        serving_ = std::max(serving_, booting_.front().second);
        booting_.pop_front();
      }
      running.erase(running.begin(), running.upper_bound(now));
      // The first step begins 10 s after the simulation starts.
      if (tenth >= 100 && tenth % 40 == 20) {
        waiting.insert(waiting.end(), kItems, now);
      }
      while (!waiting.empty() && running.size() < serving_ * 6U) {
        waits_.push_back(now - waiting.front());
        waiting.pop_front();
        running.insert(now + kRun);
      }
      upstreamSeconds_ += serving_ * 0.1;
      if (tenth % 10 == 0) {
        Plan(now, waiting.size() + running.size());
      }
    }
  }

  void Plan(TimePoint aNow, std::uint64_t aPlaces)
  {
    if (aPlaces > 0) {
      plan_.OnDemand(kService, aPlaces, aNow);
    }
    SupplyView view = MakeView(0, 0);
    view.supply_.max_ = 30;
    view.serving_ = { { kZone1, serving_ } };
    for (const PlannedSupply& order : plan_.Next(view, aNow)) {
      ++orders_;
      booting_.emplace_back(aNow + 4s, order.count_);
      plan_.OnEnd(order, SupplyEnd::Accepted, aNow);
    }
  }

  [[nodiscard]] double ImmediateShare() const
  {
    const auto atOnce = std::count(waits_.begin(), waits_.end(), Duration{ 0 });
    return static_cast<double>(atOnce) / static_cast<double>(waits_.size());
  }
};

} // namespace

// Compares three policies by the share of items that find a slot at once: no
// additional upstreams (0.06), orders by current use (0.90), and orders by the
// bursts within the demand window (0.97).
TEST_CASE("steps that begin together find slots when recent bursts count")
{
  SupplyPolicy none;
  none.initialFactor_ = 1.0;
  none.headroom_ = 0.0;
  SupplyPolicy use;
  use.initialFactor_ = 1.0;
  use.headroom_ = 1.0;
  use.demandWindow_ = 1s;
  use.scaleDownDelay_ = 2s;
  StepSimulation standing(none);
  StepSimulation byUse(use);
  StepSimulation byBursts({});
  standing.Run(60);
  byUse.Run(60);
  byBursts.Run(60);
  INFO(standing.ImmediateShare()
       << " " << byUse.ImmediateShare() << " " << byBursts.ImmediateShare());
  CHECK(byBursts.ImmediateShare() > byUse.ImmediateShare());
  CHECK(byUse.ImmediateShare() > standing.ImmediateShare());
  CHECK(byBursts.ImmediateShare() >= 0.9);
  CHECK(standing.orders_ == 0);
  // No thrashing: the number changes with the first demand and then stays
  // constant.
  CHECK(byBursts.orders_ <= 3);
}

TEST_CASE("an order is recorded in the store before it is sent, with its fence")
{
  SupplyFixture fix;
  fix.store_.delay_ = 50ms;
  fix.Round(30);
  REQUIRE(fix.client_.open_.empty());
  fix.timers_.Advance(100ms);
  REQUIRE(fix.client_.open_.size() == 2);
  const HttpCall& call = fix.client_.Oldest().call_;
  REQUIRE(call.url_ == "http://cloud:1/scale");
  REQUIRE(FindHeader(call.headers_, "Fencing-Token") ==
          std::to_string(fix.orders_.lease_.Fence().Get()));
  REQUIRE(call.body_ == R"({"service":"lm","target_groups":4,"zone":"z1"})");
  REQUIRE(fix.store_.records_.at("mt/supply/lm/z1/firm").value_ == "4");
}

TEST_CASE("a process that does not hold the lease orders nothing")
{
  SupplyFixture fix;
  fix.store_.fault_ = StoreFault::Unresponsive;
  fix.timers_.Advance(5s);
  fix.Round(30);
  fix.timers_.Advance(1s);
  REQUIRE(fix.client_.open_.empty());
}

TEST_CASE("a later holder does not repeat the orders of an earlier one")
{
  SupplyFixture fix;
  fix.Round(30);
  fix.timers_.Advance(100ms);
  REQUIRE(fix.client_.open_.size() == 2);
  const std::size_t sent = fix.client_.sent_;
  fix.orders_.lease_.OnFenced();
  fix.timers_.Advance(10s);
  REQUIRE(fix.orders_.lease_.Active());
  fix.Round(30);
  fix.timers_.Advance(100ms);
  REQUIRE(fix.client_.sent_ == sent);
}
