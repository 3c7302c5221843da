/// Messages of the membership protocol between all daemons.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramtally {

/// Start of a member's process, in milliseconds of wall time. A restart under
/// the same name has a higher one.
using Incarnation = Strong<std::uint64_t, struct IncarnationTag>;

/// What is believed of a member. Numbers are fixed on the wire.
enum class MemberState : std::uint8_t
{
  Alive = 0,
  Suspect = 1,
  Dead = 2,
};

/// One member as it is gossiped. An update about a known incarnation may
/// leave out role, zone and addresses.
struct Member
{
  InstanceId id_;
  Incarnation incarnation_;
  /// Raised by the member itself, to refute a suspicion.
  std::uint32_t refutation_ = 0;
  MemberState state_ = MemberState::Alive;
  /// Set for good for this incarnation.
  bool leaving_ = false;
  /// `entry` or `control`.
  std::string role_;
  ZoneId zone_;
  std::string http_;
  std::string rpc_;
  bool operator==(const Member&) const = default;
};

/// What an item is about. Numbers are fixed on the wire; 0 is reserved.
enum class GossipItemKind : std::uint16_t
{
  /// Load of one instance.
  Load = 1,
  /// A fingerprint under quarantine.
  Quarantine = 2,
  /// Newest revision seen under a prefix of the store.
  StoreRevision = 3,
  /// A zone was in contact with ours; the version counts.
  ZoneContact = 4,
};

/// A small typed value that is spread between members; the newest version of
/// (kind, key) wins.
struct GossipItem
{
  GossipItemKind kind_ = GossipItemKind::Load;
  std::string key_;
  std::uint64_t version_ = 0;
  /// Since its origin made it.
  Duration age_{ 0 };
  /// Forgotten at this age.
  Duration ttl_ = std::chrono::seconds(30);
  /// Does not leave its zone.
  bool zoneOnly_ = false;
  std::string payload_;
  bool operator==(const GossipItem&) const = default;
};

/// What a message asks or answers. Numbers are fixed on the wire.
enum class GossipKind : std::uint8_t
{
  Probe = 0,
  /// Probe `target_` for the sender.
  IndirectProbe = 1,
  /// Ask for the members of zones whose hashes differ.
  Sync = 2,
  Ack = 3,
  /// The target of an indirect probe did not answer.
  Nack = 4,
  /// One page of members; `cursor_` is where to go on, empty at the end.
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
  /// RPC address, for an indirect probe.
  std::string target_;
  std::string cursor_;
  std::vector<ZoneHash> zoneHashes_;
  std::vector<Member> updates_;
  std::vector<GossipItem> items_;
  bool operator==(const GossipMessage&) const = default;
};

/// Largest key and payload of an item; larger ones are refused.
inline constexpr std::size_t kMaxItemKeyBytes = 64;
inline constexpr std::size_t kMaxItemPayloadBytes = 128;

[[nodiscard]] std::string
Encode(const GossipMessage& aMessage);
[[nodiscard]] Result<GossipMessage>
DecodeGossipMessage(std::string_view aBytes);

/// @returns an upper bound of what the value adds to an encoded message
[[nodiscard]] std::size_t
WireBytes(const Member& aMember) noexcept;
[[nodiscard]] std::size_t
WireBytes(const GossipItem& aItem) noexcept;

} // namespace marjoramtally
