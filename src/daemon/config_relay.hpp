/// Exchange of configuration revisions in heartbeats between instances.
#pragma once

#include "marjoramtally/base/ids.hpp"

namespace marjoramtally {

/// Receives the revisions of peers and provides the one in force here.
class ConfigRelay
{
public:
  virtual ~ConfigRelay() = default;
  /// Handles the revision in force at a peer: fetches it if it is higher.
  /// @param aPeer the peer's RPC address
  virtual void OnReceivedRevision(ConfigRevision aRevision,
                                  const std::string& aPeer) = 0;
  /// @returns the revision in force here
  [[nodiscard]] virtual ConfigRevision Revision() const = 0;
};

} // namespace marjoramtally
