#include "process/routing_snapshot.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

void
Add(Pool& aPool,
    WeightVersion aVersion,
    const RoutedPtr& aUpstream,
    const ZoneId& aZone)
{
  auto& members =
    aUpstream->view_.zone_ == aZone ? aPool.local_ : aPool.remote_;
  members.push_back({ aVersion, aUpstream });
}

void
SortByVersion(std::vector<PoolMember>& aMembers)
{
  std::stable_sort(aMembers.begin(),
                   aMembers.end(),
                   [](const PoolMember& aLeft, const PoolMember& aRight) {
                     return aLeft.version_ > aRight.version_;
                   });
}

} // namespace

bool
RoutedUpstream::Serves(const std::string& aModel, WeightVersion aMin) const
{
  if (aModel.empty()) {
    return true;
  }
  const auto found = models_.find(aModel);
  return found != models_.end() && found->second >= aMin;
}

std::span<const PoolMember>
AtLeast(const std::vector<PoolMember>& aMembers, WeightVersion aMin) noexcept
{
  const auto end = std::partition_point(
    aMembers.begin(), aMembers.end(), [aMin](const PoolMember& aMember) {
      return aMember.version_ >= aMin;
    });
  return { aMembers.begin(), end };
}

const Pool*
RoutingSnapshot::FindPool(const ServiceId& aService,
                          const std::string& aModel) const
{
  const auto service = pools_.find(aService);
  if (service == pools_.end()) {
    return nullptr;
  }
  const auto pool = service->second.find(aModel);
  return pool == service->second.end() ? nullptr : &pool->second;
}

const RoutedUpstream*
RoutingSnapshot::Find(const UpstreamId& aId) const
{
  const auto found = byId_.find(aId);
  return found == byId_.end() ? nullptr : found->second.get();
}

std::unique_ptr<const RoutingSnapshot>
BuildSnapshot(const std::map<UpstreamId, RoutedPtr>& aUpstreams,
              const ZoneId& aZone)
{
  auto snapshot = std::make_unique<RoutingSnapshot>();
  for (const auto& [id, upstream] : aUpstreams) {
    snapshot->byId_.emplace(id, upstream);
    snapshot->bySlot_.emplace(upstream->slot_, upstream);
    if (!upstream->view_.TakesWork()) {
      continue;
    }
    ServicePools& pools = snapshot->pools_[upstream->view_.service_];
    Add(pools[""], WeightVersion{}, upstream, aZone);
    for (const auto& [model, version] : upstream->models_) {
      Add(pools[model], version, upstream, aZone);
    }
  }
  for (auto& [service, pools] : snapshot->pools_) {
    for (auto& [model, pool] : pools) {
      SortByVersion(pool.local_);
      SortByVersion(pool.remote_);
    }
  }
  return snapshot;
}

} // namespace marjoramtally
