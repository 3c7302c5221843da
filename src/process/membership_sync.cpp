/// Table syncs: joining, and repairing differences that gossip has missed.

#include "marjoramtally/process/membership.hpp"

#include <set>

namespace marjoramtally {

namespace {

/// Interval at which a seed that is not a living member is contacted.
constexpr auto kSeedPeriod = std::chrono::seconds(5);

} // namespace

/// Schedules a sync after several messages in a row with a different hash.
void
Membership::CompareTables(const GossipMessage& aMessage, const Member* aSender)
{
  const bool sameZone = aSender != nullptr && aSender->zone_ == self_.zone_;
  std::size_t& mismatch = sameZone ? localMismatch_ : remoteMismatch_;
  if (aMessage.tableHash_ == table_.Hash()) {
    mismatch = 0;
    return;
  }
  ++mismatch;
  const std::size_t limit =
    sameZone ? options_.localMismatches_ : options_.remoteMismatches_;
  if (mismatch >= limit && !syncing_ && syncPeer_.empty() &&
      aSender != nullptr) {
    mismatch = 0;
    syncPeer_ = aSender->rpc_;
    syncCursor_.clear();
  }
}

/// Joins through a seed, or continues a sync that is due.
void
Membership::SyncIfDue(TimePoint aNow, GossipActions& aOut)
{
  if (syncing_ || aNow < nextSync_) {
    return;
  }
  const bool alone = peers_.empty() && otherZones_.empty();
  if (syncPeer_.empty() && (!joined_ || alone) && !seeds_.empty()) {
    syncPeer_ = seeds_[random_.Below(seeds_.size())];
  }
  if (syncPeer_.empty() && aNow >= nextSeedCheck_) {
    nextSeedCheck_ = aNow + kSeedPeriod;
    syncPeer_ = PickUnknownSeed();
  }
  if (syncPeer_.empty()) {
    return;
  }
  GossipMessage request = Compose(GossipKind::Sync, nullptr, aNow);
  request.updates_.push_back(self_);
  request.cursor_ = syncCursor_;
  for (const auto& [zone, hash] : table_.Hashes()) {
    request.zoneHashes_.push_back({ zone, hash });
  }
  syncing_ = true;
  ++counters_.syncs_;
  aOut.emplace_back(Send({ CallKind::Sync, {}, {} },
                         syncPeer_,
                         std::move(request),
                         options_.indirectTimeout_));
}

/// @returns a random seed that is not a living member of this table; empty if
/// there is none. It may belong to a separate group of members that joined
/// through each other and do not know this one.
std::string
Membership::PickUnknownSeed()
{
  std::set<std::string> known{ self_.rpc_ };
  for (const auto& [id, entry] : table_.All()) {
    if (entry.member_.state_ != MemberState::Dead) {
      known.insert(entry.member_.rpc_);
    }
  }
  std::vector<std::string> unknown;
  for (const std::string& seed : seeds_) {
    if (!known.contains(seed)) {
      unknown.push_back(seed);
    }
  }
  return unknown.empty() ? "" : unknown[random_.Below(unknown.size())];
}

/// @returns members of the zones whose hash differs, after the cursor
GossipMessage
Membership::ComposePage(const GossipMessage& aRequest, TimePoint aNow)
{
  GossipMessage page = Compose(GossipKind::SyncPage, nullptr, aNow);
  std::map<ZoneId, std::uint64_t> theirs;
  for (const ZoneHash& zone : aRequest.zoneHashes_) {
    theirs[zone.zone_] = zone.hash_;
  }
  std::size_t left = options_.pageBudget_;
  const auto& all = table_.All();
  for (auto it = all.upper_bound(InstanceId{ aRequest.cursor_ });
       it != all.end();
       ++it) {
    const Member& member = it->second.member_;
    const auto known = theirs.find(member.zone_);
    if (known != theirs.end() && known->second == table_.HashOf(member.zone_)) {
      continue;
    }
    Member update = member;
    if (update.state_ == MemberState::Suspect) {
      // A sync does not transfer suspicions.
      update.state_ = MemberState::Alive;
    }
    const std::size_t bytes = WireBytes(update);
    if (bytes > left) {
      return page;
    }
    left -= bytes;
    page.cursor_ = member.id_.Get();
    page.updates_.push_back(std::move(update));
  }
  page.cursor_.clear();
  return page;
}

} // namespace marjoramtally
