/// Acquires duties by records in the store that live as long as this
/// process's lease.
#pragma once

#include "daemon/host.hpp"

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

private:
  void Create(const std::string& aDuty,
              std::function<void(Result<Ownership>)> aDone);
  void ReadBack(const std::string& aDuty,
                std::function<void(Result<Ownership>)> aDone);

  Host& host_;
  std::mutex mutex_;
  /// Terms of the duties that are ours, kept through store outages.
  std::map<std::string, FencingNumber> mine_;
};

} // namespace marjoramtally
