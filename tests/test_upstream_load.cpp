/// Belief about the load of an upstream: which reports count, how they age, and
/// what a restart discards.

#include "gateway_fixture.hpp"

#include "marjoramtally/process.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };
const ServiceId kPlain{ "plain" };
const UpstreamId kFirst{ "i-1" };

UpstreamEntry
MakeEntry(const UpstreamId& aId, UpstreamStart aStart = {})
{
  UpstreamEntry entry;
  entry.id_ = aId;
  entry.start_ = aStart;
  entry.service_ = kPlain;
  entry.address_ = "127.0.0.1:1";
  entry.zone_ = ZoneId{ "z1" };
  entry.slots_ = 6;
  return entry;
}

} // namespace

TEST_CASE("a load report is read with three figures or four", "[load]")
{
  const auto platform = MakePlatform();
  const auto three = platform->ReadLoad("3,1,8");
  REQUIRE(three);
  CHECK(three->running_ == 3);
  CHECK(three->waiting_ == 1);
  CHECK(three->slots_ == 8);
  CHECK_FALSE(three->slowdown_);
  const auto four = platform->ReadLoad("6,2,6,250");
  REQUIRE(four);
  CHECK(four->slowdown_ == 2.5);
  CHECK_FALSE(platform->ReadLoad(""));
  CHECK_FALSE(platform->ReadLoad("3,1"));
  CHECK_FALSE(platform->ReadLoad("3,,8"));
  CHECK_FALSE(platform->ReadLoad("3,-1,8"));
}

TEST_CASE("decisions by load are asked for by a feature of that name only",
          "[load]")
{
  const auto platform = MakePlatform();
  CHECK(platform->AsksForLoadControl("base,pressure"));
  CHECK_FALSE(platform->AsksForLoadControl("base,pressures"));
  CHECK_FALSE(platform->AsksForLoadControl(""));
}

TEST_CASE("load reports decide only where slowdown is reported or settings ask",
          "[load]")
{
  UpstreamTable table(ZoneId{ "z1" });
  table.OnEntry(MakeEntry(kFirst));
  CHECK(table.OnLoad(kFirst, { 2, 0, 6, {} }, kStart).empty());
  CHECK_FALSE(table.LoadAware(kPlain));
  CHECK_FALSE(table.Find(kFirst)->load_.Last());
  CHECK(table.OnLoad(kFirst, { 2, 0, 6, 1.7 }, kStart).empty());
  CHECK(table.LoadAware(kPlain));
  CHECK(table.Find(kFirst)->load_.Last());

  SelectionPolicy policy;
  policy.loadAware_ = true;
  UpstreamTable asked(ZoneId{ "z1" }, policy);
  asked.OnEntry(MakeEntry(kFirst));
  CHECK(asked.LoadAware(kPlain));
}

TEST_CASE("impossible load reports are ignored", "[load]")
{
  SelectionPolicy policy;
  policy.loadAware_ = true;
  UpstreamTable table(ZoneId{ "z1" }, policy);
  table.OnEntry(MakeEntry(kFirst));
  CHECK_FALSE(table.OnLoad(kFirst, { 7, 0, 6, {} }, kStart).empty());
  CHECK_FALSE(table.OnLoad(kFirst, { 0, 0, 0, {} }, kStart).empty());
  CHECK_FALSE(table.OnLoad(kFirst, { 1, 0, 6, 0.0 }, kStart).empty());
  CHECK_FALSE(table.OnLoad(kFirst, { 1, 0, 6, 1e6 }, kStart).empty());
  CHECK_FALSE(
    table.OnLoad(UpstreamId{ "i-9" }, { 1, 0, 6, {} }, kStart).empty());
  CHECK_FALSE(table.Find(kFirst)->load_.Last());
}

TEST_CASE("a load report counts less as it ages and own calls are not counted "
          "twice",
          "[load]")
{
  SelectionPolicy policy;
  policy.loadAware_ = true;
  UpstreamTable table(ZoneId{ "z1" }, policy);
  table.OnEntry(MakeEntry(kFirst));
  table.OnStart(kFirst, kStart);
  table.OnStart(kFirst, kStart);
  (void)table.OnLoad(kFirst, { 6, 2, 6, 3.0 }, kStart + 1ms);
  const UpstreamLoad& load = table.Find(kFirst)->load_;
  CHECK(load.Others(kStart + 1ms) == Approx(6));
  CHECK(load.Slowdown(kStart + 1ms) == Approx(3));
  CHECK(load.Age(kStart + 2ms) == Duration{ 1ms });
  CHECK(load.Others(kStart + 5s) < 2);
  CHECK(load.Slowdown(kStart + 9s) < 1.25);
  // A report that was overtaken by a newer one is ignored.
  (void)table.OnLoad(kFirst, { 0, 0, 6, 1.0 }, kStart);
  CHECK(load.Others(kStart + 1ms) == Approx(6));
}

TEST_CASE("a restart discards the reported load", "[load]")
{
  SelectionPolicy policy;
  policy.loadAware_ = true;
  UpstreamTable table(ZoneId{ "z1" }, policy);
  table.OnEntry(MakeEntry(kFirst, UpstreamStart{ 1 }));
  (void)table.OnLoad(kFirst, { 6, 2, 6, 3.0 }, kStart);
  REQUIRE(table.OnEntry(MakeEntry(kFirst, UpstreamStart{ 2 })) ==
          EntryEffect::Restarted);
  CHECK(table.Find(kFirst)->load_.Others(kStart) == 0);
  CHECK(table.Find(kFirst)->load_.Slowdown(kStart) == 1);
}
