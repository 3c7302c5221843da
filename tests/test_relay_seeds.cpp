/// The relays that are kept in the store for processes that start.

#include "daemon/relay_seeds.hpp"
#include "gateway_fixture.hpp"
#include "log_capture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

constexpr const char* kKey = "mt/relays";
constexpr const char* kPrefix = "mt/c/";

struct Fixture : GatewayFakes
{
  RelaySeeds seeds_{ context_, kPrefix };

  Fixture()
  {
    settings_.address_ = "self";
    settings_.rpcPort_ = 7;
  }

  void Know(int aProcesses)
  {
    for (int i = 0; i < aProcesses; ++i) {
      const std::string name = "p" + std::to_string(i);
      relays_.OnAlive(name + "~1", { ZoneId{ "z" }, name + ":7" });
    }
    relays_.OnAlive("self~1",
                    { ZoneId{ "z" }, "self:7", Capacity{ ownCapacity_ } });
    seeds_.OnPlanChanged();
  }

  std::uint32_t ownCapacity_ = 500;
};

} // namespace

TEST_CASE("a process that starts uses the relays that served before")
{
  Fixture fix;
  fix.store_.Put(kKey, R"(["a:7","b:7"])");
  RelaySeeds seeds(fix.context_, kPrefix);
  bool done = false;
  seeds.Read([&done] { done = true; });
  fix.timers_.Advance(10ms);
  REQUIRE(done);
  REQUIRE(fix.relays_.Relays(kPrefix).size() == 2);
  seeds.Drop();
  REQUIRE(fix.relays_.Relays(kPrefix).empty());
}

TEST_CASE("a process that served as a relay before reads from the store")
{
  Fixture fix;
  fix.store_.Put(kKey, R"(["a:7","self:7"])");
  RelaySeeds seeds(fix.context_, kPrefix);
  seeds.Read([] {});
  fix.timers_.Advance(10ms);
  REQUIRE(fix.relays_.Relays(kPrefix).empty());
}

TEST_CASE("without readable relays a process starts with none")
{
  Fixture fix;
  const LogCapture log;
  SECTION("none are recorded") {}
  SECTION("the record is unreadable")
  {
    fix.store_.Put(kKey, "{");
  }
  SECTION("the store does not answer")
  {
    fix.store_.unreadable_ = kKey;
  }
  bool done = false;
  fix.seeds_.Read([&done] { done = true; });
  fix.timers_.Advance(2s);
  REQUIRE(done);
  REQUIRE(fix.relays_.Relays(kPrefix).empty());
}

TEST_CASE("the first relay records all of them once")
{
  Fixture fix;
  fix.Know(100);
  fix.timers_.Advance(1s);
  REQUIRE(fix.store_.commits_ == 0);
  fix.timers_.Advance(2s);
  REQUIRE(fix.store_.commits_ == 1);
  REQUIRE(fix.store_.records_.at(kKey).value_.starts_with(R"(["self:7",)"));
  fix.Know(100);
  fix.timers_.Advance(5s);
  REQUIRE(fix.store_.commits_ == 1);
}

TEST_CASE("a record of the relays that failed is written again")
{
  Fixture fix;
  fix.store_.refusals_ = 1;
  fix.Know(100);
  fix.timers_.Advance(5s);
  REQUIRE(fix.store_.commits_ == 2);
  REQUIRE(fix.store_.records_.contains(kKey));
}

TEST_CASE("other processes record no relays")
{
  Fixture fix;
  fix.ownCapacity_ = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string name = "p" + std::to_string(i);
    fix.relays_.OnAlive(name + "~1",
                        { ZoneId{ "z" }, name + ":7", Capacity{ 500 } });
  }
  fix.seeds_.OnPlanChanged();
  fix.timers_.Advance(5s);
  REQUIRE(fix.store_.commits_ == 0);
}
