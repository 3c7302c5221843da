/// OpenAI-style completions: requests, checks for completeness, and labels of
/// weight versions.
#pragma once

#include "marjoramtally/connection.hpp"
#include "programs/entryd/dispatch_result.hpp"
#include "programs/entryd/upstream_message.hpp"

namespace marjoramtally {

/// Parameters of a completion request that are needed for routing.
struct CompletionParams
{
  std::string model_;
  std::uint64_t maxTokens_ = 0;
  /// Whether the answer is requested as server-sent events.
  bool stream_ = false;
};

[[nodiscard]] Result<CompletionParams>
ParseCompletionRequest(const std::string& aBody);

/// @returns the service whose engines serve a model
[[nodiscard]] std::optional<ServiceId>
FindModelService(const Rules& aRules, const std::string& aModel);

/// Builds the upstream request for one generation of a trainer.
[[nodiscard]] UpstreamMessage
MakeCompletionMessage(const GenerateRequest& aRequest, const RequestId& aId);

/// Classifies the response to a completion request; a completion is complete
/// only if every choice has a finish reason.
[[nodiscard]] AttemptEnd
ClassifyCompletion(const HttpResponse& aResponse);

/// Converts the result of a generation into an encoded `GenerateReply`.
/// @returns `Unavailable` if it was not completed, `Internal` if the completion
/// is malformed
[[nodiscard]] Result<std::string>
ReadCompletion(const DispatchResult& aResult);

} // namespace marjoramtally
