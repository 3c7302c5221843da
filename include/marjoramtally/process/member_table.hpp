/// The members that a process knows, and which of two updates about one of
/// them wins.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/connection/gossip_messages.hpp"

#include <map>
#include <optional>

namespace marjoramtally {

/// What an update changed.
enum class MergeOutcome
{
  /// Older than what is known, or the same.
  Ignored,
  Changed,
  /// About a member or incarnation whose full record is not known here.
  NeedsRecord,
};

/// Bounds of a table.
struct MemberTableOptions
{
  /// How long a dead member is remembered, so that late updates do not
  /// revive it.
  Duration tombstoneRetention_ = std::chrono::hours(2);
  /// Most members kept, dead ones included; further ones are refused.
  std::size_t maxEntries_ = 4096;
};

/// All members by id. Updates about one member are ordered by incarnation,
/// then by refutation, then by state; a leaving mark stays for the whole
/// incarnation.
class MemberTable
{
public:
  struct Entry
  {
    Member member_;
    TimePoint changedAt_;
    /// When a suspicion ends; only while suspect.
    TimePoint deadline_ = kNever;
  };

  explicit MemberTable(MemberTableOptions aOptions = {}) noexcept
    : options_(aOptions)
  {
  }

  MergeOutcome Merge(const Member& aUpdate, TimePoint aNow);
  /// Forgets dead members whose time is over.
  void RemoveExpired(TimePoint aNow);
  [[nodiscard]] const Entry* Find(const InstanceId& aId) const;
  /// Sets when a suspicion ends.
  void SetDeadline(const InstanceId& aId, TimePoint aDeadline);
  [[nodiscard]] const std::map<InstanceId, Entry>& All() const noexcept
  {
    return entries_;
  }
  /// Hash over the living members of a zone: id, incarnation, leaving mark.
  [[nodiscard]] std::uint64_t HashOf(const ZoneId& aZone) const;
  /// Hash over all living members.
  [[nodiscard]] std::uint64_t Hash() const noexcept { return hash_; }
  [[nodiscard]] const std::map<ZoneId, std::uint64_t>& Hashes() const noexcept
  {
    return zoneHashes_;
  }

private:
  MergeOutcome Insert(const Member& aUpdate, TimePoint aNow);
  /// Marks others dead whose address a new incarnation has taken over.
  void MarkFormerHolderDead(const Member& aNewcomer, TimePoint aNow);
  void ToggleHash(const Member& aMember);

  MemberTableOptions options_;
  std::map<InstanceId, Entry> entries_;
  std::map<ZoneId, std::uint64_t> zoneHashes_;
  std::uint64_t hash_ = 0;
};

} // namespace marjoramtally
