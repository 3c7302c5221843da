/// Candidates on this instance's disk, if its settings name a data folder.
#pragma once

#include "daemon/host.hpp"

namespace marjoramtally {

/// Writes and reads the journal and logs what goes wrong; without a data
/// folder it does nothing. Not thread-safe.
class CandidateStore
{
public:
  explicit CandidateStore(const DaemonSettings& aSettings);

  void Append(const TrainerId& aTrainer,
              const StepSpec& aSpec,
              const Sample& aSample);
  /// @returns the candidates kept of a step
  [[nodiscard]] std::vector<Sample> Read(const TrainerId& aTrainer,
                                         const StepSpec& aSpec);
  void Remove(const TrainerId& aTrainer, StepId aStep);

private:
  std::unique_ptr<SampleJournal> journal_;
};

} // namespace marjoramtally
