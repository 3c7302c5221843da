/// Which upstream is to load which weight version next.
///
/// Upstreams of a service are shared out among its models, and a new version
/// is loaded only where its model is at home: each trainer's new version then
/// costs one load for each upstream of its share. A model's upstreams change
/// in turn, so that the others go on with the version before.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramtally {

/// One upstream as the plan sees it.
struct PlanUpstream
{
  UpstreamId id_;
  ServiceId service_;
  /// Version held of each of its models.
  std::map<std::string, WeightVersion> versions_;
  /// An order is under way there, or may be.
  bool busy_ = false;
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
  std::uint32_t atOnce_ = 2;
  /// In a larger service, one load at once for so many upstreams: the weight
  /// stores of all sites that we know bear a fifth of their samplers.
  std::uint32_t upstreamsOfLoad_ = 5;
  /// Share of a model's upstreams that are to hold its newest version. The
  /// others may be one behind, as steps allow, and load every second version:
  /// a load holds runs up for 0.9 s, and the longest text of a step takes
  /// 7 s of 7.5 s.
  double newestShare_ = 0.5;
};

/// The plan. Remembers homes, so that they change as little as may be.
class WeightPlan
{
public:
  explicit WeightPlan(WeightPlanPolicy aPolicy = {});

  /// A trainer named a version; older ones are ignored.
  void OnNamed(const std::string& aModel, WeightVersion aVersion);
  /// @returns loads to order now
  [[nodiscard]] std::vector<PlannedLoad> Next(
    const std::vector<PlanUpstream>& aUpstreams);
  /// @returns the model whose home an upstream is; empty if it has none
  [[nodiscard]] std::string HomeOf(const UpstreamId& aUpstream) const;

private:
  using Upstreams = std::vector<const PlanUpstream*>;

  void AssignHomes(const Upstreams& aService);
  void GiveHome(const PlanUpstream& aUpstream,
                const std::vector<std::string>& aModels,
                std::size_t aShare);
  void Balance(const Upstreams& aService,
               const std::vector<std::string>& aModels);
  [[nodiscard]] std::size_t CountHomes(const std::string& aModel,
                                       const Upstreams& aService) const;
  [[nodiscard]] std::uint64_t Gap(const PlanUpstream& aUpstream,
                                  const std::string& aModel) const;

  WeightPlanPolicy policy_;
  std::map<std::string, WeightVersion> named_;
  /// Models at home at an upstream; several only where there are fewer
  /// upstreams than models.
  std::map<UpstreamId, std::set<std::string>> homes_;
};

} // namespace marjoramtally
