/// The duty of ordering upstreams from the platform, performed by the holder of
/// the lease.
#pragma once

#include "marjoramtally/process/supply_plan.hpp"
#include "programs/orderd/gateway_poll.hpp"
#include "programs/orderd/order_duty.hpp"

namespace marjoramtally {

/// Acts while the lease is held. Confined to one event loop.
class SupplyDuty
{
public:
  /// All arguments must outlive this object.
  SupplyDuty(GatewayContext& aHost,
             DutyLease& aLease,
             const OrderDuty& aOrders);

  void OnUsage(const GatewayUsage& aUsage);
  /// Orders what is due. Call at the end of each polling round.
  void Advance();

private:
  void Begin();
  void End();
  void ReadOrdered(std::uint64_t aTerm);
  void OnOrderedRead(const StoreRange& aRange);
  /// Records an order in the store, then sends it.
  void RecordOrder(const PlannedSupply& aOrder);
  void SendOrder(const PlannedSupply& aOrder);
  void OnReply(const PlannedSupply& aOrder, const HttpResult& aResult);
  void EndOrder(const PlannedSupply& aOrder,
                SupplyEnd aEnd,
                std::string_view aAnswer);
  [[nodiscard]] bool IsCurrent(std::uint64_t aTerm) const noexcept
  {
    return term_ == aTerm && lease_.Active();
  }

  GatewayContext& host_;
  DutyLease& lease_;
  const OrderDuty& orders_;
  SupplyPlan plan_;
  /// Slots needed by service, summed over the replies of a round.
  std::map<ServiceId, std::uint64_t> reportedDemand_;
  /// Whether the orders of earlier holders have been read.
  bool restored_ = false;
  std::uint64_t term_ = 0;
};

} // namespace marjoramtally
