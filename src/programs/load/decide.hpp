/// The decision bench: runs the decision libraries against fake engines on a
/// paused clock and prints measures for each policy and load. A scenario is
/// one file with one entry in the table of `decide.cpp`.
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
  /// Length of the measured run.
  Duration length_ = std::chrono::seconds(120);
  bool json_ = false;
};

/// What one run measured. Measures that a scenario does not have stay empty
/// and are not printed.
struct DecideRow
{
  std::string policy_;
  /// Offered load over the engines' measured peak.
  double load_ = 0;
  std::optional<double> liveLateShare_;
  std::optional<double> liveP50Millis_;
  std::optional<double> liveP99Millis_;
  std::optional<double> liveRefusedShare_;
  std::optional<double> trainerIdleShare_;
  std::optional<double> groupP50Seconds_;
  std::optional<double> groupP99Seconds_;
  /// Useful tokens over what the engines yield at their peak.
  std::optional<double> goodputShare_;
  /// Tokens thrown away over all generated.
  std::optional<double> wastedShare_;
  std::optional<double> cacheHitShare_;
  /// Of all trainers the least of share received over share due.
  std::optional<double> worstFairShareRatio_;
  std::optional<double> bestFairShareRatio_;
  /// Cost of whole requests a second.
  std::optional<double> costPerSecond_;
  /// 99th percentile of the time from arrival to refusal.
  std::optional<double> refusedAfterMillis_;
  /// Share of live work that went to the slow upstream.
  std::optional<double> slowShare_;
  std::optional<double> decisionNanos_;
  /// Samples delivered over the staleness bound.
  std::optional<double> overBound_;
  /// Versions that a delivered sample is behind the trainer, at the mean.
  std::optional<double> staleness_;
  /// Steps that the trainer got whole.
  std::optional<double> steps_;
};

using DecideRows = std::vector<DecideRow>;

/// One scenario and what runs it.
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

/// Prints one aligned line for each row, with the columns that have values.
void
PrintTable(const DecideRows& aRows, std::ostream& aOut);
/// Prints one JSON object for each row.
void
PrintJson(const DecideRows& aRows, std::ostream& aOut);

/// Collects values of one measure.
class Distribution
{
public:
  void Add(double aValue) { values_.push_back(aValue); }
  [[nodiscard]] bool empty() const noexcept { return values_.empty(); }
  /// @returns the value below which a share of all lies; 0 if there are none
  [[nodiscard]] double Quantile(double aShare) const;

private:
  std::vector<double> values_;
};

} // namespace marjoramtally::bench
