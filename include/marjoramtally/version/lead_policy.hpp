/// How far generation may lead the trainer. A step opened early names the
/// version at which its trainer will take it; a policy says how much of the
/// step may be generated before that version is announced.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <string_view>
#include <vector>

namespace marjoramtally {

/// What a policy knows of a step when a generation may start.
struct StepVersions
{
  /// Newest version announced.
  WeightVersion newest_;
  /// The version at which the trainer will take the step.
  WeightVersion takeVersion_;
  /// The oldest version that may be delivered then.
  WeightVersion minDeliverable_;
};

/// Decides whether a generation starts and from which version on.
class LeadPolicy
{
public:
  virtual ~LeadPolicy() = default;
  [[nodiscard]] virtual std::string_view Name() const noexcept = 0;
  [[nodiscard]] virtual bool MayStart(
    const StepVersions& aVersions) const noexcept = 0;
  /// @returns the oldest version whose engines may generate it
  [[nodiscard]] virtual WeightVersion MinVersion(
    const StepVersions& aVersions) const noexcept = 0;
};

/// Finds a policy by its name in the rules: `idle` keeps the trainer fed as
/// far as its bound allows; `freshness` leads by one version at most, however
/// wide the bound, and sends only to engines that have the newest version;
/// `strict` does not lead; `unlimited` is a baseline of the bench.
/// @returns null if there is none of that name
[[nodiscard]] const LeadPolicy*
FindLeadPolicy(std::string_view aName) noexcept;

/// @returns the names that the operators' rules may use
[[nodiscard]] std::vector<std::string_view>
LeadPolicyNames();

} // namespace marjoramtally
