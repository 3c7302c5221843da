/// What configuration is in force in this process, with its contents.
#pragma once

#include "daemon/manifest.hpp"
#include "marjoramtally/runtime.hpp"

#include <functional>
#include <memory>
#include <mutex>

namespace marjoramtally {

/// What operators see of it.
struct ConfigStatus
{
  Manifest inForce_;
  /// What keeps a newer revision from being applied; empty for nothing.
  std::string problem_;
  /// Set while the store shows less than it had accepted.
  bool storeReverted_ = false;
};

/// Applies ever higher revisions and keeps the last on disk, if there is
/// one. Thread-safe.
class ConfigState
{
public:
  using Listener = std::function<void(std::shared_ptr<const Rules>)>;

  /// @param aFile where the last applied revision is kept; empty: nowhere
  /// @param aOnApplied called with rules of ever higher revisions
  ConfigState(std::string aFile, Metrics& aMetrics, Listener aOnApplied);

  /// Applies what the file holds.
  void LoadFile();
  /// Judges a manifest; one that goes back is logged and counted.
  ManifestVerdict Judge(const Manifest& aManifest, ManifestSource aSource);
  /// @returns hashes of the manifest's contents that are not known here
  [[nodiscard]] std::vector<std::string> Missing(
    const Manifest& aManifest) const;
  /// Puts a manifest in force if it is higher and its rules are sound.
  /// @param aBlobs contents by hash that were missing
  void Apply(const Manifest& aManifest,
             const std::map<std::string, std::string>& aBlobs,
             ManifestSource aSource);
  /// Notes why nothing newer can be applied.
  void SetProblem(std::string aProblem);

  [[nodiscard]] ConfigContent Content() const;
  [[nodiscard]] ConfigRevision Revision() const;
  [[nodiscard]] ConfigStatus Status() const;

private:
  [[nodiscard]] ConfigContent Combine(
    const Manifest& aManifest,
    const std::map<std::string, std::string>& aBlobs) const;
  bool PutInForce(const ConfigContent& aContent);
  void Save();

  const std::string file_;
  Metrics& metrics_;
  const Listener onApplied_;
  mutable std::mutex mutex_;
  AppliedConfig applied_;
  std::map<std::string, std::string> blobs_;
  std::string problem_;
  /// The manifest last reported as going back.
  std::optional<Manifest> reverted_;
  /// Held while the file is written, so that a lower revision never
  /// replaces a higher one there.
  std::mutex fileMutex_;
};

} // namespace marjoramtally
