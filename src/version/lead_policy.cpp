#include "marjoramtally/version/lead_policy.hpp"

#include <algorithm>
#include <array>

namespace marjoramtally {

namespace {

/// Versions by which `freshness` may run ahead of the newest announced one.
constexpr std::uint64_t kMaxFreshnessLead = 1;

/// Starts every sample that can still be within the staleness bound when it is
/// taken.
class IdlePolicy final : public LeadPolicy
{
public:
  [[nodiscard]] std::string_view Name() const noexcept override
  {
    return "idle";
  }
  [[nodiscard]] bool MayStart(
    const StepVersions& aVersions) const noexcept override
  {
    return aVersions.minDeliverable_ <= aVersions.newest_;
  }
  [[nodiscard]] WeightVersion MinVersion(
    const StepVersions& aVersions) const noexcept override
  {
    return aVersions.minDeliverable_;
  }
};

/// Runs ahead by at most one version, whatever the bound, and generates on the
/// newest version only.
class FreshnessPolicy final : public LeadPolicy
{
public:
  [[nodiscard]] std::string_view Name() const noexcept override
  {
    return "freshness";
  }
  [[nodiscard]] bool MayStart(
    const StepVersions& aVersions) const noexcept override
  {
    return aVersions.minDeliverable_ <= aVersions.newest_ &&
           aVersions.takeVersion_.Get() <=
             aVersions.newest_.Get() + kMaxFreshnessLead;
  }
  [[nodiscard]] WeightVersion MinVersion(
    const StepVersions& aVersions) const noexcept override
  {
    return std::max(aVersions.minDeliverable_,
                    std::min(aVersions.newest_, aVersions.takeVersion_));
  }
};

/// Generates each step only on the version at which it is taken.
class StrictPolicy final : public LeadPolicy
{
public:
  [[nodiscard]] std::string_view Name() const noexcept override
  {
    return "strict";
  }
  [[nodiscard]] bool MayStart(
    const StepVersions& aVersions) const noexcept override
  {
    return aVersions.takeVersion_ <= aVersions.newest_;
  }
  [[nodiscard]] WeightVersion MinVersion(
    const StepVersions& aVersions) const noexcept override
  {
    return aVersions.takeVersion_;
  }
};

/// Starts every sample of open steps, regardless of staleness.
class UnlimitedPolicy final : public LeadPolicy
{
public:
  [[nodiscard]] std::string_view Name() const noexcept override
  {
    return "unlimited";
  }
  [[nodiscard]] bool MayStart(
    const StepVersions& /*aVersions*/) const noexcept override
  {
    return true;
  }
  [[nodiscard]] WeightVersion MinVersion(
    const StepVersions& /*aVersions*/) const noexcept override
  {
    return WeightVersion{ 0 };
  }
};

const IdlePolicy kIdle;
const FreshnessPolicy kFreshness;
const StrictPolicy kStrict;
const UnlimitedPolicy kUnlimited;

const std::array<const LeadPolicy*, 4> kPolicies{ &kIdle,
                                                  &kFreshness,
                                                  &kStrict,
                                                  &kUnlimited };

} // namespace

const LeadPolicy*
FindLeadPolicy(std::string_view aName) noexcept
{
  for (const LeadPolicy* policy : kPolicies) {
    if (policy->Name() == aName) {
      return policy;
    }
  }
  return nullptr;
}

std::vector<std::string_view>
LeadPolicyNames()
{
  return { kIdle.Name(), kFreshness.Name(), kStrict.Name() };
}

} // namespace marjoramtally
