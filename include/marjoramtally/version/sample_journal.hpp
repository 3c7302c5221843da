/// Journal of candidates on an instance's disk, which avoids generating them
/// again after a restart. It is only a cache: missing candidates are generated
/// again, and the set of samples held by the trainer still decides what is
/// delivered.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/version/step_ledger.hpp"

#include <memory>

namespace marjoramtally {

/// Candidates of a step read from the journal.
struct JournalRead
{
  std::vector<Sample> samples_;
  /// Rows that were removed because their checksum or encoding was invalid.
  std::uint64_t corrupt_ = 0;
};

/// A bounded file of candidates with checksums. Not thread-safe.
class SampleJournal
{
public:
  /// @param aFile SQLite database; created if it does not exist
  /// @param aMaxBytes maximum size of all candidates; beyond it the oldest are
  /// removed
  [[nodiscard]] static Result<std::unique_ptr<SampleJournal>> Open(
    const std::string& aFile,
    std::uint64_t aMaxBytes);

  virtual ~SampleJournal() = default;
  /// Writes one candidate of a step.
  [[nodiscard]] virtual Result<bool> Append(const TrainerId& aTrainer,
                                            const StepSpec& aSpec,
                                            const Sample& aSample) = 0;
  /// Reads the candidates of a step with the same number and content.
  [[nodiscard]] virtual Result<JournalRead> Read(const TrainerId& aTrainer,
                                                 const StepSpec& aSpec) = 0;
  /// Removes the candidates of a closed step.
  [[nodiscard]] virtual Result<bool> Remove(const TrainerId& aTrainer,
                                            StepId aStep) = 0;
  /// @returns size of all stored candidates in bytes
  [[nodiscard]] virtual std::uint64_t Bytes() const noexcept = 0;
};

} // namespace marjoramtally
