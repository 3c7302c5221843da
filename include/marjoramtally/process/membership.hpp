/// Gossip membership between instances, without a coordinator: direct and
/// indirect probes, suspicion and refutation within a zone, and a few links
/// between zones. Changes are piggybacked on messages that are sent anyway.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/gossip_items.hpp"
#include "marjoramtally/process/gossip_queue.hpp"
#include "marjoramtally/process/member_table.hpp"

#include <span>
#include <unordered_map>
#include <variant>

namespace marjoramtally {

/// Timeouts and limits of the protocol.
struct MembershipOptions
{
  /// Interval at which each member probes another one of its zone.
  Duration probePeriod_ = std::chrono::seconds(1);
  Duration probeTimeout_ = std::chrono::milliseconds(500);
  /// Timeout of an indirect probe, including the intermediary's own probe.
  Duration indirectTimeout_ = std::chrono::seconds(1);
  /// Members asked to probe an unresponsive member on behalf of this one.
  std::size_t indirectProbes_ = 3;
  /// A suspect member that has not refuted after this time is dead.
  Duration suspicion_ = std::chrono::seconds(5);
  /// A longer gap between two events means that this process was paused.
  Duration pauseGap_ = std::chrono::seconds(2);
  /// A contact with another zone is announced at most once in this time.
  Duration contactPeriod_ = std::chrono::seconds(10);
  /// A zone without contact for this long counts as unreachable.
  Duration contactTtl_ = std::chrono::seconds(30);
  /// Members of a zone without contact for this long are declared dead.
  Duration zoneRetention_ = std::chrono::hours(2);
  /// Members of each zone that keep links to other zones.
  std::size_t bridgesPerZone_ = 2;
  /// Maximum bytes of updates and items in one message.
  std::size_t messageBudget_ = 500;
  /// Maximum bytes of members in one page of a sync.
  std::size_t pageBudget_ = 2048;
  /// Members of the own zone that an urgent change is pushed to immediately.
  std::size_t urgentFanout_ = 3;
  /// Other zones that a bridge pushes an urgent change to immediately.
  std::size_t urgentZones_ = 2;
  /// After this many failed probe rounds in a row, with no message received,
  /// this process regards itself as the one that is cut off.
  std::size_t isolationThreshold_ = 3;
  /// Messages in a row with a different table hash that trigger a sync, from
  /// the own zone and from other zones.
  std::size_t localMismatches_ = 8;
  std::size_t remoteMismatches_ = 3;
};

/// Identifies one call, sent or received.
using GossipCall = Strong<std::uint64_t, struct GossipCallTag>;

/// Send a request; report its outcome with `OnReply` or `OnFailed`.
struct GossipSend
{
  GossipCall call_;
  std::string address_;
  Duration timeout_{ 0 };
  GossipMessage message_;
};

/// Answer a request that was passed to `OnRequest`.
struct GossipReply
{
  GossipCall call_;
  GossipMessage message_;
};

using GossipAction = std::variant<GossipSend, GossipReply>;
using GossipActions = std::vector<GossipAction>;

/// One entry of the platform's instance list, which lags behind.
struct PlatformInstance
{
  InstanceId id_;
  std::string rpc_;
  bool leaving_ = false;
  /// When it was marked; the mark does not apply to later incarnations.
  Incarnation leavingSince_;
};

/// Event counts of the protocol since the start.
struct MembershipCounters
{
  std::uint64_t suspicions_ = 0;
  std::uint64_t deaths_ = 0;
  std::uint64_t refutations_ = 0;
  std::uint64_t syncs_ = 0;
  std::uint64_t pauses_ = 0;
};

/// One process's side of the protocol. Not thread-safe.
class Membership
{
public:
  /// @param aSelf this process's record, state alive
  Membership(MembershipOptions aOptions, Member aSelf, std::uint64_t aSeed);

  /// Call several times a second.
  [[nodiscard]] GossipActions Tick(TimePoint aNow);
  /// @param aCall chosen by the driver; returned in `GossipReply`
  [[nodiscard]] GossipActions OnRequest(GossipCall aCall,
                                        const GossipMessage& aRequest,
                                        TimePoint aNow);
  [[nodiscard]] GossipActions OnReply(GossipCall aCall,
                                      const GossipMessage& aReply,
                                      TimePoint aNow);
  [[nodiscard]] GossipActions OnFailed(GossipCall aCall, TimePoint aNow);

  /// Sets the RPC addresses to join through; the own address is ignored.
  void SetSeeds(std::vector<std::string> aAddresses);
  /// Applies the platform's list: unknown addresses become seeds, leaving marks
  /// apply to the incarnations that they refer to.
  void TakePlatformList(std::span<const PlatformInstance> aList,
                        TimePoint aNow);
  /// Announces the configuration revision that is known here.
  void SetRevision(ConfigRevision aRevision);
  /// Gossips an item to the other members.
  void Publish(const GossipItem& aItem, TimePoint aNow);
  /// Marks a member's incarnations up to `aUpTo` as leaving, permanently.
  void MarkLeaving(const InstanceId& aId, Incarnation aUpTo, TimePoint aNow);
  /// Marks this process as leaving.
  void Leave(TimePoint aNow);

  [[nodiscard]] const Member& Self() const noexcept { return self_; }
  [[nodiscard]] const MemberTable& Table() const noexcept { return table_; }
  [[nodiscard]] const GossipItems& Items() const noexcept { return items_; }
  /// @returns members that work may be sent to: alive, not leaving, in a zone
  /// that is reachable from here; includes this process
  [[nodiscard]] std::vector<Member> Usable(TimePoint aNow) const;
  [[nodiscard]] bool ZoneReachable(const ZoneId& aZone, TimePoint aNow) const;
  /// Highest configuration revision known here.
  [[nodiscard]] ConfigRevision HighestRevision() const noexcept
  {
    return revision_;
  }
  /// The member from which this process first received that revision.
  [[nodiscard]] const InstanceId& RevisionSource() const noexcept
  {
    return revisionSource_;
  }
  /// Whether this process is one of the few of its zone that keep links to
  /// other zones and to the store.
  [[nodiscard]] bool IsBridge() const;
  /// Whether no other member answers this process.
  [[nodiscard]] bool Isolated() const noexcept
  {
    return failedRounds_ >= options_.isolationThreshold_;
  }
  /// Whether a later incarnation runs under this process's instance id.
  [[nodiscard]] bool Superseded() const noexcept { return superseded_; }
  [[nodiscard]] const MembershipCounters& Counters() const noexcept
  {
    return counters_;
  }
  /// Increases with every change of members, states or zone contacts.
  [[nodiscard]] std::uint64_t ChangeCount() const noexcept { return changes_; }

private:
  /// Maximum number of subjects waiting to be sent to other zones.
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
    /// The inbound request that a relayed probe was sent for.
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
  /// Subjects still to be sent to other zones. Their sends are counted apart,
  /// so that sends within the zone do not use up their send limit.
  GossipQueue remoteQueue_{ kMaxRemoteQueue };
  ConfigRevision revision_;
  InstanceId revisionSource_;
  MembershipCounters counters_;
  std::uint64_t changes_ = 0;

  std::uint64_t nextCall_ = 1;
  std::unordered_map<GossipCall, Call> calls_;
  /// Indirect probes not yet answered, by target.
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

  /// Derived from the table as of the change count `rolesVersion_`, and
  /// refreshed when that count differs from `changes_`.
  mutable std::uint64_t rolesVersion_ = UINT64_MAX;
  mutable bool bridge_ = true;
  mutable std::vector<InstanceId> peers_;
  mutable std::map<ZoneId, std::vector<InstanceId>> otherZones_;
};

} // namespace marjoramtally
