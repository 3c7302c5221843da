/// Which instances watch the store for configuration and whom they tell.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <vector>

namespace marjoramtally {

/// One instance as the choice sees it.
struct FanoutMember
{
  ZoneId zone_;
  InstanceId id_;
  /// Its RPC address.
  std::string rpc_;
};

/// Instances of a zone that watch the store; two, so that one may die.
inline constexpr std::size_t kWatchersPerZone = 2;

/// What one instance does for the others.
struct FanoutRole
{
  bool watches_ = false;
  /// RPC addresses of those it tells of a new revision.
  std::vector<std::string> targets_;
};

/// The first instances of each zone, by id, watch; they tell all others of
/// their zone and the watchers of the other zones, so that a zone cut off
/// from the store alone still hears. The rest tell nobody.
[[nodiscard]] FanoutRole
ChooseFanout(std::vector<FanoutMember> aMembers, const FanoutMember& aSelf);

} // namespace marjoramtally
