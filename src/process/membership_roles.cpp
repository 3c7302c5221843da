/// State derived from the member table: peers, links to other zones, and the
/// bridges that keep these links.

#include "marjoramtally/process/membership.hpp"

#include <algorithm>
#include <cmath>

namespace marjoramtally {

namespace {

/// Times that an update is sent for each power of ten of the zone's size.
constexpr double kSendsPerDecade = 4.0;

} // namespace

bool
Membership::IsBridge() const
{
  RefreshRoles();
  return bridge_;
}

std::vector<InstanceId>
Membership::Peers() const
{
  RefreshRoles();
  return peers_;
}

std::vector<InstanceId>
Membership::PickOnePerZone()
{
  std::vector<InstanceId> chosen;
  for (const auto& [zone, members] : otherZones_) {
    chosen.push_back(members[random_.Below(members.size())]);
  }
  return chosen;
}

std::uint32_t
Membership::SendLimit(bool aRemote) const
{
  RefreshRoles();
  if (aRemote) {
    // Each bridge sends it about once to each other zone.
    return std::max(static_cast<std::uint32_t>(kSendsPerDecade),
                    static_cast<std::uint32_t>(otherZones_.size()));
  }
  const auto zoneSize = static_cast<double>(peers_.size() + 2);
  return static_cast<std::uint32_t>(kSendsPerDecade *
                                    std::ceil(std::log10(zoneSize)));
}

/// Derives peers, links and the bridge role from the table. The bridges of a
/// zone are its first members by id that are alive and not leaving.
void
Membership::RefreshRoles() const
{
  if (rolesVersion_ == changes_) {
    return;
  }
  rolesVersion_ = changes_;
  peers_.clear();
  otherZones_.clear();
  std::size_t lowerIds = 0;
  for (const auto& [id, entry] : table_.All()) {
    const Member& member = entry.member_;
    if (id == self_.id_ || member.state_ == MemberState::Dead) {
      continue;
    }
    if (member.zone_ != self_.zone_) {
      otherZones_[member.zone_].push_back(id);
      continue;
    }
    peers_.push_back(id);
    const bool eligible =
      member.state_ == MemberState::Alive && !member.leaving_;
    lowerIds += eligible && id < self_.id_ ? 1 : 0;
  }
  bridge_ = lowerIds < options_.bridgesPerZone_;
}

} // namespace marjoramtally
