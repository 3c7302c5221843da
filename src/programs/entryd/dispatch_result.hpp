/// Outcome of a dispatched request, and the reason.
#pragma once

#include "marjoramtally/process.hpp"
#include "marjoramtally/request.hpp"
#include "marjoramtally/runtime.hpp"

namespace marjoramtally {

/// Outcome of a request.
struct DispatchResult
{
  Outcome outcome_ = Outcome::RefusedNotRun;
  /// Set if completed.
  HttpResponse response_;
  UpstreamId upstream_;
  /// Human-readable reason why it was not completed.
  std::string reason_;
  /// Whether it ended because of its deadline.
  bool deadlineMissed_ = false;
  /// Time after which the caller should retry.
  Duration retryAfter_ = std::chrono::seconds(1);
};

using DispatchDone = std::function<void(DispatchResult)>;

/// @returns the result of a request that was not admitted to the queue
[[nodiscard]] DispatchResult
MakeRefused(const AdmissionVerdict& aVerdict);

/// @returns the result of a request that is refused by the quarantine
[[nodiscard]] DispatchResult
MakeQuarantined(const QuarantineVerdict& aVerdict);

/// @param aWait expected time in the queue
/// @param aLast final step that follows from its earlier attempts
/// @returns the result of a request that expired in the queue
[[nodiscard]] DispatchResult
MakeExpired(Duration aWait, NextStep aLast);

/// @returns the result of a request that its last attempt ended
[[nodiscard]] DispatchResult
MakeEnded(const UpstreamId& aUpstream, HttpResult aResult, NextStep aLast);

} // namespace marjoramtally
