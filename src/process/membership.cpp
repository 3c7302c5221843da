#include "marjoramtally/process/membership.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Interval of the expiry sweep when no suspicion expires earlier.
constexpr auto kSweepPeriod = std::chrono::seconds(30);

/// Counts a change that peers, links and bridges do not depend on, so that
/// they need not be derived again.
void
CountChangeKeepingRoles(std::uint64_t& aChanges, std::uint64_t& aRolesOf)
{
  const bool current = aRolesOf == aChanges;
  ++aChanges;
  if (current) {
    aRolesOf = aChanges;
  }
}

} // namespace

Membership::Membership(MembershipOptions aOptions,
                       Member aSelf,
                       std::uint64_t aSeed)
  : options_(aOptions)
  , self_(std::move(aSelf))
  , random_(aSeed)
{
  table_.Merge(self_, {});
  Enqueue(GossipSubject::Of(self_.id_), false);
}

void
Membership::SetSeeds(std::vector<std::string> aAddresses)
{
  std::erase(aAddresses, self_.rpc_);
  seeds_ = std::move(aAddresses);
}

void
Membership::TakePlatformList(std::span<const PlatformInstance> aList,
                             TimePoint aNow)
{
  for (const PlatformInstance& listed : aList) {
    if (listed.leaving_) {
      MarkLeaving(listed.id_, listed.leavingSince_, aNow);
    } else if (listed.rpc_ != self_.rpc_ &&
               std::find(seeds_.begin(), seeds_.end(), listed.rpc_) ==
                 seeds_.end()) {
      seeds_.push_back(listed.rpc_);
    }
  }
}

void
Membership::SetRevision(ConfigRevision aRevision)
{
  if (aRevision > revision_) {
    revision_ = aRevision;
    revisionSource_ = self_.id_;
    urgent_ = true;
  }
}

void
Membership::Publish(const GossipItem& aItem, TimePoint aNow)
{
  MergeItem(aItem, aNow);
}

void
Membership::MarkLeaving(const InstanceId& aId,
                        Incarnation aUpTo,
                        TimePoint aNow)
{
  const MemberTable::Entry* entry = table_.Find(aId);
  if (entry == nullptr || entry->member_.incarnation_ > aUpTo) {
    return;
  }
  Member update = entry->member_;
  update.leaving_ = true;
  MergeUpdate(update, aNow);
}

void
Membership::Leave(TimePoint aNow)
{
  MarkLeaving(self_.id_, self_.incarnation_, aNow);
}

std::vector<Member>
Membership::Usable(TimePoint aNow) const
{
  std::vector<Member> usable;
  for (const auto& [id, entry] : table_.All()) {
    const Member& member = entry.member_;
    if (member.state_ == MemberState::Alive && !member.leaving_ &&
        ZoneReachable(member.zone_, aNow)) {
      usable.push_back(member);
    }
  }
  return usable;
}

bool
Membership::ZoneReachable(const ZoneId& aZone, TimePoint aNow) const
{
  if (aZone == self_.zone_ || aNow - startedAt_ < options_.contactTtl_) {
    return true;
  }
  return items_.Find(GossipItemKind::ZoneContact, aZone.Get(), aNow)
    .has_value();
}

void
Membership::Receive(const GossipMessage& aMessage, TimePoint aNow)
{
  if (Isolated()) {
    for (const auto& [id, entry] : table_.All()) {
      if (entry.deadline_ != kNever) {
        table_.SetDeadline(id, aNow + options_.suspicion_);
      }
    }
  }
  failedRounds_ = 0;
  for (const Member& update : aMessage.updates_) {
    MergeUpdate(update, aNow);
  }
  for (const GossipItem& item : aMessage.items_) {
    MergeItem(item, aNow);
  }
  if (aMessage.revision_ > revision_) {
    revision_ = aMessage.revision_;
    revisionSource_ = aMessage.from_;
    urgent_ = true;
  }
  const MemberTable::Entry* sender = table_.Find(aMessage.from_);
  if (sender != nullptr) {
    RecordZoneContact(sender->member_, aNow);
  }
  CompareTables(aMessage, sender == nullptr ? nullptr : &sender->member_);
}

void
Membership::MergeUpdate(const Member& aUpdate, TimePoint aNow)
{
  if (aUpdate.id_ == self_.id_) {
    MergeSelf(aUpdate, aNow);
    return;
  }
  const MemberTable::Entry* known = table_.Find(aUpdate.id_);
  if (aUpdate.state_ == MemberState::Suspect && known != nullptr &&
      known->member_.zone_ != self_.zone_) {
    // The member's own zone resolves the suspicion and announces a death.
    return;
  }
  // If the complete record is missing here, nothing is requested: the table
  // hashes differ, which triggers a sync.
  if (table_.Merge(aUpdate, aNow) == MergeOutcome::Changed) {
    OnMemberChanged(table_.Find(aUpdate.id_)->member_, aNow);
  }
}

void
Membership::MergeSelf(const Member& aUpdate, TimePoint aNow)
{
  if (aUpdate.incarnation_ > self_.incarnation_) {
    if (joined_) {
      superseded_ = true;
      return;
    }
    // The wall clock was set back between two runs: exceed the incarnation of
    // the previous run.
    self_.incarnation_ = Incarnation{ aUpdate.incarnation_.Get() + 1 };
    table_.Merge(self_, aNow);
    OnMemberChanged(self_, aNow);
    return;
  }
  if (aUpdate.incarnation_ < self_.incarnation_) {
    return;
  }
  if (aUpdate.leaving_ && !self_.leaving_) {
    self_.leaving_ = true;
    table_.Merge(self_, aNow);
    OnMemberChanged(self_, aNow);
  }
  const bool isAccused = aUpdate.state_ != MemberState::Alive &&
                         aUpdate.refutation_ >= self_.refutation_;
  if (isAccused) {
    Refute(aUpdate.refutation_ + 1, aNow);
  }
}

void
Membership::Refute(std::uint32_t aRefutation, TimePoint aNow)
{
  self_.refutation_ = aRefutation;
  table_.Merge(self_, aNow);
  ++counters_.refutations_;
  OnMemberChanged(self_, aNow);
  urgent_ = true;
}

/// Enqueues a changed member and starts the timeout of a suspicion.
void
Membership::OnMemberChanged(const Member& aMember, TimePoint aNow)
{
  ++changes_;
  Enqueue(GossipSubject::Of(aMember.id_),
          aMember.state_ == MemberState::Suspect);
  if (aMember.state_ == MemberState::Suspect) {
    const TimePoint deadline = aNow + options_.suspicion_;
    table_.SetDeadline(aMember.id_, deadline);
    nextExpiry_ = std::min(nextExpiry_, deadline);
  }
  if (aMember.leaving_ || aMember.state_ == MemberState::Dead) {
    urgent_ = true;
  }
}

void
Membership::Enqueue(const GossipSubject& aSubject, bool aZoneOnly)
{
  queue_.Add(aSubject);
  if (!aZoneOnly) {
    remoteQueue_.Add(aSubject);
  }
}

void
Membership::MergeItem(const GossipItem& aItem, TimePoint aNow)
{
  if (!items_.Merge(aItem, aNow)) {
    return;
  }
  Enqueue(GossipSubject::Of(aItem), aItem.zoneOnly_);
  switch (aItem.kind_) {
    case GossipItemKind::ZoneContact:
      lastZoneContact_[ZoneId{ aItem.key_ }] = aNow - aItem.age_;
      CountChangeKeepingRoles(changes_, rolesVersion_);
      break;
    case GossipItemKind::Quarantine:
    case GossipItemKind::StoreRevision:
      urgent_ = true;
      CountChangeKeepingRoles(changes_, rolesVersion_);
      break;
    case GossipItemKind::Load:
      break;
  }
}

void
Membership::RecordZoneContact(const Member& aSender, TimePoint aNow)
{
  if (aSender.zone_ == self_.zone_) {
    return;
  }
  const auto known =
    items_.Find(GossipItemKind::ZoneContact, aSender.zone_.Get(), aNow);
  if (known && known->age_ < options_.contactPeriod_) {
    return;
  }
  GossipItem contact;
  contact.kind_ = GossipItemKind::ZoneContact;
  contact.key_ = aSender.zone_.Get();
  contact.version_ = known ? known->version_ + 1 : 1;
  contact.ttl_ = options_.contactTtl_;
  contact.zoneOnly_ = true;
  MergeItem(contact, aNow);
}

/// Detects a pause of this process. Open calls are abandoned and suspicions get
/// a new deadline, so that its own delay does not count against other members.
void
Membership::CheckPause(TimePoint aNow)
{
  if (!started_) {
    started_ = true;
    startedAt_ = aNow;
    const auto period = static_cast<std::uint64_t>(
      std::max<Duration::rep>(options_.probePeriod_.count(), 1));
    nextProbe_ =
      aNow + Duration{ static_cast<Duration::rep>(random_.Below(period)) };
  }
  const Duration gap = aNow - lastEvent_;
  const bool paused = lastEvent_ != TimePoint{} && gap > options_.pauseGap_;
  lastEvent_ = aNow;
  if (!paused) {
    return;
  }
  ++counters_.pauses_;
  calls_.clear();
  pendingIndirectProbes_.clear();
  syncing_ = false;
  nextProbe_ = aNow;
  for (const auto& [id, entry] : table_.All()) {
    if (entry.deadline_ != kNever) {
      table_.SetDeadline(id, aNow + options_.suspicion_);
    }
  }
}

void
Membership::SetState(const InstanceId& aId, MemberState aState, TimePoint aNow)
{
  const MemberTable::Entry* entry = table_.Find(aId);
  if (entry == nullptr) {
    return;
  }
  Member update = entry->member_;
  update.state_ = aState;
  if (table_.Merge(update, aNow) == MergeOutcome::Changed) {
    OnMemberChanged(table_.Find(aId)->member_, aNow);
  }
}

void
Membership::Expire(TimePoint aNow)
{
  if (Isolated() || aNow < nextExpiry_) {
    return;
  }
  nextExpiry_ = aNow + kSweepPeriod;
  std::vector<InstanceId> ended;
  for (const auto& [id, entry] : table_.All()) {
    if (entry.deadline_ <= aNow) {
      ended.push_back(id);
    } else {
      nextExpiry_ = std::min(nextExpiry_, entry.deadline_);
    }
  }
  for (const auto& [zone, seen] : lastZoneContact_) {
    if (seen != kNever && seen + options_.contactTtl_ > aNow) {
      nextExpiry_ = std::min(nextExpiry_, seen + options_.contactTtl_);
    }
  }
  // A zone contact may have expired, which no message announces.
  CountChangeKeepingRoles(changes_, rolesVersion_);
  for (const InstanceId& id : ended) {
    ++counters_.deaths_;
    SetState(id, MemberState::Dead, aNow);
  }
  table_.RemoveExpired(aNow);
  items_.RemoveExpired(aNow);
  DeclareLostZonesDead(aNow);
}

void
Membership::DeclareLostZonesDead(TimePoint aNow)
{
  for (auto& [zone, seen] : lastZoneContact_) {
    if (aNow - seen < options_.zoneRetention_) {
      continue;
    }
    seen = kNever;
    std::vector<InstanceId> lost;
    for (const auto& [id, entry] : table_.All()) {
      if (entry.member_.zone_ == zone) {
        lost.push_back(id);
      }
    }
    for (const InstanceId& id : lost) {
      SetState(id, MemberState::Dead, aNow);
    }
  }
}

} // namespace marjoramtally
