/// Routes and the selection of upstreams.

#include "marjoramtally/process.hpp"

#include "marjoramtally/base/random.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };
const ServiceId kService{ "svc" };

UpstreamEntry
MakeEntry(const std::string& aId,
          const std::string& aZone = "z1",
          std::uint64_t aVersion = 1)
{
  UpstreamEntry entry;
  entry.id_ = UpstreamId{ aId };
  entry.service_ = kService;
  entry.address_ = "127.0.0.1:1";
  entry.zone_ = ZoneId{ aZone };
  entry.slots_ = 2;
  entry.models_ = { { "m", WeightVersion{ aVersion } } };
  return entry;
}

UpstreamTable
MakeTable(const std::vector<UpstreamEntry>& aEntries)
{
  UpstreamTable table(ZoneId{ "z1" });
  for (const UpstreamEntry& entry : aEntries) {
    table.OnEntry(entry);
  }
  return table;
}

std::string
PickId(const UpstreamTable& aTable,
       TimePoint aNow = kStart,
       const std::set<UpstreamId>& aTried = {})
{
  const TrackedUpstream* picked = aTable.Pick(kService, aTried, aNow);
  return picked == nullptr ? "" : picked->entry_.id_.Get();
}

ItemNeeds
Needs(std::uint64_t aVersion, const std::string& aPreferred = "")
{
  return { kService,
           "m",
           WeightVersion{ aVersion },
           UpstreamId{ aPreferred },
           UpstreamId{} };
}

Route
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  Route route;
  route.name_ = aName;
  route.host_ = "h";
  route.prefix_ = aPrefix;
  return route;
}

} // namespace

TEST_CASE("the route of the host with the longest prefix matches")
{
  RouteTable table;
  REQUIRE_FALSE(table.HasConfig());
  RoutingConfig config;
  config.revision_ = ConfigRevision{ 3 };
  config.routes_ = { MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/") };
  REQUIRE(table.Apply(config));
  REQUIRE(table.Match("h", "/a/b/c")->name_ == "long");
  REQUIRE(table.Match("h", "/a/bc")->name_ == "short");
  REQUIRE(table.Match("h", "/b/") == nullptr);
  REQUIRE(table.Match("other", "/a/b") == nullptr);
}

TEST_CASE("the table finds the same route as a linear search")
{
  // A small alphabet and many routes produce nested prefixes.
  Random random(17);
  const auto part = [&random] {
    return std::string(1, static_cast<char>('a' + random.Below(3))) + "/";
  };
  const auto path = [&](std::uint64_t aParts) {
    std::string text = "/";
    for (std::uint64_t i = 0; i < aParts; ++i) {
      text += part();
    }
    return text;
  };
  RoutingConfig config;
  config.revision_ = ConfigRevision{ 1 };
  for (int i = 0; i < 60; ++i) {
    Route route = MakeRoute(std::to_string(i), path(random.Below(4)));
    route.host_ = "h" + std::to_string(random.Below(2));
    config.routes_.push_back(std::move(route));
  }
  RouteTable table;
  REQUIRE(table.Apply(config));
  for (int i = 0; i < 2000; ++i) {
    const std::string host = "h" + std::to_string(random.Below(3));
    std::string asked = path(random.Below(6));
    asked += random.Below(2) == 0 ? "x" : "";
    const Route* best = nullptr;
    for (const Route& route : config.routes_) {
      const bool longer =
        best == nullptr || route.prefix_.size() > best->prefix_.size();
      if (route.host_ == host && asked.starts_with(route.prefix_) && longer) {
        best = &route;
      }
    }
    const Route* found = table.Match(host, asked);
    REQUIRE((found == nullptr) == (best == nullptr));
    REQUIRE((best == nullptr || found->name_ == best->name_));
  }
}

TEST_CASE("an older configuration does not replace a newer one")
{
  RouteTable table;
  RoutingConfig config;
  config.revision_ = ConfigRevision{ 7 };
  config.routes_ = { MakeRoute("new", "/a/") };
  REQUIRE(table.Apply(config));
  config.revision_ = ConfigRevision{ 6 };
  config.routes_.clear();
  REQUIRE_FALSE(table.Apply(config));
  REQUIRE(table.Match("h", "/a/") != nullptr);
}

TEST_CASE("a traffic split selects services by their weights")
{
  Route route = MakeRoute("r", "/");
  route.services_ = { { ServiceId{ "x" }, 90 }, { ServiceId{ "y" }, 10 } };
  int first = 0;
  for (std::uint64_t draw = 0; draw < 100; ++draw) {
    first += DrawService(route, draw) == ServiceId{ "x" } ? 1 : 0;
  }
  REQUIRE(first == 90);
  REQUIRE(DrawService(MakeRoute("none", "/"), 5) == ServiceId{});
}

TEST_CASE("a request goes to the least loaded upstream, local zone first")
{
  UpstreamTable table =
    MakeTable({ MakeEntry("far", "z2"), MakeEntry("near") });
  REQUIRE(PickId(table) == "near");
  table.OnStart(UpstreamId{ "near" }, kStart);
  REQUIRE(PickId(table) == "far");
  REQUIRE(PickId(table, kStart, { UpstreamId{ "far" } }) == "near");
}

TEST_CASE("a leaving mark is permanent for the incarnation")
{
  UpstreamTable table = MakeTable({ MakeEntry("a") });
  UpstreamEntry leaving = MakeEntry("a");
  leaving.draining_ = true;
  table.OnEntry(leaving);
  REQUIRE(PickId(table).empty());
  table.OnEntry(MakeEntry("a"));
  REQUIRE(PickId(table).empty());
}

TEST_CASE("a restart under the same id discards the previous state")
{
  UpstreamEntry entry = MakeEntry("a", "z1", 7);
  entry.start_ = UpstreamStart{ 1000 };
  entry.draining_ = true;
  UpstreamTable table = MakeTable({ entry });
  for (int i = 0; i < 3; ++i) {
    table.OnStart(entry.id_, kStart);
    table.OnEnd(entry.id_, CallVerdict::Failed, kStart);
  }
  table.OnPace(entry.id_, 40ms);
  table.OnStart(entry.id_, kStart);

  UpstreamEntry again = MakeEntry("a", "z1", 6);
  again.start_ = UpstreamStart{ 2000 };
  REQUIRE(table.OnEntry(again) == EntryEffect::Restarted);
  REQUIRE(PickId(table) == "a");
  const TrackedUpstream* upstream = table.Find(entry.id_);
  REQUIRE(upstream->versions_.at("m") == WeightVersion{ 6 });
  REQUIRE(upstream->failures_ == 0);
  REQUIRE(upstream->avoidUntil_ <= kStart);
  REQUIRE(upstream->pace_ == 0ms);
  // The owner of the call in flight ends it.
  REQUIRE(upstream->inFlight_ == 1);
  REQUIRE(table.PickForItem(Needs(7), kStart) == nullptr);
  REQUIRE(table.PickForItem(Needs(6), kStart) != nullptr);
}

TEST_CASE("an entry of an earlier incarnation never replaces a newer one")
{
  UpstreamEntry old = MakeEntry("a", "z1", 9);
  old.start_ = UpstreamStart{ 1000 };
  old.address_ = "127.0.0.1:9";
  UpstreamEntry current = MakeEntry("a", "z1", 3);
  current.start_ = UpstreamStart{ 2000 };
  UpstreamTable table = MakeTable({ old, current });
  REQUIRE(table.OnEntry(old) == EntryEffect::Outdated);
  REQUIRE(table.Find(old.id_)->versions_.at("m") == WeightVersion{ 3 });
  REQUIRE(table.Find(old.id_)->entry_.address_ == "127.0.0.1:1");
  // It is also ignored after the newer entry was removed and dropped.
  table.OnRemoved(old.id_, kStart);
  table.OnRemoved(UpstreamId{ "other" }, kStart + 5s);
  REQUIRE(table.Find(old.id_) == nullptr);
  REQUIRE(table.OnEntry(old) == EntryEffect::Outdated);
  REQUIRE(PickId(table, kStart + 5s).empty());
}

TEST_CASE("an incarnation that registers again keeps its state")
{
  UpstreamEntry entry = MakeEntry("a", "z1", 3);
  entry.start_ = UpstreamStart{ 1000 };
  UpstreamTable table = MakeTable({ entry });
  table.OnVersion(entry.id_, "m", WeightVersion{ 4 });
  table.OnRemoved(entry.id_, kStart);
  REQUIRE(table.OnEntry(entry) == EntryEffect::Current);
  REQUIRE(table.Find(entry.id_)->versions_.at("m") == WeightVersion{ 4 });
}

TEST_CASE("a complete list shows which upstreams have restarted")
{
  UpstreamEntry a = MakeEntry("a");
  a.start_ = UpstreamStart{ 1000 };
  UpstreamEntry b = MakeEntry("b");
  b.start_ = UpstreamStart{ 1000 };
  UpstreamTable table = MakeTable({ a, b });
  b.start_ = UpstreamStart{ 1001 };
  REQUIRE(table.OnList({ a, b }, kStart) ==
          std::vector<UpstreamId>{ UpstreamId{ "b" } });
}

TEST_CASE("a removed entry receives no calls after its grace period")
{
  UpstreamTable table = MakeTable({ MakeEntry("a"), MakeEntry("b", "z2") });
  table.OnRemoved(UpstreamId{ "a" }, kStart);
  REQUIRE(PickId(table) == "b");
  REQUIRE(PickId(table, kStart, { UpstreamId{ "b" } }) == "a");
  const TimePoint late = kStart + SelectionPolicy{}.removalGrace_;
  REQUIRE(PickId(table, late, { UpstreamId{ "b" } }).empty());
  // It is registered again after its lease expired while the store was
  // unavailable.
  table.OnEntry(MakeEntry("a"));
  REQUIRE(PickId(table, late, { UpstreamId{ "b" } }) == "a");
}

TEST_CASE("a complete list shows which entries were removed")
{
  UpstreamTable table = MakeTable({ MakeEntry("a"), MakeEntry("b") });
  table.OnList({ MakeEntry("b") }, kStart);
  const TimePoint late = kStart + 10s;
  REQUIRE(PickId(table, late) == "b");
  REQUIRE(PickId(table, late, { UpstreamId{ "b" } }).empty());
}

// Guards against work for an upstream that left long ago: a gateway that had
// been cut off read the list 2 s after the cut and used a missing upstream for
// the whole grace period, 3.4 s after it had left.
TEST_CASE("an upstream that is missing from a list had left before")
{
  UpstreamTable table =
    MakeTable({ MakeEntry("a"), MakeEntry("b"), MakeEntry("c") });
  SECTION("a few that are missing get no calls")
  {
    table.OnList({ MakeEntry("b"), MakeEntry("c") }, kStart);
    REQUIRE(
      PickId(table, kStart, { UpstreamId{ "b" }, UpstreamId{ "c" } }).empty());
  }
  SECTION("most that are missing expired with the store and may return")
  {
    table.OnList({ MakeEntry("c") }, kStart);
    REQUIRE_FALSE(PickId(table, kStart, { UpstreamId{ "c" } }).empty());
    const TimePoint late = kStart + SelectionPolicy{}.removalGrace_;
    REQUIRE(PickId(table, late, { UpstreamId{ "c" } }).empty());
  }
}

TEST_CASE("a failed upstream is avoided while there is another")
{
  UpstreamTable table = MakeTable({ MakeEntry("a"), MakeEntry("b", "z2") });
  table.OnStart(UpstreamId{ "a" }, kStart);
  table.OnEnd(UpstreamId{ "a" }, CallVerdict::Failed, kStart);
  REQUIRE(PickId(table) == "b");
  REQUIRE(PickId(table, kStart, { UpstreamId{ "b" } }) == "a");
  REQUIRE(PickId(table, kStart + 1s) == "a");
}

TEST_CASE("an item requires its weight version and a free slot")
{
  UpstreamTable table =
    MakeTable({ MakeEntry("old", "z1", 4), MakeEntry("new", "z1", 5) });
  for (int i = 0; i < 2; ++i) {
    const TrackedUpstream* picked = table.PickForItem(Needs(5), kStart);
    REQUIRE(picked->entry_.id_ == UpstreamId{ "new" });
    table.OnStart(picked->entry_.id_, kStart);
  }
  REQUIRE(table.PickForItem(Needs(5), kStart) == nullptr);
  table.OnVersion(UpstreamId{ "old" }, "m", WeightVersion{ 5 });
  REQUIRE(table.PickForItem(Needs(5), kStart)->entry_.id_ ==
          UpstreamId{ "old" });
}

TEST_CASE(
  "an item prefers the upstream that has its prompt cached, unless it is "
  "slow")
{
  UpstreamTable table =
    MakeTable({ MakeEntry("a"), MakeEntry("b"), MakeEntry("c") });
  table.OnStart(UpstreamId{ "a" }, kStart);
  REQUIRE(table.PickForItem(Needs(1, "a"), kStart)->entry_.id_ ==
          UpstreamId{ "a" });
  for (int i = 0; i < 20; ++i) {
    table.OnPace(UpstreamId{ "a" }, 100ms);
    table.OnPace(UpstreamId{ "b" }, 30ms);
    table.OnPace(UpstreamId{ "c" }, 30ms);
  }
  REQUIRE(table.Slow(UpstreamId{ "a" }));
  REQUIRE(table.PickForItem(Needs(1, "a"), kStart)->entry_.id_ !=
          UpstreamId{ "a" });
}

TEST_CASE("an interruption by loading weights does not make an upstream slow")
{
  UpstreamTable table =
    MakeTable({ MakeEntry("a"), MakeEntry("b"), MakeEntry("c") });
  for (const char* id : { "a", "b", "c" }) {
    table.OnPace(UpstreamId{ id }, 30ms);
  }
  table.OnPace(UpstreamId{ "a" }, 900ms);
  REQUIRE_FALSE(table.Slow(UpstreamId{ "a" }));
}

TEST_CASE("an unresponsive upstream is selected last")
{
  UpstreamTable table(ZoneId{ "z" });
  for (const char* name : { "a", "b" }) {
    UpstreamEntry entry;
    entry.id_ = UpstreamId{ name };
    entry.service_ = ServiceId{ "s" };
    entry.slots_ = 4;
    table.OnEntry(entry);
  }
  const auto pick = [&](Duration aAfter) {
    return table.Pick(ServiceId{ "s" }, {}, kStart + aAfter)->entry_.id_.Get();
  };
  const auto pickForItem = [&](Duration aAfter) {
    const ItemNeeds needs{ ServiceId{ "s" }, "", {}, UpstreamId{ "a" }, {} };
    return table.PickForItem(needs, kStart + aAfter)->entry_.id_.Get();
  };
  table.OnStart(UpstreamId{ "a" }, kStart);
  table.OnStart(UpstreamId{ "b" }, kStart);
  table.OnStart(UpstreamId{ "b" }, kStart);
  table.OnReceived(UpstreamId{ "b" }, kStart + 250ms);
  REQUIRE(pick(250ms) == "a");
  REQUIRE(pickForItem(250ms) == "a");
  REQUIRE(pick(350ms) == "b");
  REQUIRE(pickForItem(350ms) == "b");
  table.OnReceived(UpstreamId{ "a" }, kStart + 350ms);
  REQUIRE(pick(360ms) == "a");
  // Without calls in flight it is not unresponsive.
  table.OnEnd(UpstreamId{ "a" }, CallVerdict::Abandoned, kStart + 400ms);
  REQUIRE(pick(10s) == "a");
}

TEST_CASE("a slow pace does not make an upstream unresponsive")
{
  UpstreamTable table(ZoneId{ "z" });
  UpstreamEntry entry;
  entry.id_ = UpstreamId{ "a" };
  entry.service_ = ServiceId{ "s" };
  table.OnEntry(entry);
  table.OnStart(UpstreamId{ "a" }, kStart);
  table.OnPace(UpstreamId{ "a" }, 200ms);
  const TrackedUpstream& upstream = *table.Find(UpstreamId{ "a" });
  REQUIRE_FALSE(table.Unresponsive(upstream, kStart + 1100ms));
  REQUIRE(table.Unresponsive(upstream, kStart + 1300ms));
}

namespace {

/// The table of one of many processes of a zone, all of which know the same
/// upstreams.
UpstreamTable
MakeTableOf(int aProcess, int aUpstreams, std::uint32_t aSlots)
{
  UpstreamTable table(
    ZoneId{ "z1" }, SelectionPolicy{}, "front-" + std::to_string(aProcess));
  for (int i = 0; i < aUpstreams; ++i) {
    UpstreamEntry entry = MakeEntry("u" + std::to_string(i));
    entry.slots_ = aSlots;
    table.OnEntry(std::move(entry));
  }
  return table;
}

} // namespace

TEST_CASE(
  "calls of many processes are spread, and each process keeps its upstream")
{
  // 50 processes and 6 upstreams in a zone, one call at a time per process.
  std::map<std::string, int> calls;
  for (int process = 0; process < 50; ++process) {
    UpstreamTable table = MakeTableOf(process, 6, 6);
    const std::string first = PickId(table);
    for (int call = 0; call < 20; ++call) {
      REQUIRE(PickId(table) == first);
      table.OnStart(UpstreamId{ first }, kStart);
      table.OnEnd(UpstreamId{ first }, CallVerdict::Answered, kStart);
      ++calls[first];
    }
  }
  REQUIRE(calls.size() == 6);
  for (const auto& [id, count] : calls) {
    CAPTURE(id, count);
    // The mean is 167; with one order for all processes, one upstream received
    // all 1,000 calls.
    REQUIRE(count <= 300);
  }
}

TEST_CASE("items of several owners are spread over the upstreams")
{
  // 8 owners place 120 items each on 77 upstreams with 6 slots: a mean of 12.5.
  // With one order for all processes, the second items of all owners went to
  // the first upstreams.
  std::map<std::string, int> items;
  for (int owner = 0; owner < 8; ++owner) {
    UpstreamTable table = MakeTableOf(owner, 77, 6);
    for (int item = 0; item < 120; ++item) {
      const TrackedUpstream* picked = table.PickForItem(Needs(1), kStart);
      REQUIRE(picked != nullptr);
      ++items[picked->entry_.id_.Get()];
      table.OnStart(picked->entry_.id_, kStart);
    }
  }
  for (const auto& [id, count] : items) {
    CAPTURE(id, count);
    REQUIRE(count <= 15);
  }
}

// Each removal went through all upstreams of the fleet: 200 at once took an
// eighth of a core 0.2 s at 10,000 upstreams.
TEST_CASE("the work of a removal does not grow with the fleet")
{
  for (const int upstreams : { 400, 8000 }) {
    UpstreamTable table(ZoneId{ "z1" });
    for (int i = 0; i < upstreams; ++i) {
      table.OnEntry(MakeEntry(std::to_string(i)));
    }
    const std::uint64_t before = table.InspectedCount();
    TimePoint now = kStart;
    for (int i = 0; i < 200; ++i) {
      table.OnRemoved(UpstreamId{ std::to_string(i) }, now);
      now = now + 20ms;
    }
    table.OnRemoved(UpstreamId{ "0" }, now + 2s);
    CAPTURE(upstreams);
    REQUIRE(table.InspectedCount() - before <= 200);
    REQUIRE(table.Find(UpstreamId{ "0" }) == nullptr);
    REQUIRE(table.Find(UpstreamId{ "199" }) == nullptr);
    REQUIRE(table.Find(UpstreamId{ "200" }) != nullptr);
  }
}

TEST_CASE("a removed upstream is dropped once its last call has ended")
{
  UpstreamTable table = MakeTable({ MakeEntry("a"), MakeEntry("b") });
  table.OnStart(UpstreamId{ "a" }, kStart);
  table.OnRemoved(UpstreamId{ "a" }, kStart);
  table.OnRemoved(UpstreamId{ "b" }, kStart + 2s);
  REQUIRE(table.Find(UpstreamId{ "a" }) != nullptr);
  table.OnEnd(UpstreamId{ "a" }, CallVerdict::Answered, kStart + 3s);
  table.OnRemoved(UpstreamId{ "b" }, kStart + 4s);
  REQUIRE(table.Find(UpstreamId{ "a" }) == nullptr);
  REQUIRE(table.Find(UpstreamId{ "b" }) == nullptr);
}

TEST_CASE("an upstream that restarts after its removal stays registered")
{
  UpstreamTable table(ZoneId{ "z1" });
  UpstreamEntry entry = MakeEntry("a");
  entry.start_ = UpstreamStart{ 1 };
  table.OnEntry(entry);
  table.OnRemoved(entry.id_, kStart);
  entry.start_ = UpstreamStart{ 2 };
  REQUIRE(table.OnEntry(entry) == EntryEffect::Restarted);
  table.OnRemoved(UpstreamId{ "other" }, kStart + 10s);
  REQUIRE(table.Find(entry.id_) != nullptr);
  REQUIRE(PickId(table, kStart + 10s) == "a");
}
