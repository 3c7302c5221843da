/// Reads and watches the accepted configuration in the store.
#pragma once

#include "daemon/config_state.hpp"

namespace marjoramtally {

/// Passes manifests and blobs from the store to the state. Thread-safe.
class ConfigWatch
{
public:
  /// All arguments outlive the watch.
  ConfigWatch(Store& aStore, ConfigState& aState, Metrics& aMetrics);

  /// Reads the manifest once.
  void Read();
  /// Opens, reopens or closes the watch as needed; call periodically.
  void Keep(bool aWanted, TimePoint aNow);
  /// @returns the error of the last store call; empty if it succeeded
  [[nodiscard]] std::string LastError() const;

private:
  using Blobs = std::map<std::string, std::string>;

  void Open();
  void OnRead(const Result<StoreRange>& aRead, bool aOpenWatch);
  void OnBatch(const StoreWatchBatch& aBatch);
  void ApplyManifest(const std::string& aText);
  void Fetch(const Manifest& aManifest,
             std::vector<std::string> aMissing,
             std::shared_ptr<Blobs> aBlobs);
  void SetError(std::string aError);

  Store& store_;
  ConfigState& state_;
  Metrics& metrics_;
  mutable std::mutex mutex_;
  std::string lastError_;
  bool opening_ = false;
  bool ended_ = false;
  StoreWatchId watch_ = 0;
  TimePoint retryAt_;
  Duration backoff_{ 0 };
  Random jitter_;
};

} // namespace marjoramtally
