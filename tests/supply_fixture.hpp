/// A holder of the duty of ordering upstreams, on fakes.
#pragma once

#include "order_fixture.hpp"
#include "programs/orderd/supply_duty.hpp"

namespace marjoramtally::test {

using namespace std::chrono_literals;

struct SupplyFixture : GatewayFakes
{
  LeasedOrderDuty orders_{ context_ };
  std::unique_ptr<SupplyDuty> duty_;

  SupplyFixture()
  {
    settings_.fencing_ = true;
    settings_.dutyCalls_ = "cloud:1";
    duty_ =
      std::make_unique<SupplyDuty>(context_, orders_.lease_, orders_.duty_);
    store_.Put(
      "op/config",
      R"({"version":1,"routes":[],"services":[{"name":"lm","scale":{)"
      R"("min":1,"max":4,"boot_s":4,"zone_prices":{"z1":1,"z2":2}}}]})");
    for (const char* id : { "a", "b" }) {
      store_.Put(
        std::string("servers/") + id,
        std::string(R"({"service":"lm","address":"e:1","zone":"z1",)") +
          R"("slots":6,"state":"ready"})");
    }
    orders_.Start();
    timers_.Advance(200ms);
    duty_->Advance();
    timers_.Advance(3100ms);
  }

  void Round(std::uint64_t aPlaces)
  {
    GatewayUsage usage;
    usage.demand_[ServiceId{ "lm" }] = aPlaces;
    duty_->OnUsage(usage);
    duty_->Advance();
    timers_.Advance(20ms);
  }
};

} // namespace marjoramtally::test
