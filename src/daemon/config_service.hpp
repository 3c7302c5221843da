/// Brings accepted rules into force in this process.
#pragma once

#include "daemon/manifest.hpp"
#include "daemon/settings.hpp"
#include "marjoramtally/runtime.hpp"

#include <functional>
#include <memory>

namespace marjoramtally {

/// Reads the accepted configuration and hands on each higher revision.
/// Thread-safe.
class ConfigService
{
public:
  using Listener = std::function<void(std::shared_ptr<const Rules>)>;

  /// All arguments outlive the service.
  /// @param aOnApplied called with rules of ever higher revisions
  ConfigService(const DaemonSettings& aSettings,
                Store& aStore,
                Timers& aTimers,
                Listener aOnApplied);

  void Start();

private:
  void CheckManifest();
  void FetchBlobs(const Manifest& aManifest);
  void ApplyRules(const Manifest& aManifest, std::vector<RulesFile> aFiles);

  const DaemonSettings& settings_;
  Store& store_;
  Timers& timers_;
  Listener onApplied_;
  std::atomic<std::uint64_t> applied_{ 0 };
};

} // namespace marjoramtally
