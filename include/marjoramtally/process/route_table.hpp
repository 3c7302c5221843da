/// Routes of the operators' configuration: which service answers a request,
/// and what may be done with it.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/process/customer_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// What may be repeated, and how the answer comes.
enum class RouteKind
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each attempt of the caller.
  AtMostOnce,
  /// Answered by a stream of events; at most once unless resumable.
  Stream,
  /// A job of many generations, answered item by item.
  Rollout,
};

/// One service of a weighted split.
struct ServiceWeight
{
  ServiceId service_;
  std::uint32_t weight_ = 1;
};

/// One route.
struct Route
{
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string prefix_;
  RouteKind kind_ = RouteKind::Idempotent;
  /// Longest time that a caller is kept waiting.
  Duration timeout_ = std::chrono::seconds(10);
  /// Time within which an answer is worth all it can be.
  Duration objective_ = std::chrono::seconds(1);
  /// 0 is the highest.
  std::uint32_t priority_ = 0;
  /// Most upstreams that one attempt of the caller may be sent to.
  std::uint32_t maxAttempts_ = 1;
  bool resumable_ = false;
  /// Requests need no key.
  bool public_ = false;
  /// All results are due this long after a job was submitted.
  Duration runDeadline_ = std::chrono::seconds(10);
  /// An item of a job may be given up this long after the submission.
  Duration maxQueue_ = std::chrono::seconds(60);
  /// A result must have been made under one weight version.
  bool singleVersion_ = false;
  std::vector<ServiceWeight> services_;
};

/// How many upstreams of a service the platform provides on order, in each
/// availability zone.
struct UpstreamSupply
{
  std::uint32_t min_ = 0;
  std::uint32_t max_ = 0;
  /// From an order until its upstreams serve.
  Duration bootTime_{ 0 };
  /// Price of an upstream for each zone in which the service runs, to be
  /// compared with each other only.
  std::map<ZoneId, double> zonePrices_;
  /// Part of that price for an upstream that may be reclaimed; 0: there are
  /// none.
  double spotPrice_ = 0;
};

/// One service.
struct ServiceSpec
{
  ServiceId service_;
  std::string healthPath_;
  /// Most connections of all callers together to one upstream.
  std::uint32_t maxConnections_ = 0;
  /// Names of the models that its upstreams hold; empty: a plain service.
  std::vector<std::string> models_;
  /// None: its upstreams are not ours to order.
  std::optional<UpstreamSupply> supply_;
};

/// The operators' configuration as far as requests need it.
struct RoutingConfig
{
  ConfigRevision revision_;
  std::vector<Route> routes_;
  std::map<ServiceId, ServiceSpec> services_;
  std::uint64_t maxBodyBytes_ = 0;
  /// None: requests need no key.
  std::optional<std::vector<Customer>> customers_;
};

/// The configuration in force. Revisions only grow.
class RouteTable
{
public:
  /// @returns whether the configuration is newer and now in force
  bool Apply(RoutingConfig aConfig);
  /// @returns whether any configuration is known
  [[nodiscard]] bool HasConfig() const noexcept
  {
    return config_.revision_.Get() != 0;
  }
  /// @returns whether the configuration in force is at least as new; an older
  /// one, or none at all, cannot tell that a route was removed
  [[nodiscard]] bool Covers(ConfigRevision aRevision) const noexcept
  {
    return HasConfig() && config_.revision_ >= aRevision;
  }
  /// @returns the route with the longest prefix of the path among those of
  /// the host, or nullptr
  /// @param aHost may name a port, which is ignored
  [[nodiscard]] const Route* Match(std::string_view aHost,
                                   std::string_view aPath) const;
  [[nodiscard]] const RoutingConfig& Config() const noexcept { return config_; }
  /// @returns whether requests need keys
  [[nodiscard]] bool RequiresKeys() const noexcept { return requiresKeys_; }
  [[nodiscard]] const CustomerTable& Customers() const noexcept
  {
    return customers_;
  }

private:
  /// Without the customers, which the table holds.
  RoutingConfig config_;
  bool requiresKeys_ = false;
  CustomerTable customers_;
  /// Indices of the routes by host and prefix, one after the other: a host has
  /// no slash and a prefix begins with one. Finding a route among 4,216 one by
  /// one took 17 us, for each waiting item of a job again.
  std::map<std::string, std::size_t, std::less<>> byHostAndPrefix_;
  /// Length of the longest of these keys, in bytes: no longer part of a path
  /// is looked up.
  std::size_t maxKeyLength_ = 0;
};

/// @returns the models whose texts must come from one version: those of the
/// services of routes that say so
[[nodiscard]] std::set<std::string>
SingleVersionModels(const RoutingConfig& aConfig);

/// @returns the services that a configuration names
[[nodiscard]] std::set<ServiceId>
ServicesOf(const RoutingConfig& aConfig);

/// Draws a service of a route's split.
/// @param aDraw any number; the same number draws the same service
[[nodiscard]] const ServiceId&
DrawService(const Route& aRoute, std::uint64_t aDraw) noexcept;

} // namespace marjoramtally
