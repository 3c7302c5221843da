/// Acquires duties by records in the store that live as long as this
/// process's lease.
#pragma once

#include "daemon/host.hpp"

#include <set>

namespace marjoramtally {

/// What came of trying to own a duty.
struct Ownership
{
  bool mine_ = false;
  /// Fencing number if it is mine.
  FencingNumber term_;
  /// The owner's RPC address if it is another's.
  std::string owner_;
};

/// Duties of this process. Thread-safe.
class Owners
{
public:
  explicit Owners(Host& aHost) noexcept
    : host_(aHost)
  {
  }

  /// Finds the owner of a duty or becomes it.
  void Acquire(const std::string& aDuty,
               std::function<void(Result<Ownership>)> aDone);
  /// As `Acquire`, but a duty that was ours stays ours until another owner
  /// is seen, even if the store lost the record (its lease lapsed while the
  /// store was down); the record is then made anew meanwhile. Only for
  /// duties that two owners may carry out at once without harm.
  void AcquireOrKeep(const std::string& aDuty,
                     std::function<void(Result<Ownership>)> aDone);
  /// @returns whether another instance is known to own the duty
  [[nodiscard]] bool Lost(const std::string& aDuty);

private:
  /// @returns our term of a duty that the store has no record of
  [[nodiscard]] std::optional<FencingNumber> RetainedTerm(
    const std::string& aDuty);
  void Renew(const std::string& aDuty, FencingNumber aTerm);
  void Create(const std::string& aDuty,
              std::function<void(Result<Ownership>)> aDone);
  void ReadBack(const std::string& aDuty,
                std::function<void(Result<Ownership>)> aDone);

  Host& host_;
  std::mutex mutex_;
  /// Terms of the duties that are ours, kept through store outages.
  std::map<std::string, FencingNumber> mine_;
  /// Duties whose record is being made anew.
  std::set<std::string> renewing_;
};

} // namespace marjoramtally
