/// Stand-ins of a plain service, the weight store and a scorer.

#include "standins/standin.hpp"

#include <set>

namespace marjoramtally::standin {

int
RunPlain(const Options& aOptions)
{
  Timers timers;
  Recorder recorder(aOptions.recordFile_);
  std::atomic<std::uint64_t> running{ 0 };
  const Duration work{ aOptions.serviceMicros_ };
  const auto answer = [&](const HttpRequest& aRequest,
                          const HttpReplyPtr& aReply) {
    if (aRequest.path_ == "/load") {
      aReply->Send(JsonResponse(200,
                                Json{ { "running", running.load() },
                                      { "queued", 0 },
                                      { "models", Json::object() } }
                                  .dump()));
      return;
    }
    ++running;
    timers.After(work, [&, aRequest, aReply] {
      --running;
      recorder.Write({ { "kind", "call" }, { "body", aRequest.body_ } });
      aReply->Send(JsonResponse(200,
                                Json{ { "service", aOptions.name_ },
                                      { "path", aRequest.path_ },
                                      { "echo", aRequest.body_ } }
                                  .dump()));
    });
  };
  return ServeUntilStopped(aOptions, answer);
}

namespace {

/// Stores only the names of weights and answers 429 to reads above its rate.
class WeightStore
{
public:
  explicit WeightStore(const Options& aOptions)
    : ratePerSecond_(static_cast<double>(aOptions.loadRate_))
    , tokens_(ratePerSecond_)
    , recorder_(aOptions.recordFile_)
  {
  }

  HttpResponse Handle(const HttpRequest& aRequest)
  {
    const std::lock_guard lock(mutex_);
    if (aRequest.method_ == "PUT") {
      stored_.insert(aRequest.path_);
      return JsonResponse(201, R"({"stored":true})");
    }
    const bool allowed = TakeToken();
    recorder_.Write({ { "kind", "load" },
                      { "path", aRequest.path_ },
                      { "at_us", clock_.Now().sinceStart_.count() },
                      { "over_rate", !allowed } });
    if (!allowed) {
      return ErrorResponse(429, "rate_limited", "too many loads a second");
    }
    return stored_.contains(aRequest.path_)
             ? JsonResponse(200, R"({"weights":"..."})")
             : ErrorResponse(404, "not_found", aRequest.path_);
  }

private:
  /// Token bucket; a rate of 0 means unlimited.
  bool TakeToken()
  {
    const TimePoint now = clock_.Now();
    const auto micros = static_cast<double>((now - refilled_).count());
    refilled_ = now;
    tokens_ = std::min(ratePerSecond_, tokens_ + micros * ratePerSecond_ / 1e6);
    if (ratePerSecond_ > 0.0 && tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  double ratePerSecond_;
  double tokens_;
  Recorder recorder_;
  SystemClock clock_;
  TimePoint refilled_ = clock_.Now();
  std::mutex mutex_;
  std::set<std::string> stored_;
};

} // namespace

int
RunWeights(const Options& aOptions)
{
  WeightStore store(aOptions);
  return ServeUntilStopped(
    aOptions,
    [&store](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
      aReply->Send(store.Handle(aRequest));
    });
}

int
RunScorer(const Options& aOptions)
{
  const auto answer = [](const HttpRequest& aRequest,
                         const HttpReplyPtr& aReply) {
    const Json body = Json::parse(aRequest.body_, nullptr, false);
    if (!body.is_object()) {
      aReply->Send(ErrorResponse(400, "bad_input", "no JSON object"));
      return;
    }
    const auto length = body.value("text", "").size();
    const double reward = static_cast<double>(length % 100) / 100.0;
    aReply->Send(JsonResponse(200, Json{ { "reward", reward } }.dump()));
  };
  return ServeUntilStopped(aOptions, answer);
}

} // namespace marjoramtally::standin
