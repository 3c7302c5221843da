/// Runs the membership protocol of this process: timers and calls to peers.
#pragma once

#include "daemon/settings.hpp"
#include "marjoramtally/process.hpp"
#include "marjoramtally/runtime.hpp"

#include <atomic>
#include <mutex>

namespace marjoramtally {

/// Exchanges membership with peers. Thread-safe.
class GossipService
{
public:
  using MembersListener = std::function<void(const std::vector<Member>&)>;
  /// Called with each higher configuration revision and the RPC address of the
  /// peer that announced it; the address is empty if it is this process.
  using RevisionListener =
    std::function<void(ConfigRevision, const std::string&)>;
  /// Called with each newer item from a peer.
  using ItemListener = std::function<void(const GossipItem&)>;

  /// All arguments outlive the service.
  GossipService(Timers& aTimers, Metrics& aMetrics);

  /// Set the listeners before `Start`; they are called without locks held.
  MembersListener onMembers_;
  RevisionListener onRevision_;
  ItemListener onStoreRevision_;

  /// @param aSelf this process's record; `Start` sets its incarnation
  void Start(Member aSelf, RpcNode& aRpc);
  /// Handles a peer's call of the gossip topic.
  void Serve(const RpcCall& aCall, RpcDone aDone);
  /// Marks this process as leaving and announces it to peers.
  void Leave();

  void SetSeeds(std::vector<std::string> aAddresses);
  void TakePlatformList(const std::vector<PlatformInstance>& aList);
  void SetRevision(ConfigRevision aRevision);
  void Publish(const GossipItem& aItem);
  [[nodiscard]] std::vector<GossipItem> Items(GossipItemKind aKind) const;
  /// @returns whether this process connects its zone to other zones and to
  /// the store
  [[nodiscard]] bool IsBridge() const;

private:
  void Tick();
  void Run(GossipActions aActions);
  void Send(const GossipSend& aSend);
  void Answer(const GossipReply& aReply);
  /// Calls the listeners with the changes since the last call.
  void Notify();
  void PublishMetrics();
  template<typename Event>
  void Feed(Event aEvent);

  Timers& timers_;
  Metrics& metrics_;
  SystemClock clock_;
  RpcNode* rpc_ = nullptr;
  mutable std::mutex mutex_;
  std::unique_ptr<Membership> core_;
  std::uint64_t nextInbound_ = 1;
  std::map<GossipCall, RpcDone> inbound_;
  std::uint64_t notifiedChanges_ = UINT64_MAX;
  ConfigRevision notifiedRevision_;
  std::map<std::string, std::uint64_t> notifiedStore_;
  bool warnedSuperseded_ = false;
};

} // namespace marjoramtally
