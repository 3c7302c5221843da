/// Probes within the zone, links to other zones and urgent pushes.

#include "marjoramtally/process/membership.hpp"

#include <algorithm>

namespace marjoramtally {

/// Probes the members of the zone in random order, each once per round.
void
Membership::ProbeNext(TimePoint aNow, GossipActions& aOut)
{
  if (peers_.empty()) {
    return;
  }
  while (true) {
    if (probeOrder_.empty()) {
      probeOrder_ = peers_;
      for (std::size_t i = probeOrder_.size(); i > 1; --i) {
        std::swap(probeOrder_[i - 1], probeOrder_[random_.Below(i)]);
      }
    }
    const InstanceId target = probeOrder_.back();
    probeOrder_.pop_back();
    if (std::find(peers_.begin(), peers_.end(), target) != peers_.end()) {
      SendTo(CallKind::Direct, target, aNow, aOut);
      return;
    }
  }
}

void
Membership::ProbeIndirectly(const InstanceId& aTarget,
                            TimePoint aNow,
                            GossipActions& aOut)
{
  const MemberTable::Entry* target = table_.Find(aTarget);
  if (target == nullptr) {
    return;
  }
  const std::string address = target->member_.rpc_;
  std::vector<InstanceId> helpers = Peers();
  std::erase(helpers, aTarget);
  std::size_t asked = 0;
  while (asked < options_.indirectProbes_ && !helpers.empty()) {
    const std::size_t chosen = random_.Below(helpers.size());
    const MemberTable::Entry* helper = table_.Find(helpers[chosen]);
    GossipMessage request =
      Compose(GossipKind::IndirectProbe, &helper->member_, aNow);
    request.target_ = address;
    aOut.emplace_back(Send({ CallKind::Indirect, aTarget, {} },
                           helper->member_.rpc_,
                           std::move(request),
                           options_.indirectTimeout_));
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    ++asked;
  }
  pendingIndirectProbes_[aTarget] = asked + 1;
  EndIndirectProbe(aTarget, aNow);
}

/// Counts one intermediary that could not reach the target. After the last one
/// the target becomes suspect.
void
Membership::EndIndirectProbe(const InstanceId& aTarget, TimePoint aNow)
{
  const auto it = pendingIndirectProbes_.find(aTarget);
  if (it == pendingIndirectProbes_.end() || --it->second > 0) {
    return;
  }
  pendingIndirectProbes_.erase(it);
  ++failedRounds_;
  const MemberTable::Entry* entry = table_.Find(aTarget);
  if (!Isolated() && entry != nullptr &&
      entry->member_.state_ == MemberState::Alive) {
    ++counters_.suspicions_;
    SetState(aTarget, MemberState::Suspect, aNow);
  }
}

/// Keeps the links to other zones: probes a random member of the next zone.
void
Membership::ProbeZone(TimePoint aNow, GossipActions& aOut)
{
  if (otherZones_.empty()) {
    return;
  }
  if (nextZone_ == 0) {
    nextZone_ = 1 + random_.Below(otherZones_.size());
  }
  auto zone = otherZones_.begin();
  std::advance(zone,
               static_cast<std::ptrdiff_t>(nextZone_++ % otherZones_.size()));
  const std::vector<InstanceId>& members = zone->second;
  SendTo(CallKind::Remote, members[random_.Below(members.size())], aNow, aOut);
}

/// Pushes an urgent change without waiting for the next probe.
void
Membership::PushUrgent(TimePoint aNow, GossipActions& aOut)
{
  if (!urgent_) {
    return;
  }
  urgent_ = false;
  std::vector<InstanceId> localPeers = Peers();
  for (std::size_t i = 0; i < options_.urgentFanout_ && !localPeers.empty();
       ++i) {
    const std::size_t chosen = random_.Below(localPeers.size());
    SendTo(CallKind::Push, localPeers[chosen], aNow, aOut);
    localPeers.erase(localPeers.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
  if (!IsBridge()) {
    return;
  }
  std::vector<InstanceId> remoteMembers = PickOnePerZone();
  for (std::size_t i = 0; i < options_.urgentZones_ && !remoteMembers.empty();
       ++i) {
    const std::size_t chosen = random_.Below(remoteMembers.size());
    SendTo(CallKind::Push, remoteMembers[chosen], aNow, aOut);
    remoteMembers.erase(remoteMembers.begin() +
                        static_cast<std::ptrdiff_t>(chosen));
  }
}

} // namespace marjoramtally
