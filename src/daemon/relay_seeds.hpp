/// The relays of the control records, kept in the store for processes that
/// start and know no others.
#pragma once

#include "daemon/gateway_context.hpp"

namespace marjoramtally {

/// After a restart of all, each process would otherwise read the control
/// records from the store, and they grow with the fleet as well. Used on one
/// loop.
class RelaySeeds
{
public:
  /// @param aPrefix prefix of the control records
  RelaySeeds(GatewayContext& aHost, std::string aPrefix);

  /// Reads the relays and makes them the seeds of the relay plan. Without them
  /// the control records are read from the store.
  void Read(std::function<void()> aDone);
  /// The control records are known; the plan needs no seeds any more.
  void Drop();
  /// Records the relays some time after they changed, if this process is the
  /// first of them. Call after each change of the plan.
  void OnPlanChanged();

private:
  void Apply(const StoreRange& aRange);
  void Record();

  GatewayContext& host_;
  std::string prefix_;
  std::string own_;
  std::vector<std::string> recorded_;
  LoopTimerId timer_ = 0;
};

} // namespace marjoramtally
