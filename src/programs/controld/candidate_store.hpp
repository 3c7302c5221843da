/// Stores candidates on this instance's disk if its settings name a data
/// folder.
#pragma once

#include "daemon/host.hpp"

namespace marjoramtally {

/// Wraps the sample journal and logs its failures; a no-op without a data
/// folder. Not thread-safe.
class CandidateStore
{
public:
  explicit CandidateStore(const DaemonSettings& aSettings);

  void Append(const TrainerId& aTrainer,
              const StepSpec& aSpec,
              const Sample& aSample);
  /// @returns the stored candidates of a step
  [[nodiscard]] std::vector<Sample> Read(const TrainerId& aTrainer,
                                         const StepSpec& aSpec);
  void Remove(const TrainerId& aTrainer, StepId aStep);

private:
  std::unique_ptr<SampleJournal> journal_;
};

} // namespace marjoramtally
