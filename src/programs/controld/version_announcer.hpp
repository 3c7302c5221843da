/// Keeps the announced weight versions of models in the platform's store.
#pragma once

#include "daemon/host.hpp"

namespace marjoramtally {

/// Reads and raises versions; those of a record that cannot be read are an
/// error, not none. Thread-safe.
class VersionAnnouncer
{
public:
  explicit VersionAnnouncer(Host& aHost) noexcept
    : host_(aHost)
  {
  }

  /// Reads the versions of a model that were announced, oldest first.
  void Load(const std::string& aModel,
            std::function<void(Result<std::vector<WeightVersion>>)> aDone);
  /// Raises a model's version; one that is as high already stays.
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
