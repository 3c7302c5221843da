#include "programs/entryd/dispatch_result.hpp"

namespace marjoramtally {

namespace {

Outcome
OutcomeOf(NextStep aLast)
{
  if (aLast == NextStep::FinishCompleted) {
    return Outcome::Completed;
  }
  return aLast == NextStep::FinishUnknown ? Outcome::Unknown
                                          : Outcome::RefusedNotRun;
}

} // namespace

DispatchResult
MakeRefused(const AdmissionVerdict& aVerdict)
{
  DispatchResult refused;
  const bool full = aVerdict.kind_ == AdmissionVerdict::Kind::QueueFull;
  refused.deadlineMissed_ = !full;
  refused.retryAfter_ = aVerdict.retryAfter_;
  refused.reason_ = full ? "the queue of its class is full"
                         : "it would miss its deadline: the expected wait is " +
                             FormatDuration(aVerdict.wait_);
  return refused;
}

DispatchResult
MakeQuarantined(const QuarantineVerdict& aVerdict)
{
  DispatchResult refused;
  refused.reason_ = aVerdict.reason_;
  refused.retryAfter_ = aVerdict.retryAfter_;
  return refused;
}

DispatchResult
MakeExpired(Duration aWait, NextStep aLast)
{
  DispatchResult result;
  result.deadlineMissed_ = true;
  result.retryAfter_ = aWait;
  result.reason_ = "the queue left too little time before its deadline";
  result.outcome_ = OutcomeOf(aLast);
  return result;
}

DispatchResult
MakeEnded(const UpstreamId& aUpstream, HttpResult aResult, NextStep aLast)
{
  DispatchResult result;
  result.upstream_ = aUpstream;
  result.deadlineMissed_ = aResult.end_ == HttpEnd::TimedOut;
  result.reason_ = std::move(aResult.message_);
  result.response_ = std::move(aResult.response_);
  result.outcome_ = OutcomeOf(aLast);
  return result;
}

} // namespace marjoramtally
