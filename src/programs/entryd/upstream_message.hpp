/// The message sent to upstreams for a request, and the classification of the
/// response.
#pragma once

#include "programs/entryd/attempt_sink.hpp"

namespace marjoramtally {

/// The HTTP message of a request, independent of the chosen upstream.
struct UpstreamMessage
{
  std::string method_;
  /// Path and query.
  std::string target_;
  HttpHeaders headers_;
  HttpBody body_;
  /// Receives the response incrementally if set; the result then has no body.
  std::shared_ptr<AttemptSink> sink_{};
};

/// Classifies a response that was received in full: whether it proves that the
/// request completed, was not run, or neither.
using ResponseClassifier = std::function<AttemptEnd(const HttpResponse&)>;

} // namespace marjoramtally
