#include "programs/entryd/upstream_list.hpp"

namespace marjoramtally {

std::vector<UpstreamView>
ListUpstreams(const Rules& aRules)
{
  std::vector<UpstreamView> upstreams;
  for (const auto& [id, rule] : aRules.upstreams_) {
    UpstreamView view;
    view.id_ = id;
    view.service_ = ServiceId{ rule.service_ };
    view.zone_ = ZoneId{ rule.zone_ };
    view.address_ = rule.address_;
    view.drained_ = rule.leaving_;
    view.limit_ = aRules.services_.at(view.service_).upstreamLimit_;
    upstreams.push_back(std::move(view));
  }
  return upstreams;
}

} // namespace marjoramtally
