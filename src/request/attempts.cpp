#include "marjoramtally/request/attempts.hpp"

namespace marjoramtally {

NextStep
Attempts::After(const RequestSpec& aRequest,
                AttemptEnd aEnd,
                TimePoint aNow) noexcept
{
  ++made_;
  if (aEnd == AttemptEnd::Whole) {
    return NextStep::FinishCompleted;
  }
  mayHaveRun_ = mayHaveRun_ || aEnd == AttemptEnd::MaybeRun;
  const bool safe = aRequest.idempotent_ || !mayHaveRun_;
  if (safe && made_ < most_ && aNow < aRequest.deadline_) {
    return NextStep::Retry;
  }
  return GiveUp();
}

NextStep
Attempts::GiveUp() const noexcept
{
  return mayHaveRun_ ? NextStep::FinishUnknown : NextStep::FinishRefused;
}

} // namespace marjoramtally
