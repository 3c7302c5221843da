/// The duty of ordering weight versions together with its lease, for tests on
/// fakes.
#pragma once

#include "gateway_fixture.hpp"
#include "programs/orderd/order_duty.hpp"

namespace marjoramtally::test {

struct LeasedOrderDuty
{
  DutyLease lease_;
  OrderDuty duty_;

  explicit LeasedOrderDuty(GatewayContext& aHost)
    : lease_(aHost)
    , duty_(aHost, lease_)
  {
  }

  void Start() { lease_.Start(); }
  void Stop() { lease_.Stop(); }
};

} // namespace marjoramtally::test
