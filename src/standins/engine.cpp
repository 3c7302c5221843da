/// Stand-in of a model engine: completions that take time by the token,
/// weight versions that change while they run, orders with fencing numbers.

#include "standins/standin.hpp"

namespace marjoramtally::standin {

namespace {

constexpr auto kLoadTime = std::chrono::milliseconds(30);
constexpr std::uint64_t kThousand = 1000;

/// From `at_` on the model had this version.
struct Swap
{
  TimePoint at_;
  std::uint64_t version_ = 0;
};

class Engine
{
public:
  explicit Engine(const Options& aOptions)
    : options_(aOptions)
    , recorder_(aOptions.recordFile_)
    , random_(std::hash<std::string>{}(aOptions.name_))
    , client_(HttpClient::Create(1))
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
      Complete(body, aReply);
    } else if (aRequest.path_ == "/orders") {
      Order(body, aReply);
    } else {
      aReply->Send(ErrorResponse(404, "not_found", aRequest.path_));
    }
  }

private:
  HttpResponse Load()
  {
    const std::lock_guard lock(mutex_);
    Json models = Json::object();
    for (const auto& [model, swaps] : models_) {
      models[model] = swaps.back().version_;
    }
    return JsonResponse(
      200,
      Json{ { "running", running_ }, { "queued", 0 }, { "models", models } }
        .dump());
  }

  void Complete(const Json& aBody, const HttpReplyPtr& aReply)
  {
    const std::string model = aBody.value("model", "");
    const auto most = aBody.value("max_tokens", std::uint64_t{ 16 });
    const std::lock_guard lock(mutex_);
    if (!models_.contains(model)) {
      HttpResponse refusal =
        ErrorResponse(503, "no_model", "this model is not loaded");
      refusal.headers_.push_back({ "X-Outcome", "refused-not-run" });
      aReply->Send(std::move(refusal));
      return;
    }
    ++running_;
    const std::uint64_t tokens = most / 2 + random_.Below(most / 2 + 1) + 1;
    const std::uint64_t number = ++generations_;
    const TimePoint start = clock_.Now();
    const Duration perToken{ options_.tokenMicros_ };
    timers_.After(perToken * tokens,
                  [this,
                   model,
                   tokens,
                   number,
                   start,
                   aReply,
                   prompt = aBody.value("prompt", "")] {
                    aReply->Send(Finish(model, prompt, tokens, number, start));
                  });
  }

  Json Spans(const std::string& aModel, std::uint64_t aTokens, TimePoint aStart)
  {
    Json spans = Json::array();
    const Duration perToken{ options_.tokenMicros_ };
    for (std::uint64_t i = 0; i < aTokens; ++i) {
      const TimePoint at = aStart + perToken * i;
      std::uint64_t version = models_[aModel].front().version_;
      for (const Swap& swap : models_[aModel]) {
        version = swap.at_ <= at ? swap.version_ : version;
      }
      if (spans.empty() || spans.back()["version"] != version) {
        spans.push_back({ { "version", version }, { "from", i } });
      }
      spans.back()["to"] = i + 1;
    }
    return spans;
  }

  HttpResponse Finish(const std::string& aModel,
                      const std::string& aPrompt,
                      std::uint64_t aTokens,
                      std::uint64_t aNumber,
                      TimePoint aStart)
  {
    const std::lock_guard lock(mutex_);
    --running_;
    const std::string text = aPrompt.substr(0, 40) + " ... " + options_.name_ +
                             "#" + std::to_string(aNumber);
    const Json spans = Spans(aModel, aTokens, aStart);
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

  void Order(const Json& aBody, const HttpReplyPtr& aReply)
  {
    const auto fencing = aBody.value("fencing", std::uint64_t{ 0 });
    const std::string model = aBody.value("model", "");
    const auto version = aBody.value("version", std::uint64_t{ 0 });
    {
      const std::lock_guard lock(mutex_);
      if (!options_.ignoreFencing_ && fencing < fencing_) {
        aReply->Send(ErrorResponse(409, "conflict", "an old fencing number"));
        return;
      }
      fencing_ = std::max(fencing_, fencing);
    }
    HttpCall call;
    call.url_ = "http://" + options_.weightStore_ + "/weights/" + model + "/" +
                std::to_string(version);
    client_->Send(std::move(call),
                  [this, model, version, aReply](const HttpResult& aResult) {
                    FinishLoad(model, version, aResult, aReply);
                  });
  }

  void FinishLoad(const std::string& aModel,
                  std::uint64_t aVersion,
                  const HttpResult& aResult,
                  const HttpReplyPtr& aReply)
  {
    const bool loaded =
      aResult.end_ == HttpEnd::Whole && aResult.response_.status_ == 200;
    bool fails = false;
    {
      const std::lock_guard lock(mutex_);
      fails = !loaded || random_.Below(kThousand) < options_.swapFailures_;
    }
    if (fails) {
      aReply->Send(ErrorResponse(500, "swap_failed", "the swap failed"));
      return;
    }
    timers_.After(kLoadTime, [this, aModel, aVersion, aReply] {
      {
        const std::lock_guard lock(mutex_);
        models_[aModel].push_back({ clock_.Now(), aVersion });
      }
      recorder_.Write({ { "kind", "swap" },
                        { "engine", options_.name_ },
                        { "model", aModel },
                        { "version", aVersion } });
      aReply->Send(JsonResponse(200, R"({"done":true})"));
    });
  }

  const Options& options_;
  Recorder recorder_;
  SystemClock clock_;
  std::mutex mutex_;
  Random random_;
  std::map<std::string, std::vector<Swap>> models_;
  std::uint64_t running_ = 0;
  std::uint64_t generations_ = 0;
  std::uint64_t fencing_ = 0;
  std::unique_ptr<HttpClient> client_;
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
