/// Keeps this process's lease at the store and the record that lives by it.
#pragma once

#include "daemon/settings.hpp"
#include "marjoramtally/process/lease.hpp"
#include "marjoramtally/runtime.hpp"

#include <atomic>
#include <mutex>

namespace marjoramtally {

/// Grants, registers, renews. Thread-safe.
class LeaseSession
{
public:
  /// All arguments outlive the session.
  LeaseSession(const DaemonSettings& aSettings, Store& aStore, Timers& aTimers);

  /// Starts to keep a lease with one record on it.
  void Start(std::string aKey, std::string aValue);
  /// Revokes the lease; no other is taken.
  void Leave(std::function<void()> aDone);
  /// @returns the lease if this process may act by it now, else 0; ask right
  /// before each act
  [[nodiscard]] StoreLeaseId Lease() const;
  /// @returns when the store may let the lease go if no further heartbeat is
  /// confirmed, by this process's clock
  [[nodiscard]] TimePoint ExpiresAt() const;

private:
  void Step();
  void Grant(TimePoint aSentAt);
  void KeepAlive(TimePoint aSentAt);
  void OnGranted(const Result<StoreLease>& aGrant, TimePoint aSentAt);
  void OnRenewed(const Result<StoreLease>& aKept, TimePoint aSentAt);
  void Register();

  const DaemonSettings& settings_;
  Store& store_;
  Timers& timers_;
  SystemClock clock_;
  std::string key_;
  std::string value_;
  mutable std::mutex mutex_;
  LeaseOptions options_;
  LeaseKeeper keeper_;
  StoreLeaseId lease_ = 0;
  bool registered_ = false;
  bool registering_ = false;
  bool leaving_ = false;
};

} // namespace marjoramtally
