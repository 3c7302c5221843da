/// Which upstream is to load which weight version next.
///
/// Each upstream of a service is home to some of its models, and a new version
/// is loaded only where its model is at home. A model's upstreams change in
/// turn, so that the others go on with the version before, and lie in several
/// zones, so that a cut leaves it some. Homes are spread evenly: upstreams
/// register one after the other, and without that the first one stayed home to
/// all models (18 of 44 loads and 812 of 1,131 refusals of items at one of ten
/// upstreams).
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

/// One upstream as the plan sees it.
struct PlanUpstream
{
  UpstreamId id_;
  ServiceId service_;
  ZoneId zone_;
  /// Version held of each of its models.
  std::map<std::string, WeightVersion> versions_;
  /// An order is under way there, or may be.
  bool busy_ = false;
  /// Long runs in progress there, as far as is known. A load would hold them
  /// up, and a step waits for its longest text.
  std::uint32_t longRuns_ = 0;
  /// Places for items.
  std::uint32_t slots_ = 1;
};

/// One load to be ordered.
struct PlannedLoad
{
  UpstreamId upstream_;
  std::string model_;
  WeightVersion version_;
};

/// Limits of the plan.
struct WeightPlanPolicy
{
  /// Loads at the same time; with more, each takes longer.
  std::uint32_t minConcurrentLoads_ = 2;
  /// In a larger service, one load at once for so many upstreams, as long as
  /// nothing was learned of what loads take.
  std::uint32_t upstreamsPerLoad_ = 5;
  /// Share of a model's upstreams that are to hold its newest version. The
  /// others may be one behind, as steps allow, and load every second version:
  /// a load holds runs up for 0.9 s, and the longest text of a step takes
  /// 7 s of 7.5 s.
  double newestShare_ = 0.5;
  /// Most models at home at an upstream, in the mean. Steps of several
  /// trainers begin together and each is a burst, so a model that has only its
  /// share of the upstreams lets half of its items wait for a place while
  /// others idle. With half of a model's homes loading each version, up to 2
  /// cost no more loads than one load a version and upstream of an equal
  /// share. Three models on eight upstreams: awaited groups whole after 3.4 s,
  /// not 4.1 s (mean of 360 played steps).
  double maxReplicasPerUpstream_ = 1.5;
  /// Most homes of a model, in places for each place of its largest burst: half
  /// of them may be a version too old for the next step, and a zone of three
  /// may be lost. More would be loaded for nobody, however large the fleet is.
  double burstHeadroom_ = 3.0;
  /// The largest burst of this time counts.
  Duration demandWindow_ = std::chrono::seconds(30);
  /// A load takes 0.9 s, and the report that tells of its end lags by 0.2 s.
  Duration loadTime_ = std::chrono::milliseconds(1100);
  /// Share of the time in which as many loads as may be are under way: with
  /// more, versions reach their upstreams after the step that needs them (mean
  /// worth of a fleet of 35 upstreams and four models 0.678, so 0.729).
  double loadUtilization_ = 0.75;
  /// Time between two versions of a model before two were seen: short, so that
  /// a new holder takes on no more homes than it can keep up with.
  Duration initialVersionPeriod_ = std::chrono::seconds(4);
  /// Weight of the newest observation in the smoothed time. Trainers that catch
  /// up name versions twice as fast for a while; with 0.3 homes came and went
  /// (mean worth of a fleet of eight 0.860, with 0.1 0.874).
  double periodSmoothing_ = 0.1;
};

/// The plan. Remembers homes, so that they change as little as may be.
class WeightPlan
{
public:
  explicit WeightPlan(WeightPlanPolicy aPolicy = {});

  /// A trainer named a version; older ones are ignored.
  void OnVersionAnnounced(const std::string& aModel,
                          WeightVersion aVersion,
                          TimePoint aNow);
  /// Places that items of a model want now. A model of which nothing was told
  /// is given as many homes as loads can keep up with.
  void OnDemand(const std::string& aModel,
                std::uint64_t aSlots,
                TimePoint aNow);
  /// A load that was ordered has ended.
  void OnLoaded(Duration aTook, TimePoint aNow);
  /// The loads of the last plan are being ordered.
  void OnOrdered(TimePoint aNow);
  /// @returns loads to order now
  [[nodiscard]] std::vector<PlannedLoad> Next(
    const std::vector<PlanUpstream>& aUpstreams);
  /// @returns how many loads may be under way
  [[nodiscard]] std::uint32_t ConcurrentLoadLimit() const noexcept
  {
    return limit_.Get();
  }
  /// @returns how many were when the last plan was made, with those it ordered
  [[nodiscard]] std::uint32_t LoadsInProgress() const noexcept { return busy_; }
  /// @returns the first model whose home an upstream is; empty if it has none
  [[nodiscard]] std::string FirstModelAt(const UpstreamId& aUpstream) const;
  /// @returns to how many models an upstream is home
  [[nodiscard]] std::size_t CountModelsAt(const UpstreamId& aUpstream) const;
  /// @returns how often the last plan looked at an upstream to assign a model:
  /// the work of a plan, during which its process does nothing else
  [[nodiscard]] std::uint64_t ExaminedCandidates() const noexcept
  {
    return examined_;
  }

private:
  /// An upstream of the service that is planned, with its homes.
  struct Member
  {
    const PlanUpstream* upstream_ = nullptr;
    std::set<std::string>* models_ = nullptr;
  };
  using Members = std::vector<Member>;

  /// Adds the loads of one service.
  void PlanService(const Members& aMembers, std::vector<PlannedLoad>& aLoads);
  void AssignReplicas(const Members& aMembers);
  /// @returns how many upstreams are to be each model's home: as many as can
  /// be kept up with the versions that are named, and no more than its items
  /// have use for
  [[nodiscard]] std::map<std::string, std::size_t> TargetReplicas(
    const Members& aMembers,
    const std::vector<std::string>& aModels);
  /// @returns upstreams that hold the places of a model's largest burst;
  /// nothing if no demand is known
  [[nodiscard]] std::optional<double> UpstreamsForBurst(
    const Members& aMembers,
    const std::string& aModel) const;
  [[nodiscard]] std::uint32_t ConcurrentLoads(std::size_t aUpstreams);
  /// @param aCount homes to add
  /// @param aMost models at home at one upstream while others have fewer
  void AddReplicas(const std::string& aModel,
                   std::size_t aCount,
                   std::size_t aMaxPerUpstream,
                   const Members& aMembers);
  /// Takes homes from upstreams that are home to more models than the others
  /// need to be.
  void TrimReplicas(std::size_t aMaxPerUpstream, const Members& aMembers);
  /// @param aCount homes to remove
  void RemoveReplicas(const std::string& aModel,
                      std::size_t aCount,
                      const Members& aMembers);
  /// @returns homes of each model
  [[nodiscard]] std::map<std::string, std::size_t> CountReplicas(
    const Members& aMembers);
  /// @returns the models that upstreams hold, in the order of their names
  [[nodiscard]] static std::vector<std::string> ModelNames(
    const Members& aMembers);
  [[nodiscard]] std::uint64_t VersionsBehind(const PlanUpstream& aUpstream,
                                             const std::string& aModel) const;

  /// The newest version of a model, and how often one is named.
  struct LatestVersion
  {
    WeightVersion version_;
    TimePoint at_;
    Duration period_{ 0 };
  };

  WeightPlanPolicy policy_;
  std::map<std::string, LatestVersion> latest_;
  std::map<std::string, PeakDemand> demand_;
  /// The largest burst of each model as of its last demand.
  std::map<std::string, std::uint64_t> peakDemand_;
  /// Models at home at an upstream.
  std::map<UpstreamId, std::set<std::string>> replicas_;
  std::uint64_t examined_ = 0;
  LoadLimit limit_;
  /// Loads under way when the last plan was made, with those it ordered.
  std::uint32_t busy_ = 0;
};

} // namespace marjoramtally
