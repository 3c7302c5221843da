/// Candidates on an instance's disk, so that a restart need not generate
/// them anew. It saves work only: whatever it lacks is generated again, and
/// the trainer's set still decides what is delivered.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/version/step_ledger.hpp"

#include <memory>

namespace marjoramtally {

/// What was read back of a step.
struct JournalRead
{
  std::vector<Sample> samples_;
  /// Rows whose checksum did not match; they are removed.
  std::uint64_t corrupt_ = 0;
};

/// A bounded, checksummed file of candidates. Not thread-safe.
class SampleJournal
{
public:
  /// @param aFile SQLite database; made if it does not exist
  /// @param aMaxBytes most bytes of candidates; the oldest are removed
  [[nodiscard]] static Result<std::unique_ptr<SampleJournal>> Open(
    const std::string& aFile,
    std::uint64_t aMaxBytes);

  virtual ~SampleJournal() = default;
  /// Writes one candidate of a step.
  [[nodiscard]] virtual Result<bool> Append(const TrainerId& aTrainer,
                                            const StepSpec& aSpec,
                                            const Sample& aSample) = 0;
  /// Reads the candidates of a step that was opened with this content.
  [[nodiscard]] virtual Result<JournalRead> Read(const TrainerId& aTrainer,
                                                 const StepSpec& aSpec) = 0;
  /// Removes a step that was closed.
  [[nodiscard]] virtual Result<bool> Remove(const TrainerId& aTrainer,
                                            StepId aStep) = 0;
  /// @returns bytes of candidates kept
  [[nodiscard]] virtual std::uint64_t Bytes() const noexcept = 0;
};

} // namespace marjoramtally
