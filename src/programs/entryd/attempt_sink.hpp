/// Incremental receiver for the responses to a request's attempts.
#pragma once

#include "marjoramtally/request.hpp"
#include "marjoramtally/runtime.hpp"

namespace marjoramtally {

/// Receives the responses to one request's attempts, which are made one after
/// the other.
class AttemptSink
{
public:
  virtual ~AttemptSink() = default;
  /// Sets the body and the callbacks of the next attempt.
  virtual void Prepare(HttpCall& aCall) = 0;
  /// Handles the start of the attempt, which the HTTP client identifies as
  /// `aCall`.
  virtual void OnSent(HttpCallId aCall) = 0;
  /// Classifies the ended attempt. May set a response body from which the
  /// generated tokens are counted.
  [[nodiscard]] virtual AttemptEnd Classify(HttpResult& aResult) = 0;
  /// @returns whether a further attempt is pointless
  [[nodiscard]] virtual bool IsAbandoned() const = 0;
};

} // namespace marjoramtally
