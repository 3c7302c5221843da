/// The duty of reporting what customers used, for the holder of the lease.
#pragma once

#include "marjoramtally/process/usage_ledger.hpp"
#include "programs/orderd/gateway_poll.hpp"

namespace marjoramtally {

/// Acts while the lease is held. Used on one loop.
class UsageDuty
{
public:
  /// All arguments outlive this.
  UsageDuty(GatewayContext& aHost, DutyLease& aLease, GatewayPoll& aPoll);

  void OnUsage(const GatewayUsage& aUsage, TrueTime aRequestedAt)
  {
    ledger_.OnUsage(aUsage, aRequestedAt);
  }
  /// Settles and sends what is due.
  void Advance();
  [[nodiscard]] const UsageLedger& Ledger() const noexcept { return ledger_; }

private:
  void Begin();
  void End();
  void ReadSettled(std::uint64_t aTerm);
  void OnSettledRead(const StoreRange& aRange);
  /// Notes where the bill begins, so that a later holder begins there too.
  void WriteFirstWindow();
  /// Makes a window's counts final.
  void Settle(UsageWindow aWindow);
  void OnSettled(UsageWindow aWindow,
                 SettledWindow aSettled,
                 const Result<StoreCommit>& aEnd);
  /// Finds out which counts of a window are final.
  void ReadBack(UsageWindow aWindow);
  void SendNext();
  void OnReportReply(UsageWindow aWindow, const HttpResult& aResult);
  [[nodiscard]] bool IsCurrent(std::uint64_t aTerm) const noexcept
  {
    return term_ == aTerm && lease_.Active();
  }

  GatewayContext& host_;
  DutyLease& lease_;
  GatewayPoll& poll_;
  UsageLedger ledger_;
  /// Counts the times that the duty began or ended.
  std::uint64_t term_ = 0;
  /// What earlier holders settled is known.
  bool restored_ = false;
  bool settling_ = false;
  bool sending_ = false;
};

} // namespace marjoramtally
