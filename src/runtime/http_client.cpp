#include "marjoramtally/runtime/http_client.hpp"

#include "runtime/curl_loop.hpp"

#include <atomic>
#include <future>

namespace marjoramtally {

namespace {

class CurlClient final : public HttpClient
{
public:
  explicit CurlClient(std::shared_ptr<IoPool> aPool)
    : pool_(std::move(aPool))
  {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    for (std::size_t i = 0; i < pool_->Size(); ++i) {
      loops_.push_back(std::make_unique<CurlLoop>(pool_->Loop(i).Context()));
    }
  }

  ~CurlClient() override
  {
    pool_->Stop();
    for (const auto& loop : loops_) {
      loop->CancelAll();
    }
  }

  /// The id modulo the number of loops is the loop's index, so that `Cancel`
  /// finds it.
  HttpCallId Send(HttpCall aCall, HttpDone aDone) override
  {
    const std::size_t loop = pool_->Pick();
    const HttpCallId id = ++lastNumber_ * loops_.size() + loop;
    loops_[loop]->Post(
      std::make_unique<CurlTransfer>(id, std::move(aCall), std::move(aDone)));
    return id;
  }

  void Cancel(HttpCallId aId) override
  {
    loops_[aId % loops_.size()]->Cancel(aId);
  }

  void Resume(HttpCallId aId) override
  {
    loops_[aId % loops_.size()]->Resume(aId);
  }

private:
  std::shared_ptr<IoPool> pool_;
  std::atomic<HttpCallId> lastNumber_{ 0 };
  std::vector<std::unique_ptr<CurlLoop>> loops_;
};

} // namespace

std::unique_ptr<HttpClient>
HttpClient::Create(std::uint32_t aThreads)
{
  return Create(IoPool::Create(aThreads));
}

std::unique_ptr<HttpClient>
HttpClient::Create(std::shared_ptr<IoPool> aPool)
{
  return std::make_unique<CurlClient>(std::move(aPool));
}

HttpResult
SendAndWait(HttpClient& aClient, HttpCall aCall)
{
  std::promise<HttpResult> promise;
  auto future = promise.get_future();
  aClient.Send(std::move(aCall), [&promise](HttpResult aResult) {
    promise.set_value(std::move(aResult));
  });
  return future.get();
}

} // namespace marjoramtally
