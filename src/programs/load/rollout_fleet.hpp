/// A rollout over many fake engines on a paused clock: owners with the real
/// decision library, a weight store with a rate, a platform store that grants
/// permits.
#pragma once

#include "marjoramtally/process/rollout.hpp"
#include "programs/load/event_loop.hpp"

#include <deque>

namespace marjoramtally::bench {

/// One way to roll out.
struct RolloutPlan
{
  std::string name_;
  std::uint64_t samplers_ = 1600;
  /// Processes that could own samplers.
  std::uint64_t controls_ = 440;
  /// Percent of samplers that keep answering; 0 switches all at once.
  std::uint64_t floor_ = 90;
  std::uint64_t wave_ = 0;
  /// Loads a second of the weight store; it refuses more.
  double storeRate_ = 80.0;
  /// Owners keep to the rate; otherwise they load as they like.
  bool paced_ = true;
  /// Samplers go on answering while they load.
  bool loadsAhead_ = true;
  /// Permits are reserved in a record of the platform's store.
  bool usesPermitRecord_ = false;
  std::uint64_t parallelLoads_ = 1'000'000;
  double failedSwaps_ = 0.02;
  Duration loadTime_ = std::chrono::seconds(4);
  Duration switchTime_ = std::chrono::milliseconds(500);
  Duration step_ = std::chrono::milliseconds(20);
  Duration limit_ = std::chrono::seconds(120);
  std::uint64_t seed_ = 1;
};

/// What came of it.
struct RolloutOutcome
{
  std::uint64_t owners_ = 0;
  std::uint64_t slots_ = 0;
  /// Time until the last sampler had the version; the limit if never.
  double seconds_ = 0.0;
  std::uint64_t done_ = 0;
  std::uint64_t minAnswering_ = 0;
  std::uint64_t loads_ = 0;
  std::uint64_t refusedLoads_ = 0;
  /// Most loads taken up within one second.
  std::uint64_t peakLoads_ = 0;
  std::uint64_t failedSwaps_ = 0;
  /// Calls to the platform's store for permits.
  std::uint64_t storeReads_ = 0;
  std::uint64_t storeWrites_ = 0;
  /// Reads of samplers' state by one owner, a second.
  double readsPerSecond_ = 0.0;
};

[[nodiscard]] RolloutOutcome
RunRollout(const RolloutPlan& aPlan);

} // namespace marjoramtally::bench
