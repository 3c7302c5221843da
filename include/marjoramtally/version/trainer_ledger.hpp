/// The open steps of one trainer: what to generate next, which candidates
/// may be delivered, which take is the present one.
#pragma once

#include "marjoramtally/version/lead_policy.hpp"
#include "marjoramtally/version/staleness.hpp"
#include "marjoramtally/version/step_ledger.hpp"

namespace marjoramtally {

/// What the operators' rules say of a trainer's samples.
struct LedgerRules
{
  StalenessRule staleness_;
  /// Never null.
  const LeadPolicy* policy_ = FindLeadPolicy("idle");
};

/// What came of opening a step.
enum class OpenVerdict
{
  Opened,
  /// It was open with the same content.
  Same,
  /// It is open with another content.
  Different,
  /// As many steps as may be open are open.
  TooMany,
};

/// What became of a candidate.
enum class CandidateVerdict
{
  Kept,
  /// The sample is ready or held already, or its step is not open.
  NotWanted,
  /// Its oldest version is over the bound already.
  Stale,
  /// Its labels do not cover it or name a version never announced.
  Uncertain,
};

/// Whether a take is the trainer's present one.
enum class TakeVerdict
{
  Current,
  /// The step must be opened (again) first.
  NotOpen,
  /// A take with a higher number came before.
  Superseded,
};

/// A generation to start.
struct GenerationStart
{
  SampleId sample_;
  /// The oldest version that may generate it.
  WeightVersion minVersion_;
};

/// Tokens by what became of them.
struct TokenCounters
{
  std::uint64_t kept_ = 0;
  std::uint64_t stale_ = 0;
  std::uint64_t uncertain_ = 0;
};

/// Ledger of one trainer. Not thread-safe.
class TrainerLedger
{
public:
  /// Steps that may be open at once.
  static constexpr std::size_t kMaxOpenSteps = 8;

  void SetRules(const LedgerRules& aRules) noexcept { rules_ = aRules; }
  [[nodiscard]] const LedgerRules& Rules() const noexcept { return rules_; }
  [[nodiscard]] VersionHistory& Versions() noexcept { return versions_; }

  [[nodiscard]] OpenVerdict Open(const StepSpec& aSpec);
  /// Ends a step; whatever is still generated for it is not wanted.
  void Close(StepId aStep);
  /// @returns the step if it is open
  [[nodiscard]] const StepLedger* Find(StepId aStep) const;

  /// @returns the next generation to start, earlier steps first
  [[nodiscard]] std::optional<GenerationStart> StartNext(TimePoint aNow);
  void OnScoring(const SampleId& aId);
  void OnFailed(const SampleId& aId);
  /// @returns what would become of a candidate now
  [[nodiscard]] CandidateVerdict Judge(const Sample& aSample,
                                       TimePoint aNow) const;
  /// Takes a candidate; unless kept, the sample is wanted again.
  CandidateVerdict OnGenerated(Sample aSample, TimePoint aNow);

  /// Takes over the trainer's version and its set of held samples.
  [[nodiscard]] TakeVerdict Accept(const TakeSpec& aTake, TimePoint aNow);
  /// @returns what an accepted take gets now
  [[nodiscard]] TakeResult Collect(const TakeSpec& aTake, TimePoint aNow);

  /// @returns generations in progress over all steps
  [[nodiscard]] std::uint64_t InFlight() const noexcept;
  [[nodiscard]] std::vector<StepProgress> Progress() const;
  [[nodiscard]] const TokenCounters& Tokens() const noexcept { return tokens_; }

private:
  struct OpenStepState
  {
    StepLedger ledger_;
    /// Highest number of a take.
    std::uint64_t lastTake_ = 0;
  };

  [[nodiscard]] StepLedger* FindOpen(StepId aStep);
  [[nodiscard]] WeightVersion TakeVersion(
    const StepLedger& aStep) const noexcept;
  [[nodiscard]] StepVersions VersionsOf(const StepLedger& aStep,
                                        TimePoint aNow) const noexcept;

  LedgerRules rules_;
  VersionHistory versions_;
  /// The trainer's version as its takes gave it.
  WeightVersion trainerVersion_;
  std::map<StepId, OpenStepState> steps_;
  TokenCounters tokens_;
};

} // namespace marjoramtally
