/// The duty of ordering weight versions, on fakes.

#include "gateway_fixture.hpp"
#include "programs/orderd/order_duty.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

TEST_CASE("a holder whose lease came late orders once it is renewed")
{
  GatewayFakes fakes;
  fakes.settings_.fencing_ = true;
  fakes.store_.Put(
    "servers/i-1",
    R"({"service":"lm","address":"e:1","zone":"z","slots":1,"state":"ready",
                   "models":[{"name":"m","version":1}]})");
  fakes.store_.Put("op/version/m", R"({"model":"m","version":2})");
  OrderDuty duty(fakes.context_);
  // Grant and write together take nearly all of the lease.
  fakes.store_.delay_ = 700ms;
  duty.Start();
  fakes.timers_.Advance(1410ms);
  REQUIRE(fakes.client_.sent_ == 0);
  fakes.store_.delay_ = 4ms;
  fakes.timers_.Advance(3s);
  REQUIRE(fakes.client_.sent_ > 0);
}

TEST_CASE("runs of a model whose texts need one version finish before a change")
{
  const bool single = GENERATE(true, false);
  GatewayFakes fakes;
  fakes.settings_.fencing_ = true;
  fakes.store_.Put(
    "servers/i-1",
    R"({"service":"lm","address":"e:1","zone":"z","slots":1,"state":"ready",
                   "models":[{"name":"m","version":1}]})");
  fakes.store_.Put(
    "op/config",
    std::string(R"({"version":1,"routes":[{"host":"h","prefix":"/j/",)"
                R"("kind":"rollout","service":"lm","single_version":)") +
      (single ? "true" : "false") +
      R"(}],"services":[{"name":"lm","engine":{"models":[{"name":"m"}]}}]})");
  OrderDuty duty(fakes.context_);
  duty.Start();
  fakes.timers_.Advance(100ms);
  fakes.store_.Put("op/version/m", R"({"model":"m","version":2})");
  fakes.timers_.Advance(100ms);
  fakes.client_.Answer(
    fakes.client_.Oldest(),
    JsonResponse(200, R"({"busy":false,"seq":0,"models":[]})"));
  fakes.timers_.Advance(100ms);
  REQUIRE(fakes.client_.open_.size() == 1);
  const std::string& body = fakes.client_.Oldest().call_.body_;
  REQUIRE(body.find(single ? R"("mode":"block")" : R"("mode":"continue")") !=
          std::string::npos);
}

namespace {

/// A holder of the duty with one upstream and a version that it lacks.
struct DutyFixture : GatewayFakes
{
  OrderDuty duty_{ context_ };

  DutyFixture()
  {
    settings_.fencing_ = true;
    Register(1000);
    store_.Put("op/version/m", R"({"model":"m","version":2})");
    duty_.Start();
    timers_.Advance(100ms);
  }

  void Register(std::uint64_t aStart,
                const std::string& aState = "ready",
                const std::string& aService = "lm")
  {
    store_.Put("servers/i-1",
               R"({"service":")" + aService +
                 R"(","address":"e:1","zone":"z","slots":1,"state":")" +
                 aState + R"(","born":)" + std::to_string(aStart) +
                 R"(,"models":[{"name":"m","version":1}]})");
    timers_.Advance(20ms);
  }

  [[nodiscard]] std::string OldestPath()
  {
    return client_.open_.empty() ? "" : client_.Oldest().call_.url_;
  }

  void Report(std::uint64_t aStart, int aOrders, bool aBusy = false)
  {
    REQUIRE(OldestPath() == "http://e:1/report");
    client_.Answer(client_.Oldest(),
                   JsonResponse(200,
                                R"({"busy":)" +
                                  std::string(aBusy ? "true" : "false") +
                                  R"(,"seq":)" + std::to_string(aOrders) +
                                  R"(,"born":)" + std::to_string(aStart) +
                                  R"(,"models":[{"name":"m","version":1}]})"));
    timers_.Advance(20ms);
  }

  void AcceptOrder(const std::string& aExpected)
  {
    REQUIRE(OldestPath() == "http://e:1/order");
    const std::string& body = client_.Oldest().call_.body_;
    REQUIRE(body.find(R"("expected":)" + aExpected) != std::string::npos);
    client_.Answer(client_.Oldest(), HttpResponse{ 202, {}, {} });
  }
};

} // namespace

TEST_CASE("an upstream that starts again is ordered anew by its own count")
{
  DutyFixture fix;
  fix.Report(1000, 4);
  fix.AcceptOrder("4");
  // It starts again while the order is under way; its entry tells so.
  fix.Register(2000);
  fix.Report(2000, 0);
  fix.AcceptOrder("0");
}

TEST_CASE("a report tells of a restart before the entry does")
{
  DutyFixture fix;
  fix.Report(1000, 4);
  fix.AcceptOrder("4");
  fix.timers_.Advance(1100ms);
  fix.Report(2000, 0);
  fix.Report(2000, 0);
  fix.AcceptOrder("0");
  // The entry of the incarnation before comes late and changes nothing.
  fix.Register(1000, "draining");
  fix.timers_.Advance(1100ms);
  REQUIRE(fix.OldestPath() == "http://e:1/report");
}

// An order bears no id that its answer could name, and a second answer to the
// report before it would come on the same connection: a 200 that is not the
// order's own would leave the upstream on its old version for good.
TEST_CASE("an order that is said to hold is believed once a report says so")
{
  DutyFixture fix;
  fix.Report(1000, 4);
  REQUIRE(fix.OldestPath() == "http://e:1/order");
  fix.client_.Answer(fix.client_.Oldest(), HttpResponse{ 200, {}, "ok" });
  fix.timers_.Advance(600ms);
  fix.Report(1000, 4);
  fix.AcceptOrder("4");
}

TEST_CASE("orders go to no upstream that another writer registered")
{
  GatewayFakes fakes;
  fakes.settings_.fencing_ = true;
  fakes.store_.Put("op/config",
                   R"({"version":1,"routes":[{"host":"h","prefix":"/j/",)"
                   R"("kind":"rollout","service":"lm"}],)"
                   R"("services":[{"name":"lm"}]})");
  fakes.store_.Put("servers/i-1",
                   R"({"service":"other","address":"e:1","zone":"z",)"
                   R"("slots":1,"state":"ready",)"
                   R"("models":[{"name":"m","version":1}]})");
  fakes.store_.Put("servers/i-2", "no entry at all");
  fakes.store_.Put("op/version/m", R"({"model":"m","version":2})");
  OrderDuty duty(fakes.context_);
  duty.Start();
  fakes.timers_.Advance(3s);
  REQUIRE(fakes.client_.sent_ == 0);
  // A service that a later configuration names is served.
  fakes.store_.Put("op/config",
                   R"({"version":2,"routes":[],"services":[{"name":"lm"},)"
                   R"({"name":"other"}]})");
  fakes.timers_.Advance(11s);
  REQUIRE(fakes.client_.sent_ > 0);
}

namespace {

/// Upstreams that check no fencing numbers; the instance is `self`.
struct UnfencedFixture : GatewayFakes
{
  UnfencedFixture()
  {
    settings_.fencing_ = false;
    settings_.orderTurn_ = 3s;
    store_.Put("servers/i-1",
               R"({"service":"lm","address":"e:1","zone":"z","slots":1,)"
               R"("state":"ready","models":[{"name":"m","version":1}]})");
    store_.Put("op/version/m", R"({"model":"m","version":2})");
  }
};

} // namespace

TEST_CASE("the instance that gave the last orders goes on without a pause")
{
  UnfencedFixture fix;
  fix.store_.Put("mt/duty/orders-last", "self");
  // Its run before was killed and its lease has not lapsed.
  fix.store_.Put("mt/duty/orders", "self~0");
  OrderDuty duty(fix.context_);
  duty.Start();
  fix.timers_.Advance(100ms);
  REQUIRE(fix.client_.sent_ == 1);
}

TEST_CASE(
  "another instance lets the last holder come back, then waits its turn")
{
  UnfencedFixture fix;
  fix.store_.Put("mt/duty/orders-last", "other");
  OrderDuty duty(fix.context_);
  duty.Start();
  fix.timers_.Advance(400ms);
  REQUIRE_FALSE(fix.store_.records_.contains("mt/duty/orders"));
  fix.timers_.Advance(3000ms);
  REQUIRE(fix.store_.records_.contains("mt/duty/orders"));
  REQUIRE(fix.client_.sent_ == 0);
  REQUIRE(fix.store_.records_.at("mt/duty/orders-last").value_ == "other");
  fix.timers_.Advance(700ms);
  REQUIRE(fix.client_.sent_ == 1);
  REQUIRE(fix.store_.records_.at("mt/duty/orders-last").value_ == "self");
}

TEST_CASE("a holder that gave no order before it died waits its turn again")
{
  UnfencedFixture fix;
  fix.store_.Put("mt/duty/orders-last", "other");
  fix.store_.Put("mt/duty/orders", "self~0");
  OrderDuty duty(fix.context_);
  duty.Start();
  fix.timers_.Advance(3400ms);
  REQUIRE(fix.client_.sent_ == 0);
  fix.timers_.Advance(300ms);
  REQUIRE(fix.client_.sent_ == 1);
}
