/// The ledger of one trainer step: which samples are wanted, in generation,
/// being scored, ready, or held by the trainer. The trainer's set of held
/// samples decides; a ledger can be built anew by any owner from the opened
/// step and a take.
#pragma once

#include "marjoramtally/base/index_set.hpp"
#include "marjoramtally/request/sample.hpp"

#include <array>
#include <string>
#include <unordered_map>

namespace marjoramtally {

/// A step as its trainer opens it.
struct StepSpec
{
  StepId step_;
  /// The weight version at which the trainer will take the step.
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
  /// Grows with each take of a trainer; the reply repeats it.
  std::uint64_t number_ = 0;
  /// Indexes (group × group size + member) the trainer holds.
  IndexSet held_;
  /// Most samples wanted.
  std::uint32_t maxSamples_ = 64;
  /// Whether only whole groups are wanted; then at least one group is
  /// given even if it has more than `maxSamples_` samples.
  bool completeGroups_ = false;
};

/// Samples for a trainer.
struct TakeResult
{
  std::vector<Sample> samples_;
  /// Samples of the step that the trainer will still lack.
  std::uint32_t remaining_ = 0;
};

/// How many samples of a step are in which state.
struct StepProgress
{
  StepId step_;
  std::uint32_t wanted_ = 0;
  std::uint32_t inGeneration_ = 0;
  std::uint32_t scoring_ = 0;
  std::uint32_t ready_ = 0;
  std::uint32_t held_ = 0;
  bool operator==(const StepProgress&) const = default;
};

/// Samples of one step.
class StepLedger
{
public:
  explicit StepLedger(StepSpec aSpec);

  [[nodiscard]] const StepSpec& Spec() const noexcept { return spec_; }
  [[nodiscard]] std::uint32_t Size() const noexcept;
  [[nodiscard]] StepProgress Progress() const noexcept;
  /// @returns whether a sample is to be generated
  [[nodiscard]] bool AnyWanted() const noexcept;
  /// @returns the next sample to generate, marked as in generation
  [[nodiscard]] std::optional<SampleId> StartNext();
  /// @returns whether the sample is of this step and neither ready nor held
  [[nodiscard]] bool IsMissing(const SampleId& aId) const noexcept;
  /// Records that a generation ended and its candidate is being scored.
  void OnScoring(const SampleId& aId);
  /// Keeps a candidate unless the sample is ready or held already.
  /// @returns whether it was kept
  bool Keep(Sample aSample);
  /// Records that a generation or its scoring failed; the sample is wanted
  /// again.
  void OnFailed(const SampleId& aId);
  /// Takes over the trainer's set: what it holds is done, and what it no
  /// longer holds is wanted again.
  void SetHeld(const IndexSet& aHeld);
  /// Drops candidates with a version below `aOldest`.
  /// @returns tokens dropped
  std::uint64_t DropOlder(WeightVersion aOldest);
  /// @returns ready samples, in the order in which they became ready
  [[nodiscard]] TakeResult Collect(std::uint32_t aMaxSamples,
                                   bool aCompleteGroups) const;
  /// @returns generations in progress
  [[nodiscard]] std::uint32_t InFlight() const noexcept;

private:
  enum class State : std::uint8_t
  {
    Wanted,
    InGeneration,
    Scoring,
    Ready,
    Held,
  };
  static constexpr std::size_t kStates = 5;
  struct Slot
  {
    State state_ = State::Wanted;
    /// Whether the index stands in `requeued_`.
    bool queued_ = false;
  };

  [[nodiscard]] std::optional<std::uint32_t> IndexOf(
    const SampleId& aId) const noexcept;
  [[nodiscard]] std::uint32_t Count(State aState) const noexcept;
  [[nodiscard]] std::optional<std::uint32_t> PopWanted();
  [[nodiscard]] std::vector<std::uint32_t> ChooseReady(
    std::uint32_t aMaxSamples) const;
  [[nodiscard]] std::vector<std::uint32_t> ChooseGroups(
    std::uint32_t aMaxSamples) const;
  void SetState(std::uint32_t aIndex, State aTo);
  void CompactReady();

  StepSpec spec_;
  std::vector<Slot> slots_;
  std::array<std::uint32_t, kStates> counts_{};
  /// Members of each group that are ready or held.
  std::vector<std::uint32_t> groupDone_;
  /// Indexes from here on were never started.
  std::uint32_t nextUnstarted_ = 0;
  /// Indexes wanted again; they go before those never started.
  std::vector<std::uint32_t> requeued_;
  /// Indexes that are ready, in the order in which they became so.
  std::vector<std::uint32_t> ready_;
  std::unordered_map<std::uint32_t, Sample> candidates_;
};

} // namespace marjoramtally
