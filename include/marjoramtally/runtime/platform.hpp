/// The users' platform as the daemons see it: names of header fields, places
/// in the store and formats of bodies. An adapter implements it; it decides
/// nothing.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/process/route_table.hpp"
#include "marjoramtally/process/upstream_table.hpp"
#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/version/job.hpp"

#include <map>

namespace marjoramtally {

/// Header fields as callers and upstreams spell them.
struct WireNames
{
  /// Id of one attempt of a caller; upstreams repeat it.
  std::string attempt_;
  /// Milliseconds that whoever asks will still wait.
  std::string deadline_;
  /// Proof that an answer is an upstream's own.
  std::string signature_;
  /// The incarnation that alone may run the request.
  std::string expectUpstream_;
  /// In an answer: the upstream did not run the request.
  std::string notRun_;
  /// Id of the last event held, to go on after it.
  std::string lastEvent_;
  /// Weight version at the start of a stream.
  std::string versions_;
  /// The field that marks an event from which on a new version applies.
  std::string versionField_;
  /// How long a read may be held open, in milliseconds.
  std::string wait_;
  /// Urgency at the upstream, 0 is first.
  std::string urgency_;
  /// In a request to an upstream: the customer whose request it is.
  std::string customer_;
};

/// Places in the platform's store that the platform writes.
struct StorePlaces
{
  std::string config_;
  std::string upstreams_;
  std::string versions_;
  std::string retirements_;
};

/// A version that a trainer named for its model.
struct NamedVersion
{
  std::string model_;
  WeightVersion version_;
};

/// A call about a job other than its submission.
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
  /// Position from which results are read.
  std::uint64_t after_ = 0;
  ItemId item_;
  /// Who asks; empty: requests need no keys.
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
  /// Orders that the upstream has accepted so far; a later one is refused.
  std::optional<std::uint64_t> expectedOrders_;
  /// Runs in progress finish before the change; else they go on under the new
  /// version.
  bool runsFinish_ = false;
};

/// What an upstream says of its orders and versions.
struct OrderState
{
  UpstreamStart start_;
  bool busy_ = false;
  std::uint64_t orders_ = 0;
  std::vector<ModelVersion> models_;
};

/// Which process calls the platform on behalf of all.
struct DutyCaller
{
  std::string holder_;
  FencingNumber fence_;
};

/// What customers used in one window of time: requests that began to run.
struct UsageReport
{
  /// The window's number.
  std::uint64_t window_ = 0;
  std::map<CustomerId, std::uint64_t> counts_;
};

/// An order for the number of upstreams of a service in an availability zone.
struct SupplyOrder
{
  ServiceId service_;
  ZoneId zone_;
  std::uint32_t count_ = 0;
  /// Upstreams that may be reclaimed.
  bool spot_ = false;
};

/// The adapter.
class Platform
{
public:
  virtual ~Platform() = default;
  [[nodiscard]] virtual const WireNames& Names() const noexcept = 0;
  [[nodiscard]] virtual const StorePlaces& Places() const noexcept = 0;

  [[nodiscard]] virtual Result<RoutingConfig> ReadConfig(
    std::string_view aValue) const = 0;
  /// @param aKey the record's whole key
  [[nodiscard]] virtual Result<UpstreamEntry> ReadUpstream(
    std::string_view aKey,
    std::string_view aValue) const = 0;
  [[nodiscard]] virtual UpstreamId UpstreamOf(std::string_view aKey) const = 0;
  [[nodiscard]] virtual Result<NamedVersion> ReadVersion(
    std::string_view aValue) const = 0;

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

  /// Calls of a duty, to the platform's address for such calls.
  [[nodiscard]] virtual HttpCall MakeUsageCall(
    const std::string& aAddress,
    const DutyCaller& aCaller,
    const UsageReport& aReport) const = 0;
  [[nodiscard]] virtual HttpCall MakeSupplyCall(
    const std::string& aAddress,
    const DutyCaller& aCaller,
    const SupplyOrder& aOrder) const = 0;

  /// @returns the key and value that tell how the emptying of an instance
  /// stands
  [[nodiscard]] virtual std::pair<std::string, std::string> RetireStatus(
    const InstanceId& aInstance,
    bool aCompleted) const = 0;
};

} // namespace marjoramtally
