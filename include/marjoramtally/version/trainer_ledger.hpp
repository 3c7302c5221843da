/// The open steps of one trainer: which sample to generate next, which
/// candidates may be delivered, and which take is current.
#pragma once

#include "marjoramtally/version/lead_policy.hpp"
#include "marjoramtally/version/staleness.hpp"
#include "marjoramtally/version/step_ledger.hpp"

namespace marjoramtally {

/// Rules for the samples of one trainer.
struct LedgerRules
{
  StalenessRule staleness_;
  /// Never null.
  const LeadPolicy* policy_ = FindLeadPolicy("idle");
};

/// Result of opening a step.
enum class OpenVerdict
{
  Opened,
  /// The step was already open with the same content.
  Same,
  /// The step is already open with different content.
  Different,
  /// `kMaxOpenSteps` steps are open.
  TooMany,
};

/// How the ledger handles a candidate.
enum class CandidateVerdict
{
  Kept,
  /// The sample is already ready or held, or its step is not open.
  NotWanted,
  /// Its oldest version exceeds the staleness bound.
  Stale,
  /// Its labels do not cover all tokens or name a version that was never
  /// announced.
  Uncertain,
};

/// Whether a take is the latest one of the trainer.
enum class TakeVerdict
{
  Current,
  /// The trainer must open the step first, or open it again.
  NotOpen,
  /// A take with a higher number was received before.
  Superseded,
};

/// A generation to start.
struct GenerationStart
{
  SampleId sample_;
  /// Oldest weight version that may generate the sample.
  WeightVersion minVersion_;
};

/// Tokens by how their candidate was handled.
struct TokenCounters
{
  std::uint64_t kept_ = 0;
  std::uint64_t stale_ = 0;
  std::uint64_t uncertain_ = 0;
};

/// The ledger of one trainer. Not thread-safe.
class TrainerLedger
{
public:
  /// Maximum number of open steps.
  static constexpr std::size_t kMaxOpenSteps = 8;

  void SetRules(const LedgerRules& aRules) noexcept { rules_ = aRules; }
  [[nodiscard]] const LedgerRules& Rules() const noexcept { return rules_; }
  [[nodiscard]] VersionHistory& Versions() noexcept { return versions_; }

  [[nodiscard]] OpenVerdict Open(const StepSpec& aSpec);
  /// Closes a step; candidates still in generation are discarded on arrival.
  void Close(StepId aStep);
  /// @returns the step, or null if it is not open
  [[nodiscard]] const StepLedger* Find(StepId aStep) const;

  /// @returns the next generation to start, by ascending step
  [[nodiscard]] std::optional<GenerationStart> StartNext(TimePoint aNow);
  void OnScoring(const SampleId& aId);
  void OnFailed(const SampleId& aId);
  /// @returns how `OnGenerated` would handle a candidate now
  [[nodiscard]] CandidateVerdict Judge(const Sample& aSample,
                                       TimePoint aNow) const;
  /// Adds a candidate; if it is stale or uncertain, the sample is generated
  /// again.
  CandidateVerdict OnGenerated(Sample aSample, TimePoint aNow);

  /// Records the trainer's version and its set of held samples.
  [[nodiscard]] TakeVerdict Accept(const TakeSpec& aTake, TimePoint aNow);
  /// @returns the samples for an accepted take; drops those that became stale
  [[nodiscard]] TakeResult Collect(const TakeSpec& aTake, TimePoint aNow);

  /// @returns generations in progress in all steps
  [[nodiscard]] std::uint64_t InFlight() const noexcept;
  [[nodiscard]] std::vector<StepProgress> Progress() const;
  [[nodiscard]] const TokenCounters& Tokens() const noexcept { return tokens_; }

private:
  struct OpenStepState
  {
    StepLedger ledger_;
    /// Highest take number received.
    std::uint64_t lastTake_ = 0;
  };

  [[nodiscard]] StepLedger* FindOpen(StepId aStep);
  [[nodiscard]] WeightVersion TakeVersion(
    const StepLedger& aStep) const noexcept;
  [[nodiscard]] StepVersions VersionsOf(const StepLedger& aStep,
                                        TimePoint aNow) const noexcept;

  LedgerRules rules_;
  VersionHistory versions_;
  /// Highest version reported by the trainer's takes.
  WeightVersion trainerVersion_;
  std::map<StepId, OpenStepState> steps_;
  TokenCounters tokens_;
};

} // namespace marjoramtally
