/// Arbitrary texts of rules files yield rules, or findings with file and line;
/// an accepted file stays parsable after a key is assigned in it.

#include "marjoramtally/version.hpp"

#include <cstdlib>

namespace {

using namespace marjoramtally;

constexpr char kFileEnd = '\x1e';

std::vector<RulesFile>
SplitFiles(std::string_view aBytes)
{
  std::vector<RulesFile> files;
  while (!aBytes.empty()) {
    const std::size_t end = std::min(aBytes.find(kFileEnd), aBytes.size());
    files.push_back({ std::to_string(files.size()) + ".ini",
                      std::string(aBytes.substr(0, end)) });
    aBytes.remove_prefix(std::min(end + 1, aBytes.size()));
  }
  return files;
}

void
CheckPlaces(const Findings& aFindings)
{
  for (const Finding& finding : aFindings.Items()) {
    if (finding.place_.file_.empty() || finding.place_.line_ == 0) {
      std::abort();
    }
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const std::vector<RulesFile> files = SplitFiles(bytes);
  const auto merged = MergeRulesFiles(files);
  if (!merged) {
    CheckPlaces(merged.error());
    return 0;
  }
  const auto rules = BuildRules(merged.value());
  if (!rules) {
    CheckPlaces(rules.error());
  }
  for (const RulesFile& file : files) {
    const std::string text =
      AssignKey(file.text_, { "trainer t", "weight", "2" });
    if (!ParseIni(file.name_, text)) {
      std::abort();
    }
  }
  return 0;
}
