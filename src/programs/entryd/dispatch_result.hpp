/// What became of a request that was dispatched, and why.
#pragma once

#include "marjoramtally/process.hpp"
#include "marjoramtally/request.hpp"
#include "marjoramtally/runtime.hpp"

namespace marjoramtally {

/// What became of a request.
struct DispatchResult
{
  Outcome outcome_ = Outcome::RefusedNotRun;
  /// Set if completed.
  HttpResponse response_;
  UpstreamId upstream_;
  /// Why it was not completed, for people.
  std::string reason_;
  /// Whether it was its deadline that ended it.
  bool deadlineMissed_ = false;
  /// When sending it again makes sense.
  Duration retryAfter_ = std::chrono::seconds(1);
};

using DispatchDone = std::function<void(DispatchResult)>;

/// @returns the result of a request that the queue did not take
[[nodiscard]] DispatchResult
MakeRefused(const AdmissionVerdict& aVerdict);

/// @returns the result of a request that must not run again
[[nodiscard]] DispatchResult
MakeQuarantined(const QuarantineVerdict& aVerdict);

/// @param aWait expected time in the queue
/// @param aLast what is true of its attempts
/// @returns the result of a request that waited too long
[[nodiscard]] DispatchResult
MakeExpired(Duration aWait, NextStep aLast);

/// @returns the result of a request that its last attempt decided
[[nodiscard]] DispatchResult
MakeEnded(const UpstreamId& aUpstream, HttpResult aResult, NextStep aLast);

} // namespace marjoramtally
