/// Simulates a rollout to many samplers on a simulated clock: owners run the
/// real decision library, the weight store has a rate limit, and the platform
/// store grants permits.
#pragma once

#include "marjoramtally/process/rollout.hpp"
#include "programs/load/event_loop.hpp"

#include <deque>

namespace marjoramtally::bench {

/// Parameters of one simulated rollout.
struct RolloutPlan
{
  std::string name_;
  std::uint64_t samplers_ = 1600;
  /// Control processes that can own samplers.
  std::uint64_t controls_ = 440;
  /// Percentage of samplers that must keep answering; 0 switches all at once.
  std::uint64_t floor_ = 90;
  std::uint64_t wave_ = 0;
  /// Loads per second that the weight store serves; it refuses others.
  double storeRate_ = 80.0;
  /// Whether owners limit their load rate.
  bool paced_ = true;
  /// Whether samplers keep answering while they load weights.
  bool loadsAhead_ = true;
  /// Whether permits are reserved in a record of the platform's store.
  bool usesPermitRecord_ = false;
  std::uint64_t parallelLoads_ = 1'000'000;
  /// Share of swaps that fail, from 0 to 1.
  double failedSwaps_ = 0.02;
  Duration loadTime_ = std::chrono::seconds(4);
  Duration switchTime_ = std::chrono::milliseconds(500);
  Duration step_ = std::chrono::milliseconds(20);
  Duration limit_ = std::chrono::seconds(120);
  std::uint64_t seed_ = 1;
};

/// Measurements of one rollout.
struct RolloutOutcome
{
  std::uint64_t owners_ = 0;
  std::uint64_t slots_ = 0;
  /// Time until the last sampler served the new version; the time limit if not
  /// all did.
  double seconds_ = 0.0;
  std::uint64_t done_ = 0;
  std::uint64_t minAnswering_ = 0;
  std::uint64_t loads_ = 0;
  std::uint64_t refusedLoads_ = 0;
  /// Maximum number of loads that started within one second.
  std::uint64_t peakLoads_ = 0;
  std::uint64_t failedSwaps_ = 0;
  /// Calls to the platform's store for permits: reads and writes.
  std::uint64_t storeReads_ = 0;
  std::uint64_t storeWrites_ = 0;
  /// State reads per second by one owner during the warm-up.
  double readsPerSecond_ = 0.0;
};

[[nodiscard]] RolloutOutcome
RunRollout(const RolloutPlan& aPlan);

} // namespace marjoramtally::bench
