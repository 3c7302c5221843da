/// Which processes are relays, and which of them a process uses.

#include "marjoramtally/process/relay_plan.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace marjoramtally;

namespace {

RelayPlan
MakePlan(const std::string& aSelf, int aPeers)
{
  RelayPlan plan(aSelf);
  for (int i = 0; i < aPeers; ++i) {
    const std::string name = "p" + std::to_string(i) + "~1";
    plan.OnAlive(name, { ZoneId{ "z" + std::to_string(i % 3) }, name });
  }
  return plan;
}

} // namespace

TEST_CASE("the processes of a small fleet watch the store directly")
{
  REQUIRE(MakePlan("p0~1", 4).Relays("k/").empty());
}

TEST_CASE("all processes agree on a few relays in different zones")
{
  std::map<std::string, int> asked;
  int relays = 0;
  for (int i = 0; i < 180; ++i) {
    const RelayPlan plan = MakePlan("p" + std::to_string(i) + "~1", 180);
    relays += plan.Relays("k/").empty() ? 1 : 0;
    for (const std::string& relay : plan.Relays("k/")) {
      ++asked[relay];
    }
  }
  REQUIRE(relays == 3);
  REQUIRE(asked.size() == 3);
  std::set<int> zonesOfRelays;
  for (const auto& [relay, count] : asked) {
    REQUIRE(count == 177);
    REQUIRE(MakePlan(relay, 180).Relays("k/").empty());
    zonesOfRelays.insert(std::stoi(relay.substr(1)) % 3);
  }
  REQUIRE(zonesOfRelays.size() == 3);
}

TEST_CASE("the number of watches at the store does not grow with the processes")
{
  // Three prefixes need at most 12 watches for any number of processes. The
  // load of a relay is at most twice the requests of 24 processes for all
  // prefixes.
  const std::vector<std::string> prefixes{ "a/", "b/", "c/" };
  for (const int processes : { 12, 60, 250 }) {
    std::size_t watches = 0;
    std::map<std::string, std::size_t> requests;
    for (int i = 0; i < processes; ++i) {
      const RelayPlan plan =
        MakePlan("p" + std::to_string(i) + "~1", processes);
      for (const std::string& prefix : prefixes) {
        const std::vector<std::string>& relays = plan.Relays(prefix);
        watches += relays.empty() ? 1 : 0;
        if (!relays.empty()) {
          ++requests[relays.front()];
        }
      }
    }
    CAPTURE(processes);
    REQUIRE(watches <= 12);
    for (const auto& [relay, count] : requests) {
      CAPTURE(relay);
      REQUIRE(count <= 2 * 72);
    }
  }
}

TEST_CASE("a relay that leaves is replaced")
{
  RelayPlan plan = MakePlan("p0~1", 60);
  const std::vector<std::string> before = plan.Relays("k/");
  plan.OnGone(before.front());
  const std::vector<std::string> after = plan.Relays("k/");
  REQUIRE(after.size() == before.size());
  REQUIRE(std::find(after.begin(), after.end(), before.front()) == after.end());
}

// After all processes were killed, their leases lasted for up to 12 s more, and
// half of the relays were processes that had ended.
TEST_CASE("only the newest incarnation of an instance is a relay")
{
  RelayPlan plan("p0~2");
  for (const char* run : { "~2", "~1" }) {
    for (int i = 0; i < 200; ++i) {
      const std::string instance = "p" + std::to_string(i);
      plan.OnAlive(instance + run,
                   { ZoneId{ "z" + std::to_string(i % 3) }, instance + run });
    }
  }
  REQUIRE(plan.Peers().size() == 199);
  for (const std::string& relay : plan.Relays("k/")) {
    REQUIRE(relay.ends_with("~2"));
  }
  const std::vector<std::string> before = plan.Relays("k/");
  plan.OnGone("p7~1");
  REQUIRE(plan.Relays("k/") == before);
}

TEST_CASE("a restart of all processes changes no relay")
{
  const auto zoneOf = [](int aNumber) {
    return ZoneId{ "z" + std::to_string(aNumber % 3) };
  };
  RelayPlan plan("p0~2");
  for (int i = 0; i < 200; ++i) {
    const std::string instance = "p" + std::to_string(i);
    plan.OnAlive(instance + "~1", { zoneOf(i), instance });
  }
  const std::vector<std::string> before = plan.Relays("k/");
  for (int i = 0; i < 200; ++i) {
    const std::string instance = "p" + std::to_string(i);
    plan.OnAlive(instance + "~2", { zoneOf(i), instance });
    REQUIRE(plan.Relays("k/") == before);
  }
}

TEST_CASE("the work of a change of the relay plan does not grow with the fleet")
{
  std::map<int, std::uint64_t> inspected;
  for (const int processes : { 100, 1600 }) {
    RelayPlan plan = MakePlan("p0~1", processes);
    const std::vector<std::string> prefixes{ "a/", "b/", "c/" };
    for (const std::string& prefix : prefixes) {
      static_cast<void>(plan.Relays(prefix));
    }
    const std::uint64_t before = plan.InspectedCount();
    for (int i = 0; i < 50; ++i) {
      plan.OnGone("p" + std::to_string(i) + "~1");
      for (const std::string& prefix : prefixes) {
        static_cast<void>(plan.Relays(prefix));
      }
    }
    inspected[processes] = plan.InspectedCount() - before;
  }
  // The number of relays grows with the fleet: 2 and 23 for each prefix.
  REQUIRE(inspected.at(1600) <= 50 * 3 * (2 * 23 + 10));
  REQUIRE(inspected.at(1600) <= 12 * inspected.at(100));
}

TEST_CASE("the instances with the most capacity are relays, in different zones")
{
  RelayPlan plan("p0~1");
  for (int i = 0; i < 60; ++i) {
    const std::string name = "p" + std::to_string(i) + "~1";
    const Capacity capacity{ i >= 50 ? 500U : 90U };
    plan.OnAlive(name,
                 { ZoneId{ "z" + std::to_string(i % 3) }, name, capacity });
  }
  std::set<int> zones;
  for (const std::string& relay : plan.Relays("k/")) {
    const int number = std::stoi(relay.substr(1));
    REQUIRE(number >= 50);
    REQUIRE(zones.insert(number % 3).second);
  }
  REQUIRE(zones.size() == 2);
}

TEST_CASE("a liveness record without a capacity can be read")
{
  const auto record =
    ReadLivenessRecord(R"({"zone":"z","address":"10.0.0.1:7"})");
  REQUIRE(record.value().capacity_ == Capacity{});
}

TEST_CASE("seeds serve until enough processes are known")
{
  RelayPlan plan("p0~2");
  plan.SetSeeds({ "a", "b" }, "p0");
  REQUIRE(plan.Relays("k/").size() == 2);
  plan.SetSeeds({ "a", "p0" }, "p0");
  REQUIRE(plan.Relays("k/").empty());
  plan.SetSeeds({ "a", "b" }, "p0");
  for (int i = 0; i < 30; ++i) {
    const std::string name = "p" + std::to_string(i) + "~1";
    plan.OnAlive(name, { ZoneId{ "z" }, name });
  }
  for (const std::string& relay : plan.Relays("k/")) {
    REQUIRE(relay.starts_with("p"));
  }
}

TEST_CASE("only the first relay of a prefix tells all of them")
{
  std::size_t tellers = 0;
  std::vector<std::string> told;
  for (int i = 0; i < 180; ++i) {
    const RelayPlan plan = MakePlan("p" + std::to_string(i) + "~1", 180);
    const std::vector<std::string> relays = plan.RelaysIfFirst("k/");
    if (!relays.empty()) {
      ++tellers;
      told = relays;
    }
  }
  REQUIRE(tellers == 1);
  REQUIRE(told.size() == 3);
  for (const std::string& relay : told) {
    REQUIRE(MakePlan(relay, 180).Relays("k/").empty());
  }
}

TEST_CASE("liveness records can be read as they were written")
{
  const auto record = ReadLivenessRecord(
    WriteLivenessRecord({ ZoneId{ "z" }, "10.0.0.1:7", Capacity{ 120 } }));
  REQUIRE(record.value().zone_ == ZoneId{ "z" });
  REQUIRE(record.value().address_ == "10.0.0.1:7");
  REQUIRE(record.value().capacity_ == Capacity{ 120 });
  REQUIRE(ReadLivenessRecord("front-1").error().kind_ == ErrorKind::BadInput);
}
