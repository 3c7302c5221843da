/// Applies accepted configuration in this process. Two instances per zone
/// watch the store; the others receive revisions from them.
#pragma once

#include "daemon/cluster.hpp"
#include "daemon/config_peers.hpp"
#include "daemon/config_relay.hpp"
#include "daemon/config_watch.hpp"
#include "marjoramtally/process/config_fanout.hpp"

namespace marjoramtally {

/// Applies and announces each higher revision. Thread-safe.
class ConfigService final : public ConfigRelay
{
public:
  /// All arguments outlive the service.
  ConfigService(const DaemonSettings& aSettings,
                Store& aStore,
                Timers& aTimers,
                Metrics& aMetrics,
                Cluster& aCluster);

  /// Called with each revision that comes into force; set before `Start`.
  std::function<void(ConfigRevision)> onRevision_;

  /// Applies the revision saved in the data folder, then follows the store
  /// and the peers.
  void Start(RpcNode& aNode);
  /// Stops making calls to peers.
  void Stop();
  void OnReceivedRevision(ConfigRevision aRevision,
                          const std::string& aPeer) override;
  [[nodiscard]] ConfigRevision Revision() const override;
  /// Handles one call of the configuration topic.
  void Serve(const RpcCall& aCall, RpcDone aDone);

  [[nodiscard]] ConfigStatus Status() const { return state_.Status(); }
  [[nodiscard]] ConfigContent Content() const { return state_.Content(); }
  /// @returns a readable reason why this instance is not ready; empty if it is
  [[nodiscard]] std::string WhyNotReady() const;

private:
  void Tick();
  bool QueryPeersFirst();
  void ReadIfDue(bool aWatches);
  void FetchFromNextPeer();
  [[nodiscard]] FanoutRole Role() const;

  const DaemonSettings& settings_;
  Timers& timers_;
  Cluster& cluster_;
  SystemClock clock_;
  ConfigState state_;
  ConfigWatch watch_;
  ConfigPeers peers_;
  std::atomic<bool> peersQueried_{ false };
  /// Only used on the timer thread, like the three fields below.
  int ticks_ = 0;
  TimePoint nextRead_;
  std::size_t nextPeer_ = 0;
  Random jitter_;
};

} // namespace marjoramtally
