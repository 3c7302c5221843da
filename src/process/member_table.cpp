#include "marjoramtally/process/member_table.hpp"

#include "marjoramtally/base/random.hpp"

#include <tuple>

namespace marjoramtally {

namespace {

/// FNV-1a; gives the same result on all instances, unlike `std::hash`.
std::uint64_t
HashText(const std::string& aText) noexcept
{
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash = kOffset;
  for (const char byte : aText) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  return hash;
}

std::uint64_t
HashMember(const Member& aMember) noexcept
{
  const std::uint64_t leaving = aMember.leaving_ ? 1 : 0;
  return Random(HashText(aMember.id_.Get()) ^
                (aMember.incarnation_.Get() * 2 + leaving))
    .Next();
}

/// @returns whether an update about the same incarnation is newer; leaving
/// marks are not compared
bool
IsNewer(const Member& aUpdate, const Member& aKnown) noexcept
{
  return std::tie(aUpdate.refutation_, aUpdate.state_) >
         std::tie(aKnown.refutation_, aKnown.state_);
}

bool
HasRecord(const Member& aMember) noexcept
{
  return !aMember.rpc_.empty() && !aMember.zone_.Get().empty();
}

} // namespace

MergeOutcome
MemberTable::Merge(const Member& aUpdate, TimePoint aNow)
{
  const auto it = entries_.find(aUpdate.id_);
  if (it == entries_.end() ||
      aUpdate.incarnation_ > it->second.member_.incarnation_) {
    return Insert(aUpdate, aNow);
  }
  Member& known = it->second.member_;
  if (aUpdate.incarnation_ < known.incarnation_) {
    return MergeOutcome::Ignored;
  }
  const bool newer = IsNewer(aUpdate, known);
  const bool marksLeaving = aUpdate.leaving_ && !known.leaving_;
  if (!newer && !marksLeaving) {
    return MergeOutcome::Ignored;
  }
  ToggleHash(known);
  known.leaving_ = known.leaving_ || aUpdate.leaving_;
  if (newer) {
    known.refutation_ = aUpdate.refutation_;
    known.state_ = aUpdate.state_;
    it->second.deadline_ = kNever;
  }
  ToggleHash(known);
  it->second.changedAt_ = aNow;
  return MergeOutcome::Changed;
}

MergeOutcome
MemberTable::Insert(const Member& aUpdate, TimePoint aNow)
{
  if (!HasRecord(aUpdate)) {
    return aUpdate.state_ == MemberState::Dead ? MergeOutcome::Ignored
                                               : MergeOutcome::NeedsRecord;
  }
  const auto it = entries_.find(aUpdate.id_);
  if (it == entries_.end() && entries_.size() >= options_.maxEntries_) {
    return MergeOutcome::Ignored;
  }
  MarkFormerHolderDead(aUpdate, aNow);
  if (it != entries_.end()) {
    ToggleHash(it->second.member_);
  }
  entries_[aUpdate.id_] = Entry{ aUpdate, aNow, kNever };
  ToggleHash(aUpdate);
  return MergeOutcome::Changed;
}

void
MemberTable::MarkFormerHolderDead(const Member& aNewcomer, TimePoint aNow)
{
  if (aNewcomer.state_ == MemberState::Dead) {
    return;
  }
  for (auto& [id, entry] : entries_) {
    Member& other = entry.member_;
    if (id != aNewcomer.id_ && other.rpc_ == aNewcomer.rpc_ &&
        other.incarnation_ < aNewcomer.incarnation_ &&
        other.state_ != MemberState::Dead) {
      ToggleHash(other);
      other.state_ = MemberState::Dead;
      entry.changedAt_ = aNow;
    }
  }
}

void
MemberTable::RemoveExpired(TimePoint aNow)
{
  std::erase_if(entries_, [&](const auto& aEntry) {
    return aEntry.second.member_.state_ == MemberState::Dead &&
           aNow - aEntry.second.changedAt_ >= options_.tombstoneRetention_;
  });
}

const MemberTable::Entry*
MemberTable::Find(const InstanceId& aId) const
{
  const auto it = entries_.find(aId);
  return it == entries_.end() ? nullptr : &it->second;
}

void
MemberTable::SetDeadline(const InstanceId& aId, TimePoint aDeadline)
{
  const auto it = entries_.find(aId);
  if (it != entries_.end()) {
    it->second.deadline_ = aDeadline;
  }
}

std::uint64_t
MemberTable::HashOf(const ZoneId& aZone) const
{
  const auto it = zoneHashes_.find(aZone);
  return it == zoneHashes_.end() ? 0 : it->second;
}

/// Adds a living member to the hashes, or removes it again.
void
MemberTable::ToggleHash(const Member& aMember)
{
  if (aMember.state_ == MemberState::Dead) {
    return;
  }
  const std::uint64_t hash = HashMember(aMember);
  hash_ ^= hash;
  zoneHashes_[aMember.zone_] ^= hash;
}

} // namespace marjoramtally
