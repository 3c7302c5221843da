/// The rule that a trainer keeps so that every sample of a step reaches it
/// exactly once: one take at a time, only the answer to the present take
/// counts, and the set of samples that it holds goes with each take.
#pragma once

#include "marjoramtally/version/step_ledger.hpp"

namespace marjoramtally {

/// One step as its trainer takes it.
class TakeClient
{
public:
  explicit TakeClient(StepSpec aSpec);

  [[nodiscard]] const StepSpec& Spec() const noexcept { return spec_; }
  /// Begins a take; whatever still answers an earlier one is void.
  [[nodiscard]] TakeSpec Next(WeightVersion aVersion,
                              std::uint32_t aMaxSamples);
  /// Takes an answer.
  /// @returns its samples, or none if it does not answer the present take
  [[nodiscard]] std::vector<Sample> OnAnswer(std::uint64_t aNumber,
                                             std::vector<Sample> aSamples);
  /// @returns whether all samples are held
  [[nodiscard]] bool IsComplete() const noexcept;
  [[nodiscard]] const IndexSet& Held() const noexcept { return held_; }

private:
  StepSpec spec_;
  IndexSet held_;
  std::uint64_t lastNumber_ = 0;
  /// Number of the take that waits for its answer; 0 for none.
  std::uint64_t pending_ = 0;
};

} // namespace marjoramtally
