#include "version/rules_impl.hpp"

#include "marjoramtally/version/lead_policy.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Checks that a trainer's lead policy exists.
void
CheckPolicy(const IniDocument& aMerged,
            const TrainerRule& aRule,
            Findings& aOut)
{
  const auto names = LeadPolicyNames();
  if (std::find(names.begin(), names.end(), aRule.policy_) != names.end()) {
    return;
  }
  std::string known;
  for (const std::string_view name : names) {
    known += (known.empty() ? "" : ", ") + std::string(name);
  }
  const std::string section = "trainer " + aRule.id_.Get();
  aOut.Add(aMerged.at(section).at("policy").place_,
           "[" + section + "] policy = '" + aRule.policy_ +
             "': must be one of " + known);
}

} // namespace

namespace impl {

/// Reports an invalid token hash without printing it, since it may be the token
/// itself.
void
CheckTokenHash(const IniDocument& aMerged,
               const std::string& aSection,
               const std::string& aHash,
               Findings& aOut)
{
  constexpr std::size_t kHashDigits = 64;
  const bool isHash =
    aHash.size() == kHashDigits &&
    aHash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!aHash.empty() && !isHash) {
    aOut.Add(aMerged.at(aSection).at("token-sha256").place_,
             "[" + aSection +
               "] token-sha256 is not 64 lower-case hexadecimal digits");
  }
}

void
CheckReferences(const IniDocument& aMerged, const Rules& aRules, Findings& aOut)
{
  const auto check = [&](const std::string& aSection,
                         const std::string& aService) {
    const auto section = aMerged.find(aSection);
    const auto key = section->second.find("service");
    const bool given = key != section->second.end();
    if (given && !aRules.services_.contains(ServiceId{ aService })) {
      aOut.Add(key->second.place_,
               "[" + aSection + "] service = '" + aService +
                 "': there is no [service " + aService + "]");
    }
  };
  for (const auto& [id, rule] : aRules.upstreams_) {
    check("upstream " + id.Get(), rule.service_);
  }
  for (const auto& [id, rule] : aRules.trainers_) {
    check("trainer " + id.Get(), rule.service_);
    CheckPolicy(aMerged, rule, aOut);
    CheckTokenHash(aMerged, "trainer " + id.Get(), rule.tokenHash_, aOut);
  }
  for (const auto& [id, rule] : aRules.operators_) {
    CheckTokenHash(aMerged, "operator " + id.Get(), rule.tokenHash_, aOut);
  }
  for (const auto& [id, rule] : aRules.services_) {
    if (rule.kind_ != "engine" && rule.kind_ != "plain") {
      const IniSection& section = aMerged.at("service " + id.Get());
      aOut.Add(section.at("kind").place_,
               "[service " + id.Get() + "] kind = '" + rule.kind_ +
                 "': must be engine or plain");
    }
  }
}

} // namespace impl

Checked<Rules>
BuildRules(const IniDocument& aMerged)
{
  Rules rules;
  Findings findings;
  for (const auto& [name, section] : aMerged) {
    impl::ReadSection(name, section, rules, findings);
  }
  impl::CheckReferences(aMerged, rules, findings);
  if (!findings.empty()) {
    return findings;
  }
  return rules;
}

} // namespace marjoramtally
