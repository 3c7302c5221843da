/// Decides which instances watch the store for configuration, and which other
/// instances they notify.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <vector>

namespace marjoramtally {

/// An instance that takes part in the fan-out.
struct FanoutMember
{
  ZoneId zone_;
  InstanceId id_;
  /// Its RPC address.
  std::string rpc_;
};

/// Instances of a zone that watch the store; two, so that one may fail.
inline constexpr std::size_t kWatchersPerZone = 2;

/// The part of one instance in the fan-out.
struct FanoutRole
{
  bool watches_ = false;
  /// RPC addresses of the instances that it notifies of a new revision.
  std::vector<std::string> targets_;
};

/// The first instances of each zone, by id, watch the store. They notify all
/// others of their zone and the watchers of the other zones, so that a zone
/// that is cut off only from the store still receives new revisions. The
/// remaining instances notify nobody.
[[nodiscard]] FanoutRole
ChooseFanout(std::vector<FanoutMember> aMembers, const FanoutMember& aSelf);

} // namespace marjoramtally
