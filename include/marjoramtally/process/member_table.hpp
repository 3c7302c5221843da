/// Table of the members that a process knows, and the order of precedence of
/// updates about a member.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/connection/gossip_messages.hpp"

#include <map>
#include <optional>

namespace marjoramtally {

/// Result of merging an update.
enum class MergeOutcome
{
  /// Not newer than the known state, or the table is full.
  Ignored,
  Changed,
  /// About a member or incarnation whose complete record is not known here.
  NeedsRecord,
};

/// Limits of a table.
struct MemberTableOptions
{
  /// How long a dead member is kept, so that late updates do not revive it.
  Duration tombstoneRetention_ = std::chrono::hours(2);
  /// Maximum number of members, including dead ones; others are ignored.
  std::size_t maxEntries_ = 4096;
};

/// All members by id. Updates about one member are ordered by incarnation,
/// then by refutation, then by state; a leaving mark persists for the whole
/// incarnation.
class MemberTable
{
public:
  struct Entry
  {
    Member member_;
    TimePoint changedAt_;
    /// When a suspicion expires; set only while suspect.
    TimePoint deadline_ = kNever;
  };

  explicit MemberTable(MemberTableOptions aOptions = {}) noexcept
    : options_(aOptions)
  {
  }

  MergeOutcome Merge(const Member& aUpdate, TimePoint aNow);
  /// Removes dead members that were kept for `tombstoneRetention_`.
  void RemoveExpired(TimePoint aNow);
  [[nodiscard]] const Entry* Find(const InstanceId& aId) const;
  /// Sets when a suspicion expires.
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
  /// Marks other members dead whose address is now used by a newer one.
  void MarkFormerHolderDead(const Member& aNewcomer, TimePoint aNow);
  void ToggleHash(const Member& aMember);

  MemberTableOptions options_;
  std::map<InstanceId, Entry> entries_;
  std::map<ZoneId, std::uint64_t> zoneHashes_;
  std::uint64_t hash_ = 0;
};

} // namespace marjoramtally
