/// Reads the platform's list of live and leaving instances, which lags.
#pragma once

#include "daemon/gossip_service.hpp"

namespace marjoramtally {

/// Parses the list's JSON; entries without id and address are left out.
[[nodiscard]] Result<std::vector<PlatformInstance>>
ParseInstanceList(const std::string& aText);

/// Gives the list to membership, on the instances that link their zone.
class InstanceListReader
{
public:
  /// All arguments outlive the reader.
  InstanceListReader(const DaemonSettings& aSettings,
                     HttpClient& aClient,
                     Timers& aTimers,
                     GossipService& aGossip);

  /// Does nothing if no list is set.
  void Start();

private:
  void Read();

  const DaemonSettings& settings_;
  HttpClient& client_;
  Timers& timers_;
  GossipService& gossip_;
};

} // namespace marjoramtally
