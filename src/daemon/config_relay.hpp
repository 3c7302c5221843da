/// What heartbeats between instances carry of the configuration.
#pragma once

#include "marjoramtally/base/ids.hpp"

namespace marjoramtally {

/// Hears revisions from peers and tells the one in force here.
class ConfigRelay
{
public:
  virtual ~ConfigRelay() = default;
  /// A peer has this revision in force: fetches it if it is higher.
  /// @param aPeer the peer's RPC address
  virtual void OnReceivedRevision(ConfigRevision aRevision,
                                  const std::string& aPeer) = 0;
  /// @returns the revision in force here
  [[nodiscard]] virtual ConfigRevision Revision() const = 0;
};

} // namespace marjoramtally
