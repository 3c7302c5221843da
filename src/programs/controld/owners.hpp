/// Acquires duties by creating owner records in the store, which expire with
/// this process's lease.
#pragma once

#include "daemon/host.hpp"

#include <set>

namespace marjoramtally {

/// Outcome of an attempt to acquire a duty.
struct Ownership
{
  /// Whether this instance owns the duty.
  bool mine_ = false;
  /// Fencing number if this instance owns the duty.
  FencingNumber term_;
  /// RPC address of the owner if another instance owns the duty.
  std::string owner_;
};

/// Tracks the duties that this process owns. Thread-safe.
class Owners
{
public:
  explicit Owners(Host& aHost) noexcept
    : host_(aHost)
  {
  }

  /// Looks up the owner of a duty; acquires the duty if it has none.
  void Acquire(const std::string& aDuty,
               std::function<void(Result<Ownership>)> aDone);
  /// Like `Acquire`, but keeps a duty that this process owned until another
  /// owner is seen, even if its record is gone because the lease expired while
  /// the store was down. The record is then recreated in the background. Only
  /// for duties that two owners may safely carry out at the same time.
  void AcquireOrKeep(const std::string& aDuty,
                     std::function<void(Result<Ownership>)> aDone);
  /// @returns whether the view shows another instance as owner of the duty
  [[nodiscard]] bool Lost(const std::string& aDuty);

private:
  /// @returns the term of a duty of this process whose owner record is gone
  [[nodiscard]] std::optional<FencingNumber> RetainedTerm(
    const std::string& aDuty);
  void Renew(const std::string& aDuty, FencingNumber aTerm);
  void Create(const std::string& aDuty,
              std::function<void(Result<Ownership>)> aDone);
  void ReadBack(const std::string& aDuty,
                std::function<void(Result<Ownership>)> aDone);

  Host& host_;
  std::mutex mutex_;
  /// Terms of the duties of this process, kept through store outages.
  std::map<std::string, FencingNumber> mine_;
  /// Duties whose owner record is being recreated.
  std::set<std::string> renewing_;
};

} // namespace marjoramtally
