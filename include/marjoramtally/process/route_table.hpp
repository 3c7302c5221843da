/// Routes of the operators' configuration: which service answers a request and
/// how the request may be handled.
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

/// Whether requests may be repeated, and how they are answered.
enum class RouteKind
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once per attempt of the caller.
  AtMostOnce,
  /// Answered by an event stream; runs at most once unless resumable.
  Stream,
  /// A job of many generations, answered item by item.
  Rollout,
};

/// One service of a weighted traffic split.
struct ServiceWeight
{
  ServiceId service_;
  std::uint32_t weight_ = 1;
};

struct Route
{
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string prefix_;
  RouteKind kind_ = RouteKind::Idempotent;
  /// Maximum time that a caller waits for an answer.
  Duration timeout_ = std::chrono::seconds(10);
  /// Latency objective: an answer within this time has its full value.
  Duration objective_ = std::chrono::seconds(1);
  /// 0 is the highest.
  std::uint32_t priority_ = 0;
  /// Maximum number of upstreams to which one attempt of the caller is sent.
  std::uint32_t maxAttempts_ = 1;
  bool resumable_ = false;
  /// Requests need no API key.
  bool public_ = false;
  /// Time from the submission of a job until all its results are due.
  Duration runDeadline_ = std::chrono::seconds(10);
  /// Time from the submission of a job after which its items may be abandoned.
  Duration maxQueue_ = std::chrono::seconds(60);
  /// Each result must be generated under a single weight version.
  bool singleVersion_ = false;
  std::vector<ServiceWeight> services_;
};

/// Limits and prices of the upstreams of a service that the platform provides
/// on order, per availability zone.
struct UpstreamSupply
{
  std::uint32_t min_ = 0;
  std::uint32_t max_ = 0;
  /// Time from an order until its upstreams serve requests.
  Duration bootTime_{ 0 };
  /// Price of an upstream in each zone in which the service runs. Prices have
  /// no unit and are only compared with each other.
  std::map<ZoneId, double> zonePrices_;
  /// Price of a reclaimable (spot) upstream as a fraction of that price; 0 if
  /// the platform has none.
  double spotPrice_ = 0;
};

struct ServiceSpec
{
  ServiceId service_;
  std::string healthPath_;
  /// Maximum number of connections to one upstream, over all callers.
  std::uint32_t maxConnections_ = 0;
  /// Models that its upstreams hold; empty for a plain service.
  std::vector<std::string> models_;
  /// Empty if its upstreams cannot be ordered by this system.
  std::optional<UpstreamSupply> supply_;
};

/// What a caller may send, and how long it may take or stay idle. A value of 0
/// is not set.
struct CallerBounds
{
  std::uint64_t maxHeadBytes_ = 0;
  std::uint64_t maxBodyBytes_ = 0;
  Duration headerTimeout_{ 0 };
  Duration idleTimeout_{ 0 };
};

/// The part of the operators' configuration that concerns requests.
struct RoutingConfig
{
  ConfigRevision revision_;
  std::vector<Route> routes_;
  std::map<ServiceId, ServiceSpec> services_;
  CallerBounds callerBounds_;
  /// Empty if requests need no API key.
  std::optional<std::vector<Customer>> customers_;
};

/// The configuration in force. Its revision never decreases.
class RouteTable
{
public:
  /// Applies a configuration unless it is older than or equal to the current
  /// one.
  /// @returns whether it was applied
  bool Apply(RoutingConfig aConfig);
  /// @returns whether any configuration was applied
  [[nodiscard]] bool HasConfig() const noexcept
  {
    return config_.revision_.Get() != 0;
  }
  /// @returns whether the configuration in force is at least this revision. An
  /// older one, or none, cannot show that a route was removed.
  [[nodiscard]] bool Covers(ConfigRevision aRevision) const noexcept
  {
    return HasConfig() && config_.revision_ >= aRevision;
  }
  /// @returns the route with the longest prefix of the path among those of
  /// the host, or nullptr
  /// @param aHost host, optionally with a port, which is ignored
  [[nodiscard]] const Route* Match(std::string_view aHost,
                                   std::string_view aPath) const;
  [[nodiscard]] const RoutingConfig& Config() const noexcept { return config_; }
  /// @returns whether requests need an API key
  [[nodiscard]] bool RequiresKeys() const noexcept { return requiresKeys_; }
  [[nodiscard]] const CustomerTable& Customers() const noexcept
  {
    return customers_;
  }

private:
  /// `customers_` of the configuration is moved to the member below.
  RoutingConfig config_;
  bool requiresKeys_ = false;
  CustomerTable customers_;
  /// Indices of the routes, keyed by host followed by prefix. The keys are
  /// unambiguous: a host has no slash and a prefix begins with one. A linear
  /// search of 4,216 routes took 17 us and was repeated for each waiting item
  /// of a job.
  std::map<std::string, std::size_t, std::less<>> byHostAndPrefix_;
  /// Length of the longest of these keys in bytes, which bounds the part of a
  /// path that is looked up.
  std::size_t maxKeyLength_ = 0;
};

/// @returns the models whose results must be generated under a single weight
/// version: those of the services of routes with `singleVersion_`
[[nodiscard]] std::set<std::string>
SingleVersionModels(const RoutingConfig& aConfig);

/// @returns the models of all services
[[nodiscard]] std::set<std::string>
ModelsOf(const RoutingConfig& aConfig);

/// @returns the services named in a configuration
[[nodiscard]] std::set<ServiceId>
ServicesOf(const RoutingConfig& aConfig);

/// Selects a service of a route in proportion to the weights.
/// @param aDraw any number; equal numbers select the same service
[[nodiscard]] const ServiceId&
DrawService(const Route& aRoute, std::uint64_t aDraw) noexcept;

} // namespace marjoramtally
