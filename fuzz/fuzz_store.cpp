/// Arbitrary answers of the store of the users' platform: each call ends
/// exactly once with a value or an error, and a watch reports each answer until
/// it has ended.

#include "marjoramtally/runtime/log.hpp"
#include "platform.hpp"

#include <array>
#include <cstdlib>
#include <deque>

namespace marjoramtally {

// Discards the log lines of the store's client.
void
LogEvent(LogLevel, std::string_view, std::initializer_list<LogField>)
{
}

namespace {

constexpr std::array<int, 8> kStatuses{ 200, 412, 404, 410, 429, 503, 500, 0 };
/// More calls than any operation needs; detects endless paging.
constexpr int kMaxCalls = 32;

class FuzzClient final : public HttpClient
{
public:
  HttpCallId Send(HttpCall, HttpDone aDone) override
  {
    waiting_.push_back(std::move(aDone));
    return ++last_;
  }
  void Cancel(HttpCallId) override {}
  void Resume(HttpCallId) override {}

  /// Answers all calls, including those made meanwhile, with the same result.
  void AnswerAll(const HttpResult& aResult)
  {
    for (int calls = 0; !waiting_.empty(); ++calls) {
      if (calls > kMaxCalls) {
        std::abort();
      }
      const HttpDone done = std::move(waiting_.front());
      waiting_.pop_front();
      done(aResult);
    }
  }

private:
  HttpCallId last_ = 0;
  std::deque<HttpDone> waiting_;
};

class FuzzTimers final : public LoopTimers
{
public:
  LoopTimerId After(Duration aDelay, std::function<void()> aTask) override
  {
    if (aDelay < Duration{ 0 }) {
      std::abort();
    }
    tasks_.push_back(std::move(aTask));
    return tasks_.size();
  }
  void Cancel(LoopTimerId) override {}

  void RunAll()
  {
    for (const auto& task : std::exchange(tasks_, {})) {
      task();
    }
  }

private:
  std::vector<std::function<void()>> tasks_;
};

HttpResult
MakeResult(std::string_view aBytes)
{
  const int status =
    kStatuses.at(static_cast<std::uint8_t>(aBytes.front()) % kStatuses.size());
  HttpResult result;
  if (status == 0) {
    result.end_ = HttpEnd::Broken;
    return result;
  }
  result.end_ = HttpEnd::Complete;
  result.response_.status_ = status;
  result.response_.body_ = aBytes.substr(1);
  return result;
}

} // namespace

} // namespace marjoramtally

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace marjoramtally;
  if (aSize == 0) {
    return 0;
  }
  const HttpResult answer =
    MakeResult({ reinterpret_cast<const char*>(aData), aSize });
  FuzzClient client;
  FuzzTimers timers;
  const auto store = MakePlatformStore(client, timers, {});
  int ends = 0;
  const auto count = [&ends](const auto&) { ++ends; };
  store->Read("p/", count);
  store->ReadAfter("p/", "p/a", count);
  store->Commit({}, count);
  store->GrantLease(std::chrono::seconds(2), count);
  store->KeepAlive(7, count);
  store->RevokeLease(7, count);
  client.AnswerAll(answer);
  constexpr int kOperations = 6;
  if (ends != kOperations) {
    std::abort();
  }
  int batches = 0;
  bool ended = false;
  store->Watch("p/", 5, [&](const StoreWatchBatch& aBatch) {
    if (ended) {
      std::abort();
    }
    ++batches;
    ended = aBatch.ended_;
  });
  client.AnswerAll(answer);
  timers.RunAll();
  client.AnswerAll(answer);
  if (batches != (ended ? 1 : 2)) {
    std::abort();
  }
  return 0;
}
