/// Membership between instances without a coordinator: probes, indirect
/// probes, suspicion and refutation within a zone; a few links between zones;
/// changes ride on the messages that are sent anyway.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/gossip_items.hpp"
#include "marjoramtally/process/gossip_queue.hpp"
#include "marjoramtally/process/member_table.hpp"

#include <span>
#include <unordered_map>
#include <variant>

namespace marjoramtally {

/// Times and bounds of the protocol.
struct MembershipOptions
{
  /// Each member probes one other of its zone this often.
  Duration probePeriod_ = std::chrono::seconds(1);
  Duration probeTimeout_ = std::chrono::milliseconds(500);
  /// Longest wait for a helper, its own probe included.
  Duration indirectTimeout_ = std::chrono::seconds(1);
  std::size_t indirectProbes_ = 3;
  /// From suspicion to dead, unless refuted.
  Duration suspicion_ = std::chrono::seconds(5);
  /// No event for this long means that this process was paused.
  Duration pauseGap_ = std::chrono::seconds(2);
  /// A contact with another zone is spread at most this often.
  Duration contactPeriod_ = std::chrono::seconds(10);
  /// Without contact for this long a zone counts as cut off.
  Duration contactTtl_ = std::chrono::seconds(30);
  /// Members of a zone that is cut off this long are given up.
  Duration zoneRetention_ = std::chrono::hours(2);
  /// Members of a zone that keep links to other zones.
  std::size_t bridgesPerZone_ = 2;
  /// Bytes of updates and items in one message, and in a page of a sync.
  std::size_t messageBudget_ = 500;
  std::size_t pageBudget_ = 2048;
  /// Members, and zones, that hear an urgent change at once.
  std::size_t urgentFanout_ = 3;
  std::size_t urgentZones_ = 2;
  /// Failed probes in a row, with nothing heard, that mean that this
  /// process is the one cut off.
  std::size_t isolationThreshold_ = 3;
  /// Peers in a row with another table hash before a sync.
  std::size_t localMismatches_ = 8;
  std::size_t remoteMismatches_ = 3;
};

/// Names one call, sent or received.
using GossipCall = Strong<std::uint64_t, struct GossipCallTag>;

/// Send a request; answer with `OnReply` or `OnFailed`.
struct GossipSend
{
  GossipCall call_;
  std::string address_;
  Duration timeout_{ 0 };
  GossipMessage message_;
};

/// Answer a request that `OnRequest` was given.
struct GossipReply
{
  GossipCall call_;
  GossipMessage message_;
};

using GossipAction = std::variant<GossipSend, GossipReply>;
using GossipActions = std::vector<GossipAction>;

/// One line of the platform's list of instances, which lags.
struct PlatformInstance
{
  InstanceId id_;
  std::string rpc_;
  bool leaving_ = false;
  /// When it was marked; younger incarnations are not meant.
  Incarnation leavingSince_;
};

/// Counts what the protocol did.
struct MembershipCounters
{
  std::uint64_t suspicions_ = 0;
  std::uint64_t deaths_ = 0;
  std::uint64_t refutations_ = 0;
  std::uint64_t syncs_ = 0;
  std::uint64_t pauses_ = 0;
};

/// One process's part in the protocol. Not thread-safe.
class Membership
{
public:
  /// @param aSelf this process's record, state alive
  Membership(MembershipOptions aOptions, Member aSelf, std::uint64_t aSeed);

  /// Call several times a second.
  [[nodiscard]] GossipActions Tick(TimePoint aNow);
  /// @param aCall chosen by the driver; comes back in `GossipReply`
  [[nodiscard]] GossipActions OnRequest(GossipCall aCall,
                                        const GossipMessage& aRequest,
                                        TimePoint aNow);
  [[nodiscard]] GossipActions OnReply(GossipCall aCall,
                                      const GossipMessage& aReply,
                                      TimePoint aNow);
  [[nodiscard]] GossipActions OnFailed(GossipCall aCall, TimePoint aNow);

  /// RPC addresses to join by; ours is left out.
  void SetSeeds(std::vector<std::string> aAddresses);
  /// Takes the platform's list: unknown addresses become seeds, leaving
  /// marks count for the incarnations that they are about.
  void TakePlatformList(std::span<const PlatformInstance> aList,
                        TimePoint aNow);
  /// Tells the others which configuration revision is known here.
  void SetRevision(ConfigRevision aRevision);
  /// Spreads an item.
  void Publish(const GossipItem& aItem, TimePoint aNow);
  /// Marks a member as leaving, for good for its incarnations up to one.
  void MarkLeaving(const InstanceId& aId, Incarnation aUpTo, TimePoint aNow);
  /// Marks this process as leaving.
  void Leave(TimePoint aNow);

  [[nodiscard]] const Member& Self() const noexcept { return self_; }
  [[nodiscard]] const MemberTable& Table() const noexcept { return table_; }
  [[nodiscard]] const GossipItems& Items() const noexcept { return items_; }
  /// @returns members to send work to: alive, not leaving, in a zone that is
  /// not cut off from here; this process included
  [[nodiscard]] std::vector<Member> Usable(TimePoint aNow) const;
  [[nodiscard]] bool ZoneReachable(const ZoneId& aZone, TimePoint aNow) const;
  /// Highest configuration revision heard of, and who said so first.
  [[nodiscard]] ConfigRevision HighestRevision() const noexcept
  {
    return revision_;
  }
  [[nodiscard]] const InstanceId& RevisionSource() const noexcept
  {
    return revisionSource_;
  }
  /// Whether this process is one of the few of its zone with links to other
  /// zones and to the store.
  [[nodiscard]] bool IsBridge() const;
  /// Whether nobody answers this process.
  [[nodiscard]] bool Isolated() const noexcept
  {
    return failedRounds_ >= options_.isolationThreshold_;
  }
  /// Whether a younger process runs under this one's name.
  [[nodiscard]] bool Superseded() const noexcept { return superseded_; }
  [[nodiscard]] const MembershipCounters& Counters() const noexcept
  {
    return counters_;
  }
  /// Grows with every change of members, states or zone contacts.
  [[nodiscard]] std::uint64_t ChangeCount() const noexcept { return changes_; }

private:
  /// Most subjects waiting to leave the zone.
  static constexpr std::size_t kMaxRemoteQueue = 128;

  enum class CallKind : std::uint8_t
  {
    Direct,
    Indirect,
    Relay,
    Remote,
    Push,
    Sync,
  };
  struct Call
  {
    CallKind kind_ = CallKind::Direct;
    InstanceId target_;
    /// The request that a relayed probe is for.
    GossipCall inbound_;
  };

  // Receiving and merging: membership.cpp
  void Receive(const GossipMessage& aMessage, TimePoint aNow);
  void MergeUpdate(const Member& aUpdate, TimePoint aNow);
  void MergeSelf(const Member& aUpdate, TimePoint aNow);
  void Refute(std::uint32_t aRefutation, TimePoint aNow);
  void MergeItem(const GossipItem& aItem, TimePoint aNow);
  void OnMemberChanged(const Member& aMember, TimePoint aNow);
  void RecordZoneContact(const Member& aSender, TimePoint aNow);
  void CompareTables(const GossipMessage& aMessage, const Member* aSender);
  void CheckPause(TimePoint aNow);
  void SetState(const InstanceId& aId, MemberState aState, TimePoint aNow);
  void Expire(TimePoint aNow);
  void DeclareLostZonesDead(TimePoint aNow);

  // Sending: membership_send.cpp, membership_probe.cpp,
  // membership_sync.cpp, membership_roles.cpp
  [[nodiscard]] GossipMessage Compose(GossipKind aKind,
                                      const Member* aTo,
                                      TimePoint aNow);
  void AppendPending(GossipMessage& aMessage, bool aRemote, TimePoint aNow);
  GossipSend Send(Call aCall,
                  const std::string& aAddress,
                  GossipMessage aMessage,
                  Duration aTimeout);
  void SendTo(CallKind aKind,
              const InstanceId& aTarget,
              TimePoint aNow,
              GossipActions& aOut);
  void ProbeNext(TimePoint aNow, GossipActions& aOut);
  void ProbeIndirectly(const InstanceId& aTarget,
                       TimePoint aNow,
                       GossipActions& aOut);
  void ProbeZone(TimePoint aNow, GossipActions& aOut);
  void PushUrgent(TimePoint aNow, GossipActions& aOut);
  void EndIndirectProbe(const InstanceId& aTarget, TimePoint aNow);
  void SyncIfDue(TimePoint aNow, GossipActions& aOut);
  [[nodiscard]] std::string PickUnknownSeed();
  [[nodiscard]] GossipMessage ComposePage(const GossipMessage& aRequest,
                                          TimePoint aNow);
  [[nodiscard]] std::vector<InstanceId> Peers() const;
  [[nodiscard]] std::vector<InstanceId> PickOnePerZone();
  [[nodiscard]] std::uint32_t SendLimit(bool aRemote) const;
  void Enqueue(const GossipSubject& aSubject, bool aZoneOnly);
  void RefreshRoles() const;

  MembershipOptions options_;
  Member self_;
  Random random_;
  MemberTable table_;
  GossipItems items_;
  GossipQueue queue_;
  /// What still has to leave the zone; counted apart, so that sends within
  /// the zone do not use it up.
  GossipQueue remoteQueue_{ kMaxRemoteQueue };
  ConfigRevision revision_;
  InstanceId revisionSource_;
  MembershipCounters counters_;
  std::uint64_t changes_ = 0;

  std::uint64_t nextCall_ = 1;
  std::unordered_map<GossipCall, Call> calls_;
  /// Helpers yet to answer, by target.
  std::map<InstanceId, std::size_t> pendingIndirectProbes_;
  std::vector<InstanceId> probeOrder_;
  std::uint64_t nextZone_ = 0;
  TimePoint nextProbe_;
  TimePoint nextExpiry_;
  TimePoint lastEvent_;
  bool started_ = false;
  TimePoint startedAt_;
  bool urgent_ = false;
  bool superseded_ = false;
  std::size_t failedRounds_ = 0;
  std::map<ZoneId, TimePoint> lastZoneContact_;

  std::vector<std::string> seeds_;
  bool joined_ = false;
  bool syncing_ = false;
  TimePoint nextSync_;
  TimePoint nextSeedCheck_;
  std::size_t localMismatch_ = 0;
  std::size_t remoteMismatch_ = 0;
  /// Address of the peer to sync with; empty when no sync is due.
  std::string syncPeer_;
  std::string syncCursor_;

  /// Derived from the table, made anew when it has changed.
  mutable std::uint64_t rolesVersion_ = UINT64_MAX;
  mutable bool bridge_ = true;
  mutable std::vector<InstanceId> peers_;
  mutable std::map<ZoneId, std::vector<InstanceId>> otherZones_;
};

} // namespace marjoramtally
