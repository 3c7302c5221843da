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
  fakes.store_.Put("servers/i-1",
                   R"({"service":"lm","address":"e:1","slots":1,"state":"ready",
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
  fakes.store_.Put("servers/i-1",
                   R"({"service":"lm","address":"e:1","slots":1,"state":"ready",
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
