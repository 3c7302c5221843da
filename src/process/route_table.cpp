#include "marjoramtally/process/route_table.hpp"

namespace marjoramtally {

bool
RouteTable::Apply(RoutingConfig aConfig)
{
  if (aConfig.revision_ <= config_.revision_) {
    return false;
  }
  config_ = std::move(aConfig);
  return true;
}

const Route*
RouteTable::Match(std::string_view aHost, std::string_view aPath) const noexcept
{
  const std::string_view host = aHost.substr(0, aHost.find(':'));
  const Route* best = nullptr;
  for (const Route& route : config_.routes_) {
    const bool fits = route.host_ == host && aPath.starts_with(route.prefix_);
    const bool longer =
      best == nullptr || route.prefix_.size() > best->prefix_.size();
    if (fits && longer) {
      best = &route;
    }
  }
  return best;
}

std::set<ServiceId>
ServicesOf(const RoutingConfig& aConfig)
{
  std::set<ServiceId> services;
  for (const auto& [service, spec] : aConfig.services_) {
    services.insert(service);
  }
  for (const Route& route : aConfig.routes_) {
    for (const ServiceWeight& share : route.services_) {
      services.insert(share.service_);
    }
  }
  return services;
}

std::set<std::string>
SingleVersionModels(const RoutingConfig& aConfig)
{
  std::set<std::string> models;
  for (const Route& route : aConfig.routes_) {
    if (!route.singleVersion_) {
      continue;
    }
    for (const ServiceWeight& part : route.services_) {
      const auto service = aConfig.services_.find(part.service_);
      if (service != aConfig.services_.end()) {
        models.insert(service->second.models_.begin(),
                      service->second.models_.end());
      }
    }
  }
  return models;
}

const ServiceId&
DrawService(const Route& aRoute, std::uint64_t aDraw) noexcept
{
  static const ServiceId kNone;
  std::uint64_t total = 0;
  for (const ServiceWeight& entry : aRoute.services_) {
    total += entry.weight_;
  }
  if (total == 0) {
    return aRoute.services_.empty() ? kNone : aRoute.services_.front().service_;
  }
  std::uint64_t left = aDraw % total;
  for (const ServiceWeight& entry : aRoute.services_) {
    if (left < entry.weight_) {
      return entry.service_;
    }
    left -= entry.weight_;
  }
  return aRoute.services_.back().service_;
}

} // namespace marjoramtally
