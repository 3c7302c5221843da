/// Plans which upstream loads which weight version next.
///
/// Each upstream of a service is a replica of some of its models: it loads only
/// the new versions of these. The replicas of a model change versions in turn,
/// so that the others keep serving the previous version, and lie in several
/// zones, so that the loss of a zone leaves some. Replicas are spread evenly.
/// Upstreams register one after the other, and without rebalancing the first
/// one remained a replica of all models (of ten upstreams, one had 18 of 44
/// loads and 812 of 1,131 refusals of items).
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/process/load_limit.hpp"
#include "marjoramtally/process/peak_demand.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjoramtally {

/// State of an upstream when a plan is made.
struct PlanUpstream
{
  UpstreamId id_;
  ServiceId service_;
  ZoneId zone_;
  /// Loaded version of each of its models.
  std::map<std::string, WeightVersion> versions_;
  /// An order is in progress there, or may be.
  bool busy_ = false;
  /// Known long runs in progress. A load would stall them, and a step waits for
  /// its longest text.
  std::uint32_t longRuns_ = 0;
  /// Slots for items.
  std::uint32_t slots_ = 1;
};

/// A load to order.
struct PlannedLoad
{
  UpstreamId upstream_;
  std::string model_;
  WeightVersion version_;
};

/// Parameters of the plan.
struct WeightPlanPolicy
{
  /// Minimum of the limit of concurrent loads; with more loads, each takes
  /// longer.
  std::uint32_t minConcurrentLoads_ = 2;
  /// Upstreams per concurrent load: sets the limit in a larger service until
  /// load durations have been observed.
  std::uint32_t upstreamsPerLoad_ = 5;
  /// Share of a model's replicas that should hold its newest version. The
  /// others may be one version behind, as steps allow, and load every second
  /// version: a load stalls runs for 0.9 s, and the longest text of a step
  /// takes 7 s of 7.5 s.
  double newestShare_ = 0.5;
  /// Maximum mean number of models per upstream. Steps of several trainers
  /// begin together, each as a burst. If a model has only an equal share of the
  /// upstreams, half of its items wait for a slot while other upstreams are
  /// idle. As half of a model's replicas load each version, a value up to 2
  /// costs no more loads than an equal share in which every upstream loads each
  /// version. Three models on eight upstreams: awaited groups complete after
  /// 3.4 s instead of 4.1 s (mean of 360 simulated steps).
  double maxReplicasPerUpstream_ = 1.5;
  /// Maximum slots in a model's replicas for each slot of its largest burst:
  /// half of the replicas may hold a version that is too old for the next step,
  /// and one of three zones may be lost. More replicas would load versions that
  /// no item needs, however large the fleet is.
  double burstHeadroom_ = 3.0;
  /// Window of the largest burst.
  Duration demandWindow_ = std::chrono::seconds(30);
  /// A load takes 0.9 s, and the report of its end lags by 0.2 s.
  Duration loadTime_ = std::chrono::milliseconds(1100);
  /// Target utilization of the concurrent loads. With a higher one, versions
  /// reach their upstreams after the step that needs them (mean value of a
  /// fleet of 35 upstreams and four models 0.678 instead of 0.729).
  double loadUtilization_ = 0.75;
  /// Assumed time between two versions of a model until two have been
  /// announced. It is short, so that a new holder of the duty does not assign
  /// more replicas than it can update.
  Duration initialVersionPeriod_ = std::chrono::seconds(4);
  /// Weight of the newest observation in the smoothed time between versions.
  /// Trainers that catch up announce versions twice as fast for a while; with
  /// 0.3 replicas were added and removed repeatedly (mean value of a fleet of
  /// eight 0.860, with 0.1 0.874).
  double periodSmoothing_ = 0.1;
};

/// Plans loads. Keeps replicas between plans, so that they change as little as
/// possible.
class WeightPlan
{
public:
  explicit WeightPlan(WeightPlanPolicy aPolicy = {});

  /// A trainer announced a version; older ones are ignored.
  void OnVersionAnnounced(const std::string& aModel,
                          WeightVersion aVersion,
                          TimePoint aNow);
  /// Number of slots that items of a model want now. A model without reported
  /// demand gets as many replicas as loads can keep up to date.
  void OnDemand(const std::string& aModel,
                std::uint64_t aSlots,
                TimePoint aNow);
  /// The largest number of slots that items of a model have wanted at once.
  /// Bounds the loads of each version. Unlike `OnDemand` it leaves the replicas
  /// spread over the service, so that loads go to upstreams without runs: it
  /// comes without reports of long runs.
  void OnBurst(const std::string& aModel, std::uint64_t aSlots);
  /// An ordered load has ended.
  void OnLoaded(Duration aTook, TimePoint aNow);
  /// Starts from the limit of concurrent loads that another process has found.
  void RememberLoadLimit(std::uint32_t aLimit) noexcept
  {
    limit_.Remember(aLimit);
  }
  /// The loads of the last plan are being ordered.
  void OnOrdered(TimePoint aNow);
  /// @returns the loads to order now
  [[nodiscard]] std::vector<PlannedLoad> Next(
    const std::vector<PlanUpstream>& aUpstreams);
  /// @returns the maximum number of concurrent loads
  [[nodiscard]] std::uint32_t ConcurrentLoadLimit() const noexcept
  {
    return limit_.Get();
  }
  /// @returns the number of loads in progress after the last plan, including
  /// those it ordered
  [[nodiscard]] std::uint32_t LoadsInProgress() const noexcept { return busy_; }
  /// @returns the first model that an upstream is a replica of; empty if there
  /// is none
  [[nodiscard]] std::string FirstModelAt(const UpstreamId& aUpstream) const;
  /// @returns the number of models that an upstream is a replica of
  [[nodiscard]] std::size_t CountModelsAt(const UpstreamId& aUpstream) const;
  /// @returns how many times the last plan examined an upstream to assign a
  /// model. This measures the work of a plan, which blocks its process.
  [[nodiscard]] std::uint64_t ExaminedCandidates() const noexcept
  {
    return examined_;
  }

private:
  /// An upstream of the service that is planned, with its models.
  struct ServiceUpstream
  {
    const PlanUpstream* upstream_ = nullptr;
    std::set<std::string>* models_ = nullptr;
  };
  using ServiceUpstreams = std::vector<ServiceUpstream>;

  /// Appends the loads of one service.
  void PlanService(const ServiceUpstreams& aService,
                   std::vector<PlannedLoad>& aLoads);
  void AssignReplicas(const ServiceUpstreams& aService);
  /// @returns the number of replicas of each model: as many as loads can keep
  /// up with the announced versions, but no more than its items need
  [[nodiscard]] std::map<std::string, std::size_t> TargetReplicas(
    const ServiceUpstreams& aService,
    const std::vector<std::string>& aModels);
  /// @returns the number of upstreams with this many slots
  [[nodiscard]] static double UpstreamsFor(std::uint64_t aSlots,
                                           const ServiceUpstreams& aService);
  /// @returns the number of upstreams with enough slots for a model's largest
  /// burst; nothing if no demand is known
  [[nodiscard]] std::optional<double> UpstreamsForBurst(
    const ServiceUpstreams& aService,
    const std::string& aModel) const;
  /// @returns the number of a model's replicas that should hold its newest
  /// version
  [[nodiscard]] double NewestWanted(const ServiceUpstreams& aService,
                                    const std::string& aModel,
                                    std::size_t aReplicas) const;
  [[nodiscard]] std::uint32_t ConcurrentLoads(std::size_t aUpstreams);
  /// @param aCount replicas to add
  /// @param aMaxPerUpstream models per upstream above which others are
  /// preferred
  void AddReplicas(const std::string& aModel,
                   std::size_t aCount,
                   std::size_t aMaxPerUpstream,
                   const ServiceUpstreams& aService);
  /// Removes models from upstreams that have more than `aMaxPerUpstream`.
  void TrimReplicas(std::size_t aMaxPerUpstream,
                    const ServiceUpstreams& aService);
  /// @param aCount replicas to remove
  void RemoveReplicas(const std::string& aModel,
                      std::size_t aCount,
                      const ServiceUpstreams& aService);
  /// @returns the number of replicas of each model
  [[nodiscard]] std::map<std::string, std::size_t> CountReplicas(
    const ServiceUpstreams& aService);
  /// @returns the models that upstreams hold, sorted by name
  [[nodiscard]] static std::vector<std::string> ModelNames(
    const ServiceUpstreams& aService);
  [[nodiscard]] std::uint64_t VersionsBehind(const PlanUpstream& aUpstream,
                                             const std::string& aModel) const;

  /// The newest version of a model and the smoothed time between versions.
  struct LatestVersion
  {
    WeightVersion version_;
    TimePoint at_;
    Duration period_{ 0 };
  };

  WeightPlanPolicy policy_;
  std::map<std::string, LatestVersion> latest_;
  std::map<std::string, PeakDemand> demand_;
  /// The largest burst of each model, as of its last demand.
  std::map<std::string, std::uint64_t> peakDemand_;
  /// Bounds of the loads of each version, by model.
  std::map<std::string, std::uint64_t> bursts_;
  /// Models that each upstream is a replica of.
  std::map<UpstreamId, std::set<std::string>> replicas_;
  std::uint64_t examined_ = 0;
  LoadLimit limit_;
  /// Loads in progress after the last plan, including those it ordered.
  std::uint32_t busy_ = 0;
};

} // namespace marjoramtally
