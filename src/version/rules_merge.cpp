#include "marjoramtally/version/rules.hpp"

#include <algorithm>
#include <tuple>

namespace marjoramtally {

Checked<IniDocument>
MergeRulesFiles(std::vector<RulesFile> aFiles)
{
  std::sort(aFiles.begin(), aFiles.end());
  IniDocument merged;
  Findings findings;
  for (const RulesFile& file : aFiles) {
    const auto parsed = ParseIni(file.name_, file.text_);
    if (!parsed) {
      findings.Append(parsed.error());
      continue;
    }
    for (const auto& [name, section] : parsed.value()) {
      for (const auto& [key, value] : section) {
        merged[name].insert_or_assign(key, value);
      }
    }
  }
  if (!findings.empty()) {
    return findings;
  }
  return merged;
}

std::vector<KeyOrigin>
ExplainKey(std::vector<RulesFile> aFiles, std::string_view aKey)
{
  std::sort(aFiles.begin(), aFiles.end());
  std::vector<KeyOrigin> origins;
  for (const RulesFile& file : aFiles) {
    const auto parsed = ParseIni(file.name_, file.text_);
    if (!parsed) {
      continue;
    }
    for (const auto& [section, keys] : parsed.value()) {
      for (const auto& [key, value] : keys) {
        if (aKey == key || aKey == section + "." + key) {
          origins.push_back({ section, key, value });
        }
      }
    }
  }
  std::stable_sort(origins.begin(),
                   origins.end(),
                   [](const KeyOrigin& aOne, const KeyOrigin& aTwo) {
                     return std::tie(aOne.section_, aOne.key_) <
                            std::tie(aTwo.section_, aTwo.key_);
                   });
  return origins;
}

} // namespace marjoramtally
