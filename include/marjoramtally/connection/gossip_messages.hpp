/// Messages of the membership protocol between all daemons.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramtally {

/// Start time of a member process, in milliseconds of wall time. A restart
/// under the same name has a higher value.
using Incarnation = Strong<std::uint64_t, struct IncarnationTag>;

/// State of a member as seen by others. Numbers are fixed on the wire.
enum class MemberState : std::uint8_t
{
  Alive = 0,
  Suspect = 1,
  Dead = 2,
};

/// One member as sent in gossip messages. An update for a known incarnation may
/// omit role, zone and addresses.
struct Member
{
  InstanceId id_;
  Incarnation incarnation_;
  /// Incremented by the member itself to refute a suspicion.
  std::uint32_t refutation_ = 0;
  MemberState state_ = MemberState::Alive;
  /// The member is leaving; never reset within one incarnation.
  bool leaving_ = false;
  /// `entry` or `control`.
  std::string role_;
  ZoneId zone_;
  std::string http_;
  std::string rpc_;
  bool operator==(const Member&) const = default;
};

/// Subject of an item. Numbers are fixed on the wire; 0 is reserved.
enum class GossipItemKind : std::uint16_t
{
  /// Load of one instance.
  Load = 1,
  /// A fingerprint under quarantine.
  Quarantine = 2,
  /// Newest revision seen under a key prefix of the store.
  StoreRevision = 3,
  /// A message from another zone was received; the key names that zone and the
  /// version is incremented for each recorded contact.
  ZoneContact = 4,
};

/// A small typed value that members gossip. The newest version of (kind, key)
/// replaces older ones.
struct GossipItem
{
  GossipItemKind kind_ = GossipItemKind::Load;
  std::string key_;
  std::uint64_t version_ = 0;
  /// Time since the originating member created the item.
  Duration age_{ 0 };
  /// The item is removed at this age.
  Duration ttl_ = std::chrono::seconds(30);
  /// The item is only sent within the zone.
  bool zoneOnly_ = false;
  std::string payload_;
  bool operator==(const GossipItem&) const = default;
};

/// Kind of a request or reply. Numbers are fixed on the wire.
enum class GossipKind : std::uint8_t
{
  Probe = 0,
  /// Asks the receiver to probe `target_` for the sender.
  IndirectProbe = 1,
  /// Requests the members of zones whose hashes differ.
  Sync = 2,
  Ack = 3,
  /// The target of an indirect probe did not answer.
  Nack = 4,
  /// One page of members; `cursor_` is the start of the next page, empty on the
  /// last one.
  SyncPage = 5,
};

/// Hash over the members of one zone.
struct ZoneHash
{
  ZoneId zone_;
  std::uint64_t hash_ = 0;
  bool operator==(const ZoneHash&) const = default;
};

/// One request or reply.
struct GossipMessage
{
  GossipKind kind_ = GossipKind::Probe;
  InstanceId from_;
  Incarnation incarnation_;
  /// Highest configuration revision known to the sender.
  ConfigRevision revision_;
  /// Hash over all members known to the sender.
  std::uint64_t tableHash_ = 0;
  /// RPC address of the member to probe indirectly.
  std::string target_;
  std::string cursor_;
  std::vector<ZoneHash> zoneHashes_;
  std::vector<Member> updates_;
  std::vector<GossipItem> items_;
  bool operator==(const GossipMessage&) const = default;
};

/// Largest key and payload of an item, in bytes; larger ones are rejected.
inline constexpr std::size_t kMaxItemKeyBytes = 64;
inline constexpr std::size_t kMaxItemPayloadBytes = 128;

[[nodiscard]] std::string
Encode(const GossipMessage& aMessage);
[[nodiscard]] Result<GossipMessage>
DecodeGossipMessage(std::string_view aBytes);

/// @returns upper bound of the bytes that the value adds to an encoded message
[[nodiscard]] std::size_t
WireBytes(const Member& aMember) noexcept;
[[nodiscard]] std::size_t
WireBytes(const GossipItem& aItem) noexcept;

} // namespace marjoramtally
