/// Keeps this process's lease at the store and the record attached to it.
#pragma once

#include "daemon/settings.hpp"
#include "marjoramtally/process/lease.hpp"
#include "marjoramtally/runtime.hpp"

#include <atomic>
#include <mutex>

namespace marjoramtally {

/// Obtains a lease, writes the record and renews the lease. Thread-safe.
class LeaseSession
{
public:
  /// All arguments outlive the session.
  LeaseSession(const DaemonSettings& aSettings, Store& aStore, Timers& aTimers);

  /// Starts to keep a lease with one record attached.
  void Start(std::string aKey, std::string aValue);
  /// Revokes the lease and requests no other.
  void Leave(std::function<void()> aDone);
  /// @returns the lease if this process may act under it now, else 0. Call it
  /// immediately before each action.
  [[nodiscard]] StoreLeaseId Lease() const;
  /// @returns when the lease may expire at the store if no further renewal is
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
