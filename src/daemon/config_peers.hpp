/// Accepted configuration from instance to instance.
#pragma once

#include "daemon/config_state.hpp"
#include "marjoramtally/connection/config_messages.hpp"

#include <set>

namespace marjoramtally {

/// Tells peers of the revision in force here, answers theirs and fetches
/// what they have. Thread-safe.
class ConfigPeers
{
public:
  /// All arguments outlive the object.
  ConfigPeers(ConfigState& aState, Metrics& aMetrics);

  void Start(RpcNode& aNode, std::string aSelf);
  /// Makes no more calls.
  void Stop();
  /// Sets whom to tell; those who lag behind are told again and again.
  void SetTargets(const std::vector<std::string>& aTargets);
  /// Tells the targets that are not known to have the revision in force.
  void Announce();
  /// Fetches from a peer that has a higher revision.
  void OnReceivedRevision(ConfigRevision aRevision, const std::string& aPeer);
  /// Fetches from a peer whatever it has.
  void FetchFrom(const std::string& aPeer);
  /// @returns whether an answer from a peer is awaited
  [[nodiscard]] bool Fetching();
  /// Serves one call of the configuration topic.
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
  /// Revision that each target is known to have.
  std::map<std::string, ConfigRevision> known_;
  std::set<std::string> announcing_;
  bool fetching_ = false;
  /// Tellers who wait until a fetch is over.
  std::vector<RpcDone> waitingPeers_;
};

} // namespace marjoramtally
