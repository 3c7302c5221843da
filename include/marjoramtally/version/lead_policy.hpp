/// Policies for how far generation may run ahead of the trainer. A step opened
/// early states the weight version at which its trainer will take it; a policy
/// decides how much of the step may be generated before that version is
/// announced.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <string_view>
#include <vector>

namespace marjoramtally {

/// The weight versions that decide whether a generation of a step may start.
struct StepVersions
{
  /// Newest announced version.
  WeightVersion newest_;
  /// Version at which the trainer will take the step.
  WeightVersion takeVersion_;
  /// Oldest version that may be delivered at that time.
  WeightVersion minDeliverable_;
};

/// Decides whether a generation may start and on which versions.
class LeadPolicy
{
public:
  virtual ~LeadPolicy() = default;
  [[nodiscard]] virtual std::string_view Name() const noexcept = 0;
  [[nodiscard]] virtual bool MayStart(
    const StepVersions& aVersions) const noexcept = 0;
  /// @returns the oldest version on which the sample may be generated
  [[nodiscard]] virtual WeightVersion MinVersion(
    const StepVersions& aVersions) const noexcept = 0;
};

/// Finds a policy by its name in the rules. `idle` minimizes the trainer's idle
/// time: it runs ahead as far as the staleness bound allows. `freshness` runs
/// ahead by at most one version, whatever the bound, and uses only engines with
/// the newest version. `strict` does not run ahead. `unlimited` is a baseline
/// for benchmarks.
/// @returns null if no policy has that name
[[nodiscard]] const LeadPolicy*
FindLeadPolicy(std::string_view aName) noexcept;

/// @returns the policy names that are valid in rules
[[nodiscard]] std::vector<std::string_view>
LeadPolicyNames();

} // namespace marjoramtally
