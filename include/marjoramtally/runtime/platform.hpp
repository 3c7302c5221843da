/// Interface to the users' platform: header names, keys in the store and
/// message formats. An adapter implements it and contains no decisions.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/process/route_table.hpp"
#include "marjoramtally/process/upstream_table.hpp"
#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/version/job.hpp"

#include <map>

namespace marjoramtally {

/// Names of the header fields of callers and upstreams.
struct WireNames
{
  /// Id of one attempt of a caller; upstreams repeat it in their response.
  std::string attempt_;
  /// Milliseconds for which the sender of the request will still wait.
  std::string deadline_;
  /// Proves that a response comes from the upstream.
  std::string signature_;
  /// Only this incarnation of the upstream may run the request.
  std::string expectUpstream_;
  /// In a response: the upstream did not run the request.
  std::string notRun_;
  /// Id of the last event received, to resume after it.
  std::string lastEvent_;
  /// Weight version at the start of a stream.
  std::string versions_;
  /// Field of an event from which on a new version applies.
  std::string versionField_;
  /// How long a read may be held open, in milliseconds.
  std::string wait_;
  /// Priority at the upstream; 0 is the highest.
  std::string urgency_;
  /// In a request to an upstream: the customer who sent it.
  std::string customer_;
  /// In a response: the load of the upstream.
  std::string load_;
};

/// Keys and key prefixes in the store that the platform writes.
struct StorePlaces
{
  std::string config_;
  std::string upstreams_;
  std::string versions_;
  std::string retirements_;
};

/// The version that a trainer has set for its model.
struct NamedVersion
{
  std::string model_;
  WeightVersion version_;
};

/// A request about a job other than its submission.
struct JobQuery
{
  enum class Verb
  {
    Read,
    Body,
    End,
  };
  Verb verb_ = Verb::Read;
  JobId job_;
  /// Results after this position are returned.
  std::uint64_t after_ = 0;
  ItemId item_;
  /// The customer who sends the request; empty if requests need no keys.
  CustomerId customer_;
};

/// A page of a job's results.
struct ResultPage
{
  std::uint64_t total_ = 0;
  std::uint64_t next_ = 0;
  std::vector<JobResult> results_;
};

/// An order to an upstream to change a model's version.
struct VersionOrder
{
  std::string model_;
  WeightVersion version_;
  std::string holder_;
  FencingNumber fence_;
  /// Number of orders that the upstream is expected to have accepted; it
  /// refuses this order if it has accepted others since.
  std::optional<std::uint64_t> expectedOrders_;
  /// Runs in progress finish before the change; otherwise they continue under
  /// the new version.
  bool runsFinish_ = false;
};

/// An upstream's report of its orders and versions.
struct OrderState
{
  UpstreamStart start_;
  bool busy_ = false;
  std::uint64_t orders_ = 0;
  std::vector<ModelVersion> models_;
};

/// The process that calls the platform on behalf of all.
struct DutyCaller
{
  std::string holder_;
  FencingNumber fence_;
};

/// Requests of each customer that began to run in one window of time.
struct UsageReport
{
  std::uint64_t window_ = 0;
  std::map<CustomerId, std::uint64_t> counts_;
};

/// An order to set the number of upstreams of a service in an availability
/// zone.
struct SupplyOrder
{
  ServiceId service_;
  ZoneId zone_;
  std::uint32_t count_ = 0;
  /// Orders spot upstreams, which may be reclaimed.
  bool spot_ = false;
};

/// Interface that the platform's adapter implements.
class Platform
{
public:
  virtual ~Platform() = default;
  [[nodiscard]] virtual const WireNames& Names() const noexcept = 0;
  [[nodiscard]] virtual const StorePlaces& Places() const noexcept = 0;

  [[nodiscard]] virtual Result<RoutingConfig> ReadConfig(
    std::string_view aValue) const = 0;
  /// @param aKey the record's full key
  [[nodiscard]] virtual Result<UpstreamEntry> ReadUpstream(
    std::string_view aKey,
    std::string_view aValue) const = 0;
  [[nodiscard]] virtual UpstreamId UpstreamOf(std::string_view aKey) const = 0;
  [[nodiscard]] virtual Result<NamedVersion> ReadVersion(
    std::string_view aValue) const = 0;

  /// @returns nothing if the text is no load of an upstream
  [[nodiscard]] virtual std::optional<LoadReport> ReadLoad(
    std::string_view aText) const = 0;
  /// @returns whether a deployment with these features, separated by commas,
  /// asks for decisions by load
  [[nodiscard]] virtual bool AsksForLoadControl(
    std::string_view aFeatures) const = 0;

  [[nodiscard]] virtual Result<JobSpec> ReadSubmission(
    std::string_view aBody) const = 0;
  [[nodiscard]] virtual std::optional<JobQuery> ReadQuery(
    const HttpRequest& aRequest) const = 0;
  [[nodiscard]] virtual std::string WritePage(
    const ResultPage& aPage) const = 0;

  [[nodiscard]] virtual HttpCall MakeOrder(
    const UpstreamEntry& aUpstream,
    const VersionOrder& aOrder) const = 0;
  [[nodiscard]] virtual HttpCall MakeReportCall(
    const UpstreamEntry& aUpstream) const = 0;
  [[nodiscard]] virtual Result<OrderState> ReadReport(
    std::string_view aBody) const = 0;

  /// Calls made by the holder of a duty, to the platform's address for such
  /// calls.
  [[nodiscard]] virtual HttpCall MakeUsageCall(
    const std::string& aAddress,
    const DutyCaller& aCaller,
    const UsageReport& aReport) const = 0;
  [[nodiscard]] virtual HttpCall MakeSupplyCall(
    const std::string& aAddress,
    const DutyCaller& aCaller,
    const SupplyOrder& aOrder) const = 0;

  /// @returns the key and value that report the progress of draining an
  /// instance
  [[nodiscard]] virtual std::pair<std::string, std::string> RetireStatus(
    const InstanceId& aInstance,
    bool aCompleted) const = 0;
};

} // namespace marjoramtally
