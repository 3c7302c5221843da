#include "marjoramtally/process/route_table.hpp"

#include <algorithm>

namespace marjoramtally {

bool
RouteTable::Apply(RoutingConfig aConfig)
{
  if (aConfig.revision_ <= config_.revision_) {
    return false;
  }
  config_ = std::move(aConfig);
  requiresKeys_ = config_.customers_.has_value();
  customers_ = CustomerTable(
    std::move(config_.customers_).value_or(std::vector<Customer>{}));
  config_.customers_.reset();
  byHostAndPrefix_.clear();
  maxKeyLength_ = 0;
  for (std::size_t i = 0; i < config_.routes_.size(); ++i) {
    const Route& route = config_.routes_[i];
    const auto [entry, added] =
      byHostAndPrefix_.emplace(route.host_ + route.prefix_, i);
    maxKeyLength_ = std::max(maxKeyLength_, entry->first.size());
  }
  return true;
}

const Route*
RouteTable::Match(std::string_view aHost, std::string_view aPath) const
{
  std::string key(aHost.substr(0, aHost.find(':')));
  const std::size_t hostBytes = key.size();
  key += aPath.substr(0, maxKeyLength_);
  std::string_view prefix = std::string_view(key).substr(0, maxKeyLength_);
  for (std::size_t slash = prefix.rfind('/');
       slash != std::string_view::npos && slash >= hostBytes;
       slash = prefix.rfind('/')) {
    const auto found = byHostAndPrefix_.find(prefix.substr(0, slash + 1));
    if (found != byHostAndPrefix_.end()) {
      return &config_.routes_[found->second];
    }
    prefix = prefix.substr(0, slash);
  }
  return nullptr;
}

std::set<std::string>
ModelsOf(const RoutingConfig& aConfig)
{
  std::set<std::string> models;
  for (const auto& [id, service] : aConfig.services_) {
    models.insert(service.models_.begin(), service.models_.end());
  }
  return models;
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
