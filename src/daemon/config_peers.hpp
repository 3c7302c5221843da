/// Exchange of accepted configuration between instances.
#pragma once

#include "daemon/config_state.hpp"
#include "marjoramtally/connection/config_messages.hpp"

#include <set>

namespace marjoramtally {

/// Announces the local revision to peers, answers their announcements and
/// fetches higher revisions from them. Thread-safe.
class ConfigPeers
{
public:
  /// All arguments outlive the object.
  ConfigPeers(ConfigState& aState, Metrics& aMetrics);

  void Start(RpcNode& aNode, std::string aSelf);
  /// Stops making calls to peers.
  void Stop();
  /// Sets the RPC addresses of the peers to announce to. `Announce` repeats
  /// the announcement to those that have a lower revision.
  void SetTargets(const std::vector<std::string>& aTargets);
  /// Announces the revision in force to all targets not known to have it.
  void Announce();
  /// Fetches from the peer if its announced revision is higher.
  void OnReceivedRevision(ConfigRevision aRevision, const std::string& aPeer);
  /// Fetches the peer's configuration, whatever its revision.
  void FetchFrom(const std::string& aPeer);
  /// @returns whether a fetch is in progress
  [[nodiscard]] bool Fetching();
  /// Handles one call of the configuration topic.
  void Serve(const RpcCall& aCall, RpcDone aDone);

private:
  void AnnounceTo(const std::string& aTarget, ConfigRevision aRevision);
  void Fetch(const std::string& aPeer);
  void OnFetched(const RpcReply& aReply);
  void ApplyReply(const ConfigReply& aReply);
  void AnswerWaitingPeers();
  [[nodiscard]] std::string Answer(const ConfigRequest& aRequest) const;

  ConfigState& state_;
  Metrics& metrics_;
  RpcNode* node_ = nullptr;
  std::string self_;
  std::mutex mutex_;
  std::vector<std::string> targets_;
  /// Last revision that each target confirmed.
  std::map<std::string, ConfigRevision> known_;
  std::set<std::string> announcing_;
  bool fetching_ = false;
  /// Announcements to answer once the fetch in progress has ended.
  std::vector<RpcDone> waitingPeers_;
};

} // namespace marjoramtally
