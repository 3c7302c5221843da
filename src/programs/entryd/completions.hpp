/// OpenAI-style completions: requests, proof of completeness, labels.
#pragma once

#include "marjoramtally/connection.hpp"
#include "programs/entryd/dispatch_result.hpp"
#include "programs/entryd/upstream_message.hpp"

namespace marjoramtally {

/// What routing needs of a completion request.
struct CompletionParams
{
  std::string model_;
  std::uint64_t maxTokens_ = 0;
  /// Whether the answer is to come as server-sent events.
  bool stream_ = false;
};

[[nodiscard]] Result<CompletionParams>
ParseCompletionRequest(const std::string& aBody);

/// @returns the service whose engines serve a model
[[nodiscard]] std::optional<ServiceId>
FindModelService(const Rules& aRules, const std::string& aModel);

/// Builds the message for one generation of a trainer.
[[nodiscard]] UpstreamMessage
MakeCompletionMessage(const GenerateRequest& aRequest, const RequestId& aId);

/// A completion is whole only if every choice has a finish reason.
[[nodiscard]] AttemptEnd
ClassifyCompletion(const HttpResponse& aResponse);

/// Turns a completed generation into an encoded `GenerateReply`.
[[nodiscard]] Result<std::string>
ReadCompletion(const DispatchResult& aResult);

} // namespace marjoramtally
