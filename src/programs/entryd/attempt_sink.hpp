/// Takes the answers of a request's attempts piece by piece.
#pragma once

#include "marjoramtally/request.hpp"
#include "marjoramtally/runtime.hpp"

namespace marjoramtally {

/// Receives what the attempts of one request give, one attempt at a time.
class AttemptSink
{
public:
  virtual ~AttemptSink() = default;
  /// Sets the body and the callbacks of the next attempt.
  virtual void Prepare(HttpCall& aCall) = 0;
  /// The attempt was sent under this name.
  virtual void OnSent(HttpCallId aCall) = 0;
  /// The attempt ended; may set a body for the accounting of its cost.
  [[nodiscard]] virtual AttemptEnd Classify(HttpResult& aResult) = 0;
  /// @returns whether no further attempt can help
  [[nodiscard]] virtual bool IsAbandoned() const = 0;
};

} // namespace marjoramtally
