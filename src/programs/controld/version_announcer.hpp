/// Stores the announced weight versions of models in the platform's store.
#pragma once

#include "daemon/host.hpp"

namespace marjoramtally {

/// Reads and raises announced versions. A record that cannot be parsed is an
/// error rather than an empty history. Thread-safe.
class VersionAnnouncer
{
public:
  explicit VersionAnnouncer(Host& aHost) noexcept
    : host_(aHost)
  {
  }

  /// Reads the announced versions of a model, oldest first.
  void Load(const std::string& aModel,
            std::function<void(Result<std::vector<WeightVersion>>)> aDone);
  /// Raises a model's version; does nothing if it is already as high.
  void Announce(const std::string& aModel,
                WeightVersion aVersion,
                std::function<void(Result<bool>)> aDone);

private:
  void Raise(const std::string& aKey,
             WeightVersion aVersion,
             const StoreRange& aRead,
             std::function<void(Result<bool>)> aDone);

  Host& host_;
};

} // namespace marjoramtally
