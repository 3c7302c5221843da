/// What is sent to upstreams for a request, and how its answer is judged.
#pragma once

#include "programs/entryd/attempt_sink.hpp"

namespace marjoramtally {

/// The HTTP message to send to whichever upstream is chosen.
struct UpstreamMessage
{
  std::string method_;
  /// Path and query.
  std::string target_;
  HttpHeaders headers_;
  std::string body_;
  /// Takes the answer piece by piece, if set; the result has no body then.
  std::shared_ptr<AttemptSink> sink_{};
};

/// Judges a whole response: does it prove that the answer is complete?
using ResponseClassifier = std::function<AttemptEnd(const HttpResponse&)>;

} // namespace marjoramtally
