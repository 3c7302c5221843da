#include "programs/entryd/completions.hpp"

#include "marjoramtally/base/json.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// Token limit of requests without `max_tokens`.
constexpr std::uint64_t kDefaultMaxTokens = 16;

std::vector<VersionSpan>
ReadSpans(const Json& aSpans)
{
  std::vector<VersionSpan> spans;
  for (const Json& span : aSpans) {
    spans.push_back({ WeightVersion{ span.at("version").get<std::uint64_t>() },
                      span.at("from").get<std::uint32_t>(),
                      span.at("to").get<std::uint32_t>() });
  }
  return spans;
}

Result<std::string>
ReadBody(const DispatchResult& aResult)
{
  const Json body = ParseJson(aResult.response_.body_);
  GenerateReply reply;
  reply.upstream_ = aResult.upstream_;
  reply.text_ = body.at("choices").at(0).at("text").get<std::string>();
  reply.tokens_ = body.at("usage").at("completion_tokens").get<std::uint32_t>();
  reply.spans_ = ReadSpans(body.at("weight_versions"));
  if (!SpansCover(reply.spans_, reply.tokens_)) {
    return Error{ ErrorKind::Internal, "the labels do not cover the tokens" };
  }
  return Encode(reply);
}

} // namespace

Result<CompletionParams>
ParseCompletionRequest(const std::string& aBody)
{
  try {
    const Json body = ParseJson(aBody);
    const bool stream = body.value("stream", false);
    if (stream && body.value("n", 1) != 1) {
      return Error{ ErrorKind::BadInput, "a stream has one choice: 'n' is 1" };
    }
    return CompletionParams{ body.at("model").get<std::string>(),
                             body.value("max_tokens", kDefaultMaxTokens),
                             stream };
  } catch (const Json::exception& failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("the body is no completion request: ") +
                    failure.what() };
  }
}

std::optional<ServiceId>
FindModelService(const Rules& aRules, const std::string& aModel)
{
  for (const auto& [id, trainer] : aRules.trainers_) {
    if (trainer.model_ == aModel) {
      return ServiceId{ trainer.service_ };
    }
  }
  return std::nullopt;
}

UpstreamMessage
MakeCompletionMessage(const GenerateRequest& aRequest, const RequestId& aId)
{
  const Json body{ { "model", aRequest.model_ },
                   { "prompt", aRequest.prompt_ },
                   { "max_tokens", aRequest.maxTokens_ },
                   { "seed", aRequest.sample_.member_ },
                   { "request_id", aId.Get() } };
  return { "POST",
           "/v1/completions",
           { { "Content-Type", "application/json" } },
           body.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

AttemptEnd
ClassifyCompletion(const HttpResponse& aResponse)
{
  const auto outcome = FindHeader(aResponse.headers_, kOutcomeHeader);
  if (outcome == ToString(Outcome::RefusedNotRun)) {
    return AttemptEnd::NotRun;
  }
  if (aResponse.status_ >= 400 && aResponse.status_ < 500) {
    return AttemptEnd::Complete;
  }
  const Json body = ParseJsonOrDiscarded(aResponse.body_);
  if (aResponse.status_ != 200 || !body.is_object() ||
      !body.contains("choices") || !body["choices"].is_array() ||
      body["choices"].empty()) {
    return AttemptEnd::MaybeRun;
  }
  for (const Json& choice : body["choices"]) {
    const auto reason = choice.find("finish_reason");
    if (reason == choice.end() || !reason->is_string()) {
      return AttemptEnd::MaybeRun;
    }
  }
  return AttemptEnd::Complete;
}

Result<std::string>
ReadCompletion(const DispatchResult& aResult)
{
  if (aResult.outcome_ != Outcome::Completed) {
    return Error{ ErrorKind::Unavailable, aResult.reason_ };
  }
  try {
    return ReadBody(aResult);
  } catch (const Json::exception& failure) {
    return Error{ ErrorKind::Internal,
                  std::string("unreadable completion: ") + failure.what() };
  }
}

} // namespace marjoramtally
