#include "marjoramtally/process/config_fanout.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace marjoramtally {

FanoutRole
ChooseFanout(std::vector<FanoutMember> aMembers, const FanoutMember& aSelf)
{
  std::erase_if(aMembers, [&](const FanoutMember& aMember) {
    return aMember.id_ == aSelf.id_;
  });
  aMembers.push_back(aSelf);
  std::sort(aMembers.begin(),
            aMembers.end(),
            [](const FanoutMember& aOne, const FanoutMember& aTwo) {
              return std::tie(aOne.zone_, aOne.id_) <
                     std::tie(aTwo.zone_, aTwo.id_);
            });
  FanoutRole role;
  std::map<ZoneId, std::size_t> seen;
  for (const FanoutMember& member : aMembers) {
    const bool watches = ++seen[member.zone_] <= kWatchersPerZone;
    if (member.id_ == aSelf.id_) {
      role.watches_ = watches;
    } else if (watches || member.zone_ == aSelf.zone_) {
      role.targets_.push_back(member.rpc_);
    }
  }
  if (!role.watches_) {
    role.targets_.clear();
  }
  return role;
}

} // namespace marjoramtally
