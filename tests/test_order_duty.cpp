/// The duty of ordering weight versions, on fakes.

#include "order_fixture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

/// A configuration whose only service is that of the upstreams here.
constexpr const char* kConfig =
  R"({"version":1,"routes":[{"host":"h","prefix":"/j/","kind":"rollout",)"
  R"("service":"lm"}],"services":[{"name":"lm"}]})";

} // namespace

TEST_CASE("a holder whose lease came late orders once it is renewed")
{
  GatewayFakes fakes;
  fakes.settings_.fencing_ = true;
  fakes.store_.Put("op/config", kConfig);
  fakes.store_.Put(
    "servers/i-1",
    R"({"service":"lm","address":"e:1","zone":"z","slots":1,"state":"ready",
                   "models":[{"name":"m","version":1}]})");
  fakes.store_.Put("op/version/m", R"({"model":"m","version":2})");
  LeasedOrderDuty duty(fakes.context_);
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
  LeasedOrderDuty duty(fakes.context_);
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
  LeasedOrderDuty duty_{ context_ };

  DutyFixture()
  {
    settings_.fencing_ = true;
    store_.Put("op/config", kConfig);
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

  void AnswerReport(std::uint64_t aStart, int aOrders, bool aBusy = false)
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
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
  // It starts again while the order is under way; its entry tells so.
  fix.Register(2000);
  fix.AnswerReport(2000, 0);
  fix.AcceptOrder("0");
}

TEST_CASE("a report tells of a restart before the entry does")
{
  DutyFixture fix;
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
  fix.timers_.Advance(1100ms);
  fix.AnswerReport(2000, 0);
  fix.AnswerReport(2000, 0);
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
  fix.AnswerReport(1000, 4);
  REQUIRE(fix.OldestPath() == "http://e:1/order");
  fix.client_.Answer(fix.client_.Oldest(), HttpResponse{ 200, {}, "ok" });
  fix.timers_.Advance(600ms);
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
}

// The store of weights was so busy that loads took over 5 s. The upstream was
// ordered anew then, and another one in its place, so that more and more loads
// were under way and none of them ended.
TEST_CASE("a load that takes long keeps its place until it ends")
{
  DutyFixture fix;
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
  for (int i = 0; i < 20; ++i) {
    fix.timers_.Advance(2s);
    fix.AnswerReport(1000, 5, true);
    REQUIRE(fix.client_.open_.empty());
  }
}

TEST_CASE("an order that was lost is sent again")
{
  DutyFixture fix;
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
  fix.timers_.Advance(6s);
  fix.AnswerReport(1000, 4);
  fix.timers_.Advance(600ms);
  fix.AnswerReport(1000, 4);
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
  LeasedOrderDuty duty(fakes.context_);
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
    store_.Put("op/config", kConfig);
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
  LeasedOrderDuty duty(fix.context_);
  duty.Start();
  fix.timers_.Advance(100ms);
  REQUIRE(fix.client_.sent_ == 1);
}

TEST_CASE(
  "another instance lets the last holder come back, then waits its turn")
{
  UnfencedFixture fix;
  fix.store_.Put("mt/duty/orders-last", "other");
  LeasedOrderDuty duty(fix.context_);
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
  LeasedOrderDuty duty(fix.context_);
  duty.Start();
  fix.timers_.Advance(3400ms);
  REQUIRE(fix.client_.sent_ == 0);
  fix.timers_.Advance(300ms);
  REQUIRE(fix.client_.sent_ == 1);
}

namespace {

/// A holder that has an order to give; the test says what it reads of the
/// configuration.
struct UnreadConfigFixture : GatewayFakes
{
  LeasedOrderDuty duty_{ context_ };

  UnreadConfigFixture()
  {
    settings_.fencing_ = true;
    store_.Put("servers/i-1",
               R"({"service":"lm","address":"e:1","zone":"z","slots":1,)"
               R"("state":"ready","models":[{"name":"m","version":1}]})");
    store_.Put("op/version/m", R"({"model":"m","version":2})");
  }

  void PutConfig(bool aSingle)
  {
    store_.Put(
      "op/config",
      std::string(R"({"version":1,"routes":[{"host":"h","prefix":"/j/",)"
                  R"("kind":"rollout","service":"lm","single_version":)") +
        (aSingle ? "true" : "false") +
        R"(}],"services":[{"name":"lm","engine":{"models":[{"name":"m"}]}}]})");
  }

  /// Answers a report, then @returns the order.
  std::string Order()
  {
    REQUIRE(client_.open_.size() == 1);
    client_.Answer(client_.Oldest(),
                   JsonResponse(200, R"({"busy":false,"seq":0,"models":[]})"));
    timers_.Advance(20ms);
    REQUIRE(client_.open_.size() == 1);
    return client_.Oldest().call_.body_;
  }
};

} // namespace

// A trainer that asked for texts of one version each read texts of two. The
// order: a process began to give orders, read upstreams and named versions at
// once, and the configuration only later, since the store gave it late or not
// in a form that could be read; it ordered a new version with the runs going
// on. Cause: a process that had read no configuration took all models for ones
// whose texts may change their version.
TEST_CASE("no order goes out before the configuration was read")
{
  UnreadConfigFixture fix;
  SECTION("it is not there yet") {}
  SECTION("it cannot be read")
  {
    fix.store_.Put("op/config", "no config");
  }
  fix.duty_.Start();
  fix.timers_.Advance(3s);
  REQUIRE(fix.client_.sent_ == 0);
  fix.PutConfig(true);
  // It is looked for often as long as orders wait for it.
  fix.timers_.Advance(600ms);
  REQUIRE(fix.Order().find(R"("mode":"block")") != std::string::npos);
}

// The same, of a process that gave orders before: it lost the duty for a
// while, in which a route came to want one version for each text, and went on
// by the configuration that it had read in its last turn. Cause: what was read
// under an earlier turn counted as the present.
TEST_CASE("a holder that begins anew reads the configuration anew")
{
  UnreadConfigFixture fix;
  fix.PutConfig(false);
  fix.duty_.Start();
  fix.timers_.Advance(100ms);
  REQUIRE(fix.Order().find(R"("mode":"continue")") != std::string::npos);
  // Another process has the duty meanwhile.
  fix.client_.Answer(fix.client_.Oldest(), HttpResponse{ 412, {}, {} });
  fix.timers_.Advance(1s);
  REQUIRE(fix.client_.open_.empty());
  fix.store_.Put("op/config", "no config");
  fix.timers_.Advance(5s);
  REQUIRE(fix.client_.open_.empty());
  fix.PutConfig(true);
  fix.timers_.Advance(600ms);
  REQUIRE(fix.Order().find(R"("mode":"block")") != std::string::npos);
}

// New weights reached fewer upstreams than there were, for the rest of the day.
// The order: the store dropped its history, and before the watch of upstreams
// was opened anew one of them had left; the new reading did not hold it, yet it
// was still a home of its model and was asked for its state over and over.
// Cause: of a whole reading only what it holds was taken, not what it lacks.
TEST_CASE("an upstream that is missing from a whole reading gets no orders")
{
  DutyFixture fix;
  REQUIRE(fix.OldestPath() == "http://e:1/report");
  fix.store_.deaf_ = true;
  fix.store_.Remove("servers/i-1");
  fix.store_.TellBatch("servers/", StoreWatchBatch{ true, false, 0, {} });
  fix.timers_.Advance(100ms);
  const std::size_t sent = fix.client_.sent_;
  fix.client_.Fail(fix.client_.Oldest(), HttpEnd::NotSent);
  fix.timers_.Advance(3s);
  REQUIRE(fix.client_.sent_ == sent);
  fix.store_.deaf_ = false;
  fix.Register(2000);
  REQUIRE(fix.OldestPath() == "http://e:1/report");
}

namespace {

/// A holder of the duty with many upstreams that all hold the version named.
struct FleetFixture : GatewayFakes
{
  LeasedOrderDuty duty_{ context_ };

  FleetFixture()
  {
    settings_.fencing_ = true;
    store_.Put("op/config", kConfig);
    for (int i = 0; i < 50; ++i) {
      WriteHeartbeat(i, 0);
    }
    store_.Put("op/version/m", R"({"model":"m","version":2})");
    duty_.Start();
    timers_.Advance(100ms);
  }

  /// What an upstream writes of itself about once a second.
  void WriteHeartbeat(int aUpstream, int aCount, int aVersion = 2)
  {
    store_.Put("servers/i-" + std::to_string(aUpstream),
               R"({"service":"lm","address":"e:1","zone":"z","slots":1,)"
               R"("state":"ready","seq":)" +
                 std::to_string(aCount) +
                 R"(,"models":[{"name":"m","version":)" +
                 std::to_string(aVersion) + "}]}");
  }

  [[nodiscard]] int PlanCount() const
  {
    const std::string name = "order_plan_seconds_count ";
    const std::string text = metrics_.Render();
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0
                                   : std::stoi(text.substr(at + name.size()));
  }
};

} // namespace

// The same failure: the holder planned anew for each answer of its watch, and
// as 3,001 upstreams beat there, it did nothing else.
TEST_CASE("beats that change nothing are not planned for")
{
  FleetFixture fix;
  const int before = fix.PlanCount();
  REQUIRE(before > 0);
  for (int beat = 1; beat <= 4; ++beat) {
    for (int i = 0; i < 50; ++i) {
      fix.WriteHeartbeat(i, beat);
    }
  }
  REQUIRE(fix.PlanCount() == before);
  SECTION("an upstream falls behind the version named")
  {
    fix.store_.Put("op/version/m", R"({"model":"m","version":3})");
    REQUIRE(fix.PlanCount() == before + 1);
    REQUIRE(fix.client_.sent_ > 0);
  }
  SECTION("an upstream tells a newer version")
  {
    fix.WriteHeartbeat(7, 5, 3);
    REQUIRE(fix.PlanCount() == before + 1);
  }
  SECTION("an upstream is new")
  {
    fix.WriteHeartbeat(50, 0);
    REQUIRE(fix.PlanCount() == before + 1);
  }
  SECTION("an upstream leaves")
  {
    fix.store_.Remove("servers/i-7");
    REQUIRE(fix.PlanCount() == before + 1);
  }
}

// A version that was named while a renewal of the lease was late waited for the
// next word from any upstream; those that have nothing to tell may be silent
// for long.
TEST_CASE("a change is planned for once the lease is renewed")
{
  FleetFixture fix;
  const int before = fix.PlanCount();
  fix.store_.fault_ = StoreFault::Silent;
  fix.timers_.Advance(1400ms);
  fix.store_.Put("op/version/m", R"({"model":"m","version":3})");
  REQUIRE(fix.PlanCount() == before);
  fix.store_.fault_ = StoreFault::None;
  fix.timers_.Advance(1s);
  REQUIRE(fix.PlanCount() > before);
}
