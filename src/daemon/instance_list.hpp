/// Reads the platform's list of live and leaving instances. The list may be
/// outdated.
#pragma once

#include "daemon/gossip_service.hpp"

namespace marjoramtally {

/// Parses the list's JSON; entries without id or address are skipped.
[[nodiscard]] Result<std::vector<PlatformInstance>>
ParseInstanceList(const std::string& aText);

/// Passes the list to membership, on instances that are their zone's bridge.
class InstanceListReader
{
public:
  /// All arguments outlive the reader.
  InstanceListReader(const DaemonSettings& aSettings,
                     HttpClient& aClient,
                     Timers& aTimers,
                     GossipService& aGossip);

  /// Does nothing if no list URL is configured.
  void Start();

private:
  void Read();

  const DaemonSettings& settings_;
  HttpClient& client_;
  Timers& timers_;
  GossipService& gossip_;
};

} // namespace marjoramtally
