/// The configuration in force in this process, with its contents.
#pragma once

#include "daemon/manifest.hpp"
#include "marjoramtally/runtime.hpp"

#include <functional>
#include <memory>
#include <mutex>

namespace marjoramtally {

/// Configuration state as shown to operators.
struct ConfigStatus
{
  Manifest inForce_;
  /// Why a newer revision cannot be applied; empty if there is no problem.
  std::string problem_;
  /// Set while the store holds an older or different state than it had
  /// accepted before.
  bool storeReverted_ = false;
};

/// Applies revisions in ascending order and saves the last one to disk if a
/// file is set. Thread-safe.
class ConfigState
{
public:
  using Listener = std::function<void(std::shared_ptr<const Rules>)>;

  /// @param aFile stores the last applied revision; empty disables saving
  /// @param aOnApplied called with the rules of each applied revision
  ConfigState(std::string aFile, Metrics& aMetrics, Listener aOnApplied);

  /// Applies the revision saved in the file.
  void LoadFile();
  /// Classifies a manifest; a reverted one is logged and counted.
  ManifestVerdict Judge(const Manifest& aManifest, ManifestSource aSource);
  /// @returns the hashes of the manifest's blobs that are not known locally
  [[nodiscard]] std::vector<std::string> Missing(
    const Manifest& aManifest) const;
  /// Puts a manifest in force if its revision is higher and its rules are
  /// valid.
  /// @param aBlobs the missing blobs by hash
  void Apply(const Manifest& aManifest,
             const std::map<std::string, std::string>& aBlobs,
             ManifestSource aSource);
  /// Sets the reason why a newer revision cannot be applied.
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
  /// The last manifest that was reported as reverted.
  std::optional<Manifest> reverted_;
  /// Serializes writes of the file, so that a lower revision never overwrites
  /// a higher one.
  std::mutex fileMutex_;
};

} // namespace marjoramtally
