/// Tests of the duty of ordering weight versions, on fakes.

#include "log_capture.hpp"
#include "order_fixture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

TEST_CASE("a holder whose lease was granted late sends orders after a renewal")
{
  GatewayFakes fakes;
  fakes.settings_.fencing_ = true;
  fakes.store_.Put("op/config", kOrderConfig);
  fakes.store_.Put(
    "servers/i-1",
    R"({"service":"lm","address":"e:1","zone":"z","slots":1,"state":"ready",
                   "models":[{"name":"m","version":1}]})");
  fakes.store_.Put("op/version/m", R"({"model":"m","version":2})");
  LeasedOrderDuty duty(fakes.context_);
  // Grant and write together take nearly the whole lease duration.
  fakes.store_.delay_ = 700ms;
  duty.Start();
  fakes.timers_.Advance(1410ms);
  REQUIRE(fakes.client_.sent_ == 0);
  fakes.store_.delay_ = 4ms;
  fakes.timers_.Advance(3s);
  REQUIRE(fakes.client_.sent_ > 0);
}

TEST_CASE("runs of a single-version model finish before a version change")
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

TEST_CASE(
  "a restarted upstream receives the order again with its own order count")
{
  DutyFixture fix;
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
  // The upstream restarts while the order is in progress, and its entry shows
  // this.
  fix.Register(2000);
  fix.AnswerReport(2000, 0);
  fix.AcceptOrder("0");
}

TEST_CASE("a report shows a restart before the entry does")
{
  DutyFixture fix;
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
  fix.timers_.Advance(1100ms);
  fix.AnswerReport(2000, 0);
  fix.AnswerReport(2000, 0);
  fix.AcceptOrder("0");
  // A late entry of the earlier incarnation changes nothing.
  fix.Register(1000, "draining");
  fix.timers_.Advance(1100ms);
  REQUIRE(fix.OldestPath() == "http://e:1/report");
}

// Orders have no id that a reply could refer to, and a duplicate reply to the
// preceding report arrives on the same connection. Accepting such a 200 as the
// order's own reply would leave the upstream on its old version permanently.
TEST_CASE("a 200 reply to an order counts only once a report confirms it")
{
  DutyFixture fix;
  fix.AnswerReport(1000, 4);
  REQUIRE(fix.OldestPath() == "http://e:1/order");
  fix.client_.Answer(fix.client_.Oldest(), HttpResponse{ 200, {}, "ok" });
  fix.timers_.Advance(600ms);
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
}

// Guards against an overload of the weight store: when it was so busy that
// loads took over 5 s, the upstream received the order again and another
// upstream was given one too, so that more and more loads ran and none of them
// ended.
TEST_CASE("a slow load counts against the limit until it ends")
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

TEST_CASE("a lost order is sent again")
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

TEST_CASE("upstreams of services outside the configuration get no orders")
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
  // A later configuration adds the service.
  fakes.store_.Put("op/config",
                   R"({"version":2,"routes":[],"services":[{"name":"lm"},)"
                   R"({"name":"other"}]})");
  fakes.timers_.Advance(11s);
  REQUIRE(fakes.client_.sent_ > 0);
}

namespace {

/// Upstreams that do not check fencing numbers; this instance is `self`.
struct UnfencedFixture : GatewayFakes
{
  UnfencedFixture()
  {
    settings_.fencing_ = false;
    settings_.orderTurn_ = 3s;
    store_.Put("op/config", kOrderConfig);
    store_.Put("servers/i-1",
               R"({"service":"lm","address":"e:1","zone":"z","slots":1,)"
               R"("state":"ready","models":[{"name":"m","version":1}]})");
    store_.Put("op/version/m", R"({"model":"m","version":2})");
  }
};

} // namespace

TEST_CASE("the instance that sent the last orders continues without a pause")
{
  UnfencedFixture fix;
  fix.store_.Put("mt/duty/orders-last", "self");
  // Its earlier run was killed and that run's lease has not expired.
  fix.store_.Put("mt/duty/orders", "self~0");
  LeasedOrderDuty duty(fix.context_);
  duty.Start();
  fix.timers_.Advance(100ms);
  REQUIRE(fix.client_.sent_ == 1);
}

TEST_CASE("another instance gives the last holder a head start, then waits")
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

TEST_CASE("a holder that sent no order before it died waits again")
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

/// A holder with an order to send; the test decides when it can read which
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

  /// Replies to the request for a report.
  /// @returns the body of the order that follows
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

// Guards against texts that mix two versions although their trainer requires a
// single one. It happened when a new holder read upstreams and announced
// versions before the configuration, which the store returned late or
// unreadable: the holder assumed that runs of all models may continue across a
// version change.
TEST_CASE("no order is sent before the configuration has been read")
{
  UnreadConfigFixture fix;
  SECTION("it does not exist yet") {}
  SECTION("it cannot be read")
  {
    fix.store_.Put("op/config", "no config");
  }
  fix.duty_.Start();
  fix.timers_.Advance(3s);
  REQUIRE(fix.client_.sent_ == 0);
  fix.PutConfig(true);
  // It is read at short intervals while orders wait for it.
  fix.timers_.Advance(600ms);
  REQUIRE(fix.Order().find(R"("mode":"block")") != std::string::npos);
}

// Guards against the same failure in a process that was the holder before. It
// lost the duty, a route was changed to require a single version meanwhile, and
// the process then continued with the configuration from its earlier term.
TEST_CASE("a holder that regains the duty reads the configuration again")
{
  UnreadConfigFixture fix;
  fix.PutConfig(false);
  fix.duty_.Start();
  fix.timers_.Advance(100ms);
  REQUIRE(fix.Order().find(R"("mode":"continue")") != std::string::npos);
  // Another process holds the duty meanwhile.
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

// Guards against new weights no longer reaching all upstreams. The store
// compacted its history, and an upstream left before its watch was reopened.
// The complete read did not contain that upstream, but only its records were
// applied and missing ones were not removed, so the upstream still counted as
// serving its model and was polled repeatedly.
TEST_CASE("an upstream that is missing from a complete read gets no orders")
{
  DutyFixture fix;
  REQUIRE(fix.OldestPath() == "http://e:1/report");
  fix.store_.dropsEvents_ = true;
  fix.store_.Remove("servers/i-1");
  fix.store_.SendBatch("servers/", StoreWatchBatch{ true, false, 0, {} });
  fix.timers_.Advance(100ms);
  const std::size_t sent = fix.client_.sent_;
  fix.client_.Fail(fix.client_.Oldest(), HttpEnd::NotSent);
  fix.timers_.Advance(3s);
  REQUIRE(fix.client_.sent_ == sent);
  fix.store_.dropsEvents_ = false;
  fix.Register(2000);
  REQUIRE(fix.OldestPath() == "http://e:1/report");
}

namespace {

/// A holder of the duty with many upstreams that all have the announced
/// version.
struct FleetFixture : GatewayFakes
{
  LeasedOrderDuty duty_{ context_ };

  FleetFixture()
  {
    settings_.fencing_ = true;
    store_.Put("op/config", kOrderConfig);
    for (int i = 0; i < 50; ++i) {
      WriteHeartbeat(i, 0);
    }
    store_.Put("op/version/m", R"({"model":"m","version":2})");
    duty_.Start();
    timers_.Advance(100ms);
  }

  /// Writes the entry that an upstream updates about once a second.
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

// Guards against a holder that is busy with planning alone: it planned for each
// batch of watch events, which 3,001 upstreams cause continuously with their
// heartbeats.
TEST_CASE("heartbeats that change nothing cause no plan")
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
  SECTION("an upstream falls behind the announced version")
  {
    fix.store_.Put("op/version/m", R"({"model":"m","version":3})");
    REQUIRE(fix.PlanCount() == before + 1);
    REQUIRE(fix.client_.sent_ > 0);
  }
  SECTION("an upstream reports a newer version")
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

// Guards against a delayed order: a version announced while a renewal of the
// lease was late was planned for only at the next event from any upstream,
// which may take long.
TEST_CASE("a change is planned for as soon as the lease is renewed")
{
  FleetFixture fix;
  const int before = fix.PlanCount();
  fix.store_.fault_ = StoreFault::Unresponsive;
  fix.timers_.Advance(1400ms);
  fix.store_.Put("op/version/m", R"({"model":"m","version":3})");
  REQUIRE(fix.PlanCount() == before);
  fix.store_.fault_ = StoreFault::None;
  fix.timers_.Advance(1s);
  REQUIRE(fix.PlanCount() > before);
}

TEST_CASE("odd entries and versions keep no order of the others back")
{
  GatewayFakes fakes;
  fakes.settings_.fencing_ = true;
  fakes.store_.Put("op/config", kOrderConfig);
  const auto put = [&](const std::string& aId, const std::string& aSlots) {
    fakes.store_.Put("servers/" + aId,
                     R"({"service":"lm","address":")" + aId +
                       R"(:1","zone":"z","state":"ready",)"
                       R"("models":[{"name":"m","version":1}],"slots":)" +
                       aSlots + "}");
  };
  put("good", "1");
  put("odd", "1e400");
  fakes.store_.Put("op/version/odd", R"({"model":"m","version":-1})");
  fakes.store_.Put("op/version/deep",
                   std::string(200'000, '[') + std::string(200'000, ']'));
  fakes.store_.Put("op/version/m", R"({"model":"m","version":2})");
  const LogCapture log;
  LeasedOrderDuty duty(fakes.context_);
  duty.Start();
  fakes.timers_.Advance(100ms);
  REQUIRE(fakes.client_.open_.size() == 1);
  CHECK(fakes.client_.Oldest().call_.url_ == "http://good:1/report");
  CHECK(log.Contains("event=upstream_unreadable key=servers/odd"));
  CHECK(log.Contains("event=version_unreadable key=op/version/odd"));
  CHECK(log.Contains("event=version_unreadable key=op/version/deep"));
  fakes.client_.Answer(
    fakes.client_.Oldest(),
    JsonResponse(200, R"({"busy":false,"seq":0,"models":[]})"));
  fakes.timers_.Advance(100ms);
  REQUIRE_FALSE(fakes.client_.open_.empty());
  CHECK(fakes.client_.Oldest().call_.body_.Get().find(R"("version":2)") !=
        std::string::npos);
  // A later value of the same key.
  put("odd", "1");
  fakes.store_.Remove("servers/good");
  fakes.timers_.Advance(3s);
  CHECK(std::any_of(fakes.client_.open_.begin(),
                    fakes.client_.open_.end(),
                    [](const SentCall& aCall) {
                      return aCall.call_.url_ == "http://odd:1/report";
                    }));
}
