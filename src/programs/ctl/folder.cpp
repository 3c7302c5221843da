#include "programs/ctl/folder.hpp"

#include "marjoramtally/runtime/program.hpp"

#include <algorithm>
#include <iostream>

namespace marjoramtally {

namespace {

/// File in the rules folder that holds the manifest the folder is based on.
constexpr std::string_view kBaseFile = "/.accepted.json";

} // namespace

Checked<std::vector<RulesFile>>
ReadFolder(const std::string& aFolder)
{
  std::vector<RulesFile> files;
  Findings findings;
  std::error_code failure;
  std::filesystem::directory_iterator entries(aFolder, failure);
  if (failure) {
    findings.Add(SourcePlace{ aFolder, 0 }, "cannot read this folder");
    return findings;
  }
  for (const auto& entry : entries) {
    if (entry.path().extension() != ".ini") {
      continue;
    }
    auto text = ReadFile(entry.path());
    if (!text) {
      findings.Add(SourcePlace{ entry.path().string(), 0 },
                   text.error().message_);
      continue;
    }
    files.push_back(
      { entry.path().filename().string(), std::move(text).value() });
  }
  if (!findings.empty()) {
    return findings;
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::optional<std::vector<RulesFile>>
LoadChecked(const std::string& aFolder)
{
  auto files = ReadFolder(aFolder);
  if (!files) {
    std::cerr << files.error().Render();
    return std::nullopt;
  }
  const auto merged = MergeRulesFiles(files.value());
  const auto rules =
    merged ? BuildRules(merged.value()) : Checked<Rules>(merged.error());
  if (!rules) {
    std::cerr << rules.error().Render();
    return std::nullopt;
  }
  return std::move(files).value();
}

std::optional<Manifest>
ReadBase(const std::string& aFolder)
{
  const auto text = ReadFile(aFolder + std::string(kBaseFile));
  if (!text) {
    return std::nullopt;
  }
  auto base = ParseManifest(text.value());
  if (!base) {
    std::cerr << "marjoramctl: " << aFolder << kBaseFile << ": "
              << base.error().message_ << '\n';
    return std::nullopt;
  }
  return std::move(base).value();
}

Result<bool>
WriteBase(const std::string& aFolder, const Manifest& aBase)
{
  return WriteFile(aFolder + std::string(kBaseFile), FormatManifest(aBase));
}

Manifest
ManifestOf(const std::vector<RulesFile>& aFiles)
{
  Manifest manifest;
  for (const RulesFile& file : aFiles) {
    manifest.files_.push_back({ file.name_, ContentHash(file.text_) });
  }
  return manifest;
}

} // namespace marjoramtally
