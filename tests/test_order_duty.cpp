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
