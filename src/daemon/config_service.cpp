#include "daemon/config_service.hpp"

namespace marjoramtally {

ConfigService::ConfigService(const DaemonSettings& aSettings,
                             Store& aStore,
                             Timers& aTimers,
                             Listener aOnApplied)
  : settings_(aSettings)
  , store_(aStore)
  , timers_(aTimers)
  , onApplied_(std::move(aOnApplied))
{
}

void
ConfigService::Start()
{
  CheckManifest();
  timers_.Every(settings_.refresh_, [this] { CheckManifest(); });
}

void
ConfigService::CheckManifest()
{
  store_.Read(std::string(kManifestKey),
              [this](const Result<StoreRange>& aRead) {
                if (!aRead || aRead.value().records_.empty()) {
                  return;
                }
                const auto manifest =
                  ParseManifest(aRead.value().records_.front().value_);
                if (!manifest) {
                  LogEvent(LogLevel::Error,
                           "manifest_unreadable",
                           { { "error", manifest.error().message_ } });
                  return;
                }
                if (manifest.value().revision_.Get() > applied_) {
                  FetchBlobs(manifest.value());
                }
              });
}

void
ConfigService::FetchBlobs(const Manifest& aManifest)
{
  store_.Read(
    std::string(kBlobPrefix),
    [this, aManifest](const Result<StoreRange>& aRead) {
      if (!aRead) {
        return;
      }
      std::map<std::string, std::string> blobs;
      for (const StoreRecord& record : aRead.value().records_) {
        blobs[record.key_.substr(kBlobPrefix.size())] = record.value_;
      }
      std::vector<RulesFile> files;
      for (const ManifestFile& file : aManifest.files_) {
        const auto blob = blobs.find(file.hash_);
        if (blob == blobs.end()) {
          LogEvent(LogLevel::Error, "blob_missing", { { "file", file.name_ } });
          return;
        }
        files.push_back({ file.name_, blob->second });
      }
      ApplyRules(aManifest, std::move(files));
    });
}

void
ConfigService::ApplyRules(const Manifest& aManifest,
                          std::vector<RulesFile> aFiles)
{
  const auto merged = MergeRulesFiles(std::move(aFiles));
  auto built =
    merged ? BuildRules(merged.value()) : Checked<Rules>(merged.error());
  if (!built) {
    LogEvent(LogLevel::Error,
             "rules_rejected",
             { { "findings", built.error().Render() } });
    return;
  }
  auto rules = std::make_shared<Rules>(std::move(built).value());
  rules->revision_ = aManifest.revision_;
  const std::uint64_t revision = aManifest.revision_.Get();
  std::uint64_t before = applied_;
  while (before < revision &&
         !applied_.compare_exchange_weak(before, revision)) {
  }
  if (before >= revision) {
    return;
  }
  LogEvent(LogLevel::Info,
           "rules_applied",
           { { "revision", std::to_string(revision) } });
  onApplied_(std::move(rules));
}

} // namespace marjoramtally
