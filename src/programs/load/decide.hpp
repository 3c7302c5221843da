/// The decision bench: runs the decision libraries against fake engines on a
/// simulated clock and prints measurements for each policy and load. Each
/// scenario has its own file and an entry in the table in `decide.cpp`.
#pragma once

#include "programs/load/fake_engine.hpp"

#include <optional>
#include <ostream>
#include <string>

namespace marjoramtally::bench {

/// Options common to all scenarios.
struct DecideOptions
{
  std::string scenario_ = "routing";
  std::uint64_t seed_ = 1;
  /// Length of each run in simulated time.
  Duration length_ = std::chrono::seconds(120);
  bool json_ = false;
};

/// Measurements of one run. Those that a scenario does not take stay empty
/// and are not printed.
struct DecideRow
{
  std::string policy_;
  /// Offered load divided by the engines' measured peak.
  double load_ = 0;
  std::optional<double> liveLateShare_;
  std::optional<double> liveP50Millis_;
  std::optional<double> liveP99Millis_;
  std::optional<double> liveRefusedShare_;
  std::optional<double> trainerIdleShare_;
  std::optional<double> groupP50Seconds_;
  std::optional<double> groupP99Seconds_;
  /// Useful tokens per second divided by those of the best row.
  std::optional<double> goodputShare_;
  /// Discarded tokens divided by all generated tokens.
  std::optional<double> wastedShare_;
  std::optional<double> cacheHitShare_;
  /// Minimum over all trainers of the received share divided by the fair share.
  std::optional<double> worstFairShareRatio_;
  /// Maximum over all trainers of the same ratio.
  std::optional<double> bestFairShareRatio_;
  /// Cost of completed requests per second.
  std::optional<double> costPerSecond_;
  /// 99th percentile of the time from arrival to refusal.
  std::optional<double> refusedAfterMillis_;
  /// Share of live requests that were sent to the faulty engine.
  std::optional<double> slowShare_;
  std::optional<double> decisionNanos_;
  /// Delivered samples that exceed the staleness bound.
  std::optional<double> overBound_;
  /// Mean number of versions that a delivered sample is behind the trainer.
  std::optional<double> staleness_;
  /// Steps that the trainer received completely.
  std::optional<double> steps_;
};

using DecideRows = std::vector<DecideRow>;

/// One scenario and the function that runs it.
struct DecideScenario
{
  std::string_view name_;
  std::string_view help_;
  DecideRows (*run_)(const DecideOptions&);
};

[[nodiscard]] DecideRows
RunRoutingScenario(const DecideOptions& aOptions);
[[nodiscard]] DecideRows
RunLeadScenario(const DecideOptions& aOptions);
[[nodiscard]] DecideRows
RunFaultsScenario(const DecideOptions& aOptions);
[[nodiscard]] DecideRows
RunHerdingScenario(const DecideOptions& aOptions);
[[nodiscard]] DecideRows
RunCostScenario(const DecideOptions& aOptions);

[[nodiscard]] DecideRows
RunSharingScenario(const DecideOptions& aOptions);
[[nodiscard]] DecideRows
RunOverloadScenario(const DecideOptions& aOptions);
[[nodiscard]] DecideRows
RunQueueScenario(const DecideOptions& aOptions);
[[nodiscard]] DecideRows
RunGroupsScenario(const DecideOptions& aOptions);

/// Prints one aligned line for each row; columns without values are omitted.
void
PrintTable(const DecideRows& aRows, std::ostream& aOut);
/// Prints a JSON array with one object for each row.
void
PrintJson(const DecideRows& aRows, std::ostream& aOut);

/// Collects the values of one measurement.
class Distribution
{
public:
  void Add(double aValue) { values_.push_back(aValue); }
  [[nodiscard]] bool empty() const noexcept { return values_.empty(); }
  /// @param aShare quantile to compute, from 0 to 1
  /// @returns the value at that quantile; 0 if there are no values
  [[nodiscard]] double Quantile(double aShare) const;

private:
  std::vector<double> values_;
};

} // namespace marjoramtally::bench
