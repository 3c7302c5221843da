#include "daemon/config_state.hpp"

#include "marjoramtally/runtime/program.hpp"

namespace marjoramtally {

namespace {

std::string_view
ToString(ManifestSource aSource)
{
  switch (aSource) {
    case ManifestSource::Store:
      return "store";
    case ManifestSource::Peer:
      return "peer";
    case ManifestSource::Disk:
      return "disk";
  }
  return "unknown";
}

Checked<Rules>
BuildContent(const ConfigContent& aContent)
{
  auto files = CollectFiles(aContent);
  if (!files) {
    Findings findings;
    findings.Add(SourcePlace{ "manifest", 0 }, files.error().message_);
    return findings;
  }
  const auto merged = MergeRulesFiles(std::move(files).value());
  return merged ? BuildRules(merged.value()) : Checked<Rules>(merged.error());
}

} // namespace

ConfigState::ConfigState(std::string aFile,
                         Metrics& aMetrics,
                         Listener aOnApplied)
  : file_(std::move(aFile))
  , metrics_(aMetrics)
  , onApplied_(std::move(aOnApplied))
{
}

void
ConfigState::LoadFile()
{
  std::error_code failure;
  if (file_.empty() || !std::filesystem::exists(file_, failure)) {
    return;
  }
  const auto text = ReadFile(file_);
  const auto content =
    text ? ParseContent(text.value()) : Result<ConfigContent>(text.error());
  if (!content) {
    LogEvent(LogLevel::Error,
             "config_file_unreadable",
             { { "file", file_ }, { "error", content.error().message_ } });
    return;
  }
  Apply(
    content.value().manifest_, content.value().blobs_, ManifestSource::Disk);
}

ManifestVerdict
ConfigState::Judge(const Manifest& aManifest, ManifestSource aSource)
{
  const std::lock_guard lock(mutex_);
  const ManifestVerdict verdict = applied_.Judge(aManifest, aSource);
  if (verdict != ManifestVerdict::Reverted) {
    if (aSource == ManifestSource::Store) {
      reverted_.reset();
    }
    return verdict;
  }
  if (reverted_ != aManifest) {
    reverted_ = aManifest;
    metrics_.Count("config_reverted_seen_total");
    LogEvent(
      LogLevel::Error,
      "config_reverted",
      { { "source", std::string(ToString(aSource)) },
        { "seen", std::to_string(aManifest.revision_.Get()) },
        { "seen_edit", aManifest.edit_ },
        { "in_force", std::to_string(applied_.InForce().revision_.Get()) },
        { "in_force_edit", applied_.InForce().edit_ },
        { "action", "not applied; see marjoramctl restore" } });
  }
  return verdict;
}

std::vector<std::string>
ConfigState::Missing(const Manifest& aManifest) const
{
  const std::lock_guard lock(mutex_);
  std::vector<std::string> missing;
  for (const ManifestFile& file : aManifest.files_) {
    if (!blobs_.contains(file.hash_)) {
      missing.push_back(file.hash_);
    }
  }
  return missing;
}

ConfigContent
ConfigState::Combine(const Manifest& aManifest,
                     const std::map<std::string, std::string>& aBlobs) const
{
  const std::lock_guard lock(mutex_);
  ConfigContent content;
  content.manifest_ = aManifest;
  for (const ManifestFile& file : aManifest.files_) {
    const auto fresh = aBlobs.find(file.hash_);
    const auto known = blobs_.find(file.hash_);
    if (fresh != aBlobs.end()) {
      content.blobs_.insert(*fresh);
    } else if (known != blobs_.end()) {
      content.blobs_.insert(*known);
    }
  }
  return content;
}

void
ConfigState::Apply(const Manifest& aManifest,
                   const std::map<std::string, std::string>& aBlobs,
                   ManifestSource aSource)
{
  const std::string revision = std::to_string(aManifest.revision_.Get());
  const ConfigContent content = Combine(aManifest, aBlobs);
  auto built = BuildContent(content);
  if (!built) {
    const std::string findings = built.error().Render();
    LogEvent(LogLevel::Error,
             "rules_rejected",
             { { "revision", revision }, { "findings", findings } });
    SetProblem("revision " + revision + " cannot be applied here: " + findings);
    return;
  }
  if (!PutInForce(content)) {
    return;
  }
  auto rules = std::make_shared<Rules>(std::move(built).value());
  rules->revision_ = aManifest.revision_;
  metrics_.Set("config_revision",
               static_cast<double>(aManifest.revision_.Get()));
  LogEvent(LogLevel::Info,
           "rules_applied",
           { { "revision", revision },
             { "edit", aManifest.edit_ },
             { "source", std::string(ToString(aSource)) } });
  Save();
  onApplied_(std::move(rules));
}

bool
ConfigState::PutInForce(const ConfigContent& aContent)
{
  const std::lock_guard lock(mutex_);
  if (!applied_.Apply(aContent.manifest_)) {
    return false;
  }
  blobs_ = aContent.blobs_;
  problem_.clear();
  return true;
}

void
ConfigState::Save()
{
  if (file_.empty()) {
    return;
  }
  const std::lock_guard lock(fileMutex_);
  const auto written = WriteFile(file_, FormatContent(Content()));
  if (!written) {
    LogEvent(LogLevel::Error,
             "config_file_unwritable",
             { { "file", file_ }, { "error", written.error().message_ } });
  }
}

void
ConfigState::SetProblem(std::string aProblem)
{
  const std::lock_guard lock(mutex_);
  problem_ = std::move(aProblem);
}

ConfigContent
ConfigState::Content() const
{
  const std::lock_guard lock(mutex_);
  return { applied_.InForce(), blobs_ };
}

ConfigRevision
ConfigState::Revision() const
{
  const std::lock_guard lock(mutex_);
  return applied_.InForce().revision_;
}

ConfigStatus
ConfigState::Status() const
{
  const std::lock_guard lock(mutex_);
  return { applied_.InForce(), problem_, reverted_.has_value() };
}

} // namespace marjoramtally
