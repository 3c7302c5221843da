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

int
RunWeights(const Options& aOptions)
{
  std::mutex mutex;
  std::set<std::string> stored;
  const auto answer = [&](const HttpRequest& aRequest,
                          const HttpReplyPtr& aReply) {
    const std::lock_guard lock(mutex);
    if (aRequest.method_ == "PUT") {
      stored.insert(aRequest.path_);
      aReply->Send(JsonResponse(201, R"({"stored":true})"));
    } else if (stored.contains(aRequest.path_)) {
      aReply->Send(JsonResponse(200, R"({"weights":"..."})"));
    } else {
      aReply->Send(ErrorResponse(404, "not_found", aRequest.path_));
    }
  };
  return ServeUntilStopped(aOptions, answer);
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
