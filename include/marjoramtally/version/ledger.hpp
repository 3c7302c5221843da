/// The ledger of one trainer step: which samples are wanted, in generation,
/// ready, or held by the trainer. The trainer's set of held samples decides;
/// a ledger can be built anew by any owner from the opened step and a take.
#pragma once

#include "marjoramtally/base/index_set.hpp"
#include "marjoramtally/request/sample.hpp"

#include <string>

namespace marjoramtally {

/// A step as its trainer opens it.
struct StepSpec
{
  StepId step_;
  /// The trainer's weight version.
  WeightVersion version_;
  std::uint32_t groupSize_ = 1;
  std::uint32_t maxTokens_ = 256;
  /// One prompt for each group.
  std::vector<std::string> prompts_;
  bool operator==(const StepSpec&) const = default;
};

/// What a trainer asks for.
struct TakeSpec
{
  StepId step_;
  /// The trainer's weight version now.
  WeightVersion version_;
  /// Indexes (group × group size + member) the trainer holds.
  IndexSet held_;
  /// Most samples wanted.
  std::uint32_t most_ = 64;
};

/// Samples for a trainer.
struct TakeResult
{
  std::vector<Sample> samples_;
  /// Samples of the step that the trainer will still lack.
  std::uint32_t remaining_ = 0;
};

/// Samples of one step.
class StepLedger
{
public:
  /// @param aBound versions a delivered sample may be behind the trainer
  StepLedger(StepSpec aSpec, std::uint64_t aBound);

  [[nodiscard]] const StepSpec& Spec() const noexcept { return spec_; }
  /// @returns the next sample to generate, marked as in generation
  [[nodiscard]] std::optional<SampleId> StartNext();
  /// Records a candidate; uncertain labels are not accepted.
  /// @returns whether it was kept
  bool Generated(Sample aSample);
  /// Records that a generation failed; the sample is wanted again.
  void Failed(const SampleId& aId);
  /// Answers a take. Candidates older than the bound are dropped and wanted
  /// again.
  [[nodiscard]] TakeResult Take(const TakeSpec& aTake);
  /// @returns generations in progress
  [[nodiscard]] std::uint32_t InFlight() const noexcept { return inFlight_; }
  /// @returns the oldest version that may be sampled now
  [[nodiscard]] WeightVersion MinVersion() const noexcept;
  [[nodiscard]] std::uint32_t Size() const noexcept;

private:
  enum class State : std::uint8_t
  {
    Wanted,
    InGeneration,
    Ready,
    Held,
  };
  struct Slot
  {
    State state_ = State::Wanted;
    Sample sample_;
  };

  [[nodiscard]] std::uint32_t IndexOf(const SampleId& aId) const noexcept;
  [[nodiscard]] bool Fresh(const Sample& aSample) const noexcept;
  void MarkHeld(const IndexSet& aHeld);

  StepSpec spec_;
  std::uint64_t bound_;
  WeightVersion trainerVersion_;
  std::vector<Slot> slots_;
  std::uint32_t inFlight_ = 0;
};

} // namespace marjoramtally
