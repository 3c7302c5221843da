#include "marjoramtally/request/attempts.hpp"

namespace marjoramtally {

NextStep
Attempts::RecordEnd(const RequestSpec& aRequest,
                    AttemptEnd aEnd,
                    TimePoint aNow) noexcept
{
  ++made_;
  if (aEnd == AttemptEnd::Complete) {
    return NextStep::FinishCompleted;
  }
  mayHaveRun_ = mayHaveRun_ || aEnd == AttemptEnd::MaybeRun;
  const bool safe = aRequest.idempotent_ || !mayHaveRun_;
  if (safe && made_ < maxAttempts_ && aNow < aRequest.deadline_) {
    return NextStep::Retry;
  }
  return FinalStep();
}

NextStep
Attempts::FinalStep() const noexcept
{
  return mayHaveRun_ ? NextStep::FinishUnknown : NextStep::FinishRefused;
}

} // namespace marjoramtally
