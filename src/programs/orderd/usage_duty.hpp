/// The duty of reporting customers' usage, performed by the holder of the
/// lease.
#pragma once

#include "marjoramtally/process/usage_ledger.hpp"
#include "programs/orderd/gateway_poll.hpp"

namespace marjoramtally {

/// Acts while the lease is held. Confined to one event loop.
class UsageDuty
{
public:
  /// All arguments must outlive this object.
  UsageDuty(GatewayContext& aHost, DutyLease& aLease, GatewayPoll& aPoll);

  void OnUsage(const GatewayUsage& aUsage, TrueTime aRequestedAt)
  {
    ledger_.OnUsage(aUsage, aRequestedAt);
  }
  /// Settles and sends the windows that are due.
  void Advance();
  [[nodiscard]] const UsageLedger& Ledger() const noexcept { return ledger_; }

private:
  void Begin();
  void End();
  void ReadSettled(std::uint64_t aTerm);
  void OnSettledRead(const StoreRange& aRange);
  /// Records the first window to report, so that a later holder begins with it
  /// too.
  void WriteFirstWindow();
  /// Makes a window's counts final.
  void Settle(UsageWindow aWindow);
  void OnSettled(UsageWindow aWindow,
                 SettledWindow aSettled,
                 const Result<StoreCommit>& aEnd);
  /// Reads the final counts of a window from the store.
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
  /// Incremented each time the duty begins or ends.
  std::uint64_t term_ = 0;
  /// Whether the windows settled by earlier holders have been read.
  bool restored_ = false;
  bool settling_ = false;
  bool sending_ = false;
};

} // namespace marjoramtally
