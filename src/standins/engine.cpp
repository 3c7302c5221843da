/// Stand-in of a model engine: completions whose duration is proportional to
/// their tokens, weight versions that change during a generation, and orders
/// with fencing numbers.

#include "standins/engine_stream.hpp"

#include <cstdlib>

namespace marjoramtally::standin {

namespace {

class Engine
{
public:
  explicit Engine(const Options& aOptions)
    : options_(aOptions)
    , recorder_(aOptions.recordFile_)
    , random_(std::hash<std::string>{}(aOptions.name_))
    , orders_(aOptions, recorder_)
  {
  }

  void Handle(const HttpRequest& aRequest, const HttpReplyPtr& aReply)
  {
    if (aRequest.path_ == "/load") {
      aReply->Send(Load());
      return;
    }
    const Json body = Json::parse(aRequest.body_, nullptr, false);
    if (!body.is_object()) {
      aReply->Send(ErrorResponse(400, "bad_input", "no JSON object"));
    } else if (aRequest.path_ == "/v1/completions") {
      HandleCompletion(body, aReply);
    } else if (aRequest.path_ == "/orders") {
      orders_.Handle(body, aReply);
    } else {
      aReply->Send(ErrorResponse(404, "not_found", aRequest.path_));
    }
  }

private:
  HttpResponse Load()
  {
    const std::lock_guard lock(mutex_);
    Json load{ { "running", running_ }, { "queued", 0 } };
    orders_.Describe(load);
    return JsonResponse(200, load.dump());
  }

  void HandleCompletion(const Json& aBody, const HttpReplyPtr& aReply)
  {
    const std::string model = aBody.value("model", "");
    const auto maxTokens = aBody.value("max_tokens", std::uint64_t{ 16 });
    const std::lock_guard lock(mutex_);
    if (!orders_.BeginGeneration(model)) {
      HttpResponse refusal =
        ErrorResponse(503, "no_model", "this model is not served now");
      refusal.headers_.push_back({ "X-Outcome", "refused-not-run" });
      aReply->Send(std::move(refusal));
      return;
    }
    ++running_;
    const std::string prompt = aBody.value("prompt", "");
    if (!options_.crashOn_.empty() &&
        prompt.find(options_.crashOn_) != std::string::npos) {
      timers_.After(Duration(options_.tokenMicros_), [] { std::_Exit(1); });
    }
    if (aBody.value("stream", false)) {
      StartStream(aBody, model, maxTokens, aReply);
      return;
    }
    const std::uint64_t tokens =
      maxTokens / 2 + random_.Below(maxTokens / 2 + 1) + 1;
    const std::uint64_t number = ++generations_;
    const TimePoint start = clock_.Now();
    const Duration perToken{ options_.tokenMicros_ };
    timers_.After(perToken * tokens,
                  [this, model, tokens, number, start, aReply, prompt] {
                    aReply->Send(Finish(model, prompt, tokens, number, start));
                  });
  }

  void StartStream(const Json& aBody,
                   const std::string& aModel,
                   std::uint64_t aMaxTokens,
                   const HttpReplyPtr& aReply)
  {
    const std::uint64_t from =
      options_.noResume_ ? 0 : aBody.value("resume_from", std::uint64_t{ 0 });
    const StreamSpec spec{
      aModel, aBody.value("prompt", ""), aMaxTokens, from
    };
    const auto onEnd = [this, aModel, from](bool aComplete) {
      {
        const std::lock_guard lock(mutex_);
        --running_;
      }
      orders_.EndGeneration(aModel);
      recorder_.Write({ { "kind", "stream" },
                        { "engine", options_.name_ },
                        { "from", from },
                        { "whole", aComplete } });
    };
    std::make_shared<TokenStream>(
      options_, orders_, timers_, spec, aReply, onEnd)
      ->Start();
  }

  HttpResponse Finish(const std::string& aModel,
                      const std::string& aPrompt,
                      std::uint64_t aTokens,
                      std::uint64_t aNumber,
                      TimePoint aStart)
  {
    const std::lock_guard lock(mutex_);
    --running_;
    orders_.EndGeneration(aModel);
    const std::string text = aPrompt.substr(0, 40) + " ... " + options_.name_ +
                             "#" + std::to_string(aNumber);
    const Json spans = orders_.Spans(aModel, aTokens, aStart);
    recorder_.Write({ { "kind", "generation" },
                      { "engine", options_.name_ },
                      { "model", aModel },
                      { "text", text },
                      { "weight_versions", spans } });
    const Json body{
      { "object", "text_completion" },
      { "model", aModel },
      { "choices", { { { "text", text }, { "finish_reason", "stop" } } } },
      { "usage", { { "completion_tokens", aTokens } } },
      { "weight_versions", spans },
    };
    return JsonResponse(200, body.dump());
  }

  const Options& options_;
  Recorder recorder_;
  SystemClock clock_;
  std::mutex mutex_;
  Random random_;
  std::uint64_t running_ = 0;
  std::uint64_t generations_ = 0;
  EngineOrders orders_;
  Timers timers_;
};

} // namespace

int
RunEngine(const Options& aOptions)
{
  Engine engine(aOptions);
  return ServeUntilStopped(
    aOptions,
    [&engine](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
      engine.Handle(aRequest, aReply);
    });
}

} // namespace marjoramtally::standin
