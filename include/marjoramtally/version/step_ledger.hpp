/// The ledger of one trainer step: which samples are wanted, in generation,
/// being scored, ready, or held by the trainer. The set of samples held by the
/// trainer is authoritative, so any owner can rebuild the ledger from the
/// opened step and one take.
#pragma once

#include "marjoramtally/base/index_set.hpp"
#include "marjoramtally/request/sample.hpp"

#include <array>
#include <string>
#include <unordered_map>

namespace marjoramtally {

/// A step as opened by its trainer.
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

/// A trainer's request for samples of a step.
struct TakeSpec
{
  StepId step_;
  /// The trainer's current weight version.
  WeightVersion version_;
  /// Increases with each take of a trainer; the reply repeats it.
  std::uint64_t number_ = 0;
  /// Indexes (group × group size + member) that the trainer holds.
  IndexSet held_;
  /// Maximum number of samples to return.
  std::uint32_t maxSamples_ = 64;
  /// Whether only complete groups are returned; the first one is returned even
  /// if it has more than `maxSamples_` samples.
  bool completeGroups_ = false;
};

/// Samples returned for a take.
struct TakeResult
{
  std::vector<Sample> samples_;
  /// Samples of the step that the trainer still lacks after this result.
  std::uint32_t remaining_ = 0;
};

/// Number of samples of a step by state.
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

/// The samples of one step.
class StepLedger
{
public:
  explicit StepLedger(StepSpec aSpec);

  [[nodiscard]] const StepSpec& Spec() const noexcept { return spec_; }
  [[nodiscard]] std::uint32_t Size() const noexcept;
  [[nodiscard]] StepProgress Progress() const noexcept;
  /// @returns whether any sample is waiting for generation
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
  /// Applies the trainer's set of held samples: samples in it are held, and
  /// samples that it no longer contains are wanted again.
  void SetHeld(const IndexSet& aHeld);
  /// Drops candidates whose oldest version is below `aOldest`.
  /// @returns number of tokens dropped
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
    /// Whether the index is in `requeued_`.
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
  /// Number of samples of each group that are ready or held.
  std::vector<std::uint32_t> groupDone_;
  /// Samples with this or a higher index were never started.
  std::uint32_t nextUnstarted_ = 0;
  /// Indexes that are wanted again; they start before those never started.
  std::vector<std::uint32_t> requeued_;
  /// Indexes that are ready, in the order in which they became so.
  std::vector<std::uint32_t> ready_;
  std::unordered_map<std::uint32_t, Sample> candidates_;
};

} // namespace marjoramtally
