/// Client side of the take protocol, by which every sample of a step reaches
/// the trainer exactly once: only one take is outstanding at a time, only the
/// answer to the latest take is accepted, and each take carries the set of
/// samples that the trainer holds.
#pragma once

#include "marjoramtally/version/step_ledger.hpp"

namespace marjoramtally {

/// The takes of one step.
class TakeClient
{
public:
  explicit TakeClient(StepSpec aSpec);

  [[nodiscard]] const StepSpec& Spec() const noexcept { return spec_; }
  /// Starts a take; answers to earlier takes are ignored from then on.
  [[nodiscard]] TakeSpec Next(WeightVersion aVersion,
                              std::uint32_t aMaxSamples);
  /// Processes the answer to a take.
  /// @returns its samples, or none if it does not answer the pending take
  [[nodiscard]] std::vector<Sample> OnAnswer(std::uint64_t aNumber,
                                             std::vector<Sample> aSamples);
  /// @returns whether all samples of the step are held
  [[nodiscard]] bool IsComplete() const noexcept;
  [[nodiscard]] const IndexSet& Held() const noexcept { return held_; }

private:
  StepSpec spec_;
  IndexSet held_;
  std::uint64_t lastNumber_ = 0;
  /// Number of the take that awaits its answer; 0 if there is none.
  std::uint64_t pending_ = 0;
};

} // namespace marjoramtally
