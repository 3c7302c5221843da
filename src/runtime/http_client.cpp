#include "marjoramtally/runtime/http_client.hpp"

#include <atomic>
#include <cstring>
#include <curl/curl.h>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace marjoramtally {

namespace {

constexpr int kPollMillis = 1000;
/// Idle connections kept by each sending thread.
constexpr long kIdleConnections = 512;

/// One call in progress; its address is the handle's private pointer.
struct Transfer
{
  HttpCallId id_ = 0;
  HttpCall call_;
  HttpDone done_;
  HttpResponse response_;
  CURL* easy_ = nullptr;
  curl_slist* headerList_ = nullptr;
  bool headSeen_ = false;
  bool cancelled_ = false;
};

std::string_view
TrimValue(std::string_view aText) noexcept
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == '\r' || aText.back() == '\n' ||
                            aText.back() == ' ')) {
    aText.remove_suffix(1);
  }
  return aText;
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
{
  auto& transfer = *static_cast<Transfer*>(aUser);
  const std::string_view line(aData, aSize * aCount);
  if (line.starts_with("HTTP/")) {
    transfer.response_.headers_.clear();
    return line.size();
  }
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    transfer.response_.headers_.push_back(
      { std::string(line.substr(0, colon)),
        std::string(TrimValue(line.substr(colon + 1))) });
  }
  return line.size();
}

/// Reports the head once, before the first piece of the body.
void
ReportHead(Transfer& aTransfer)
{
  if (aTransfer.headSeen_) {
    return;
  }
  aTransfer.headSeen_ = true;
  long status = 0;
  curl_easy_getinfo(aTransfer.easy_, CURLINFO_RESPONSE_CODE, &status);
  aTransfer.response_.status_ = static_cast<int>(status);
  if (aTransfer.call_.onHead_) {
    aTransfer.call_.onHead_(aTransfer.response_.status_,
                            aTransfer.response_.headers_);
  }
}

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
{
  auto& transfer = *static_cast<Transfer*>(aUser);
  const std::size_t bytes = aSize * aCount;
  ReportHead(transfer);
  if (!transfer.call_.onData_) {
    transfer.response_.body_.append(aData, bytes);
    return bytes;
  }
  if (transfer.call_.onData_(std::string_view(aData, bytes))) {
    return bytes;
  }
  transfer.cancelled_ = true;
  return 0;
}

/// One sending thread with its connections.
class Worker
{
public:
  Worker()
    : multi_(curl_multi_init())
  {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kIdleConnections);
    thread_ = std::thread([this] { Run(); });
  }

  ~Worker()
  {
    stopping_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    for (CURL* easy : idle_) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
  }

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void Post(std::unique_ptr<Transfer> aTransfer)
  {
    {
      const std::lock_guard lock(mutex_);
      incoming_.push_back(std::move(aTransfer));
    }
    curl_multi_wakeup(multi_);
  }

  void Cancel(HttpCallId aId)
  {
    {
      const std::lock_guard lock(mutex_);
      cancels_.push_back(aId);
    }
    curl_multi_wakeup(multi_);
  }

private:
  void Run()
  {
    while (!stopping_) {
      TakeIncoming();
      int running = 0;
      curl_multi_perform(multi_, &running);
      CollectFinished();
      curl_multi_poll(multi_, nullptr, 0, kPollMillis, nullptr);
    }
    StopAll();
  }

  void TakeIncoming()
  {
    std::vector<std::unique_ptr<Transfer>> incoming;
    std::vector<HttpCallId> cancels;
    {
      const std::lock_guard lock(mutex_);
      incoming.swap(incoming_);
      cancels.swap(cancels_);
    }
    for (auto& transfer : incoming) {
      StartTransfer(std::move(transfer));
    }
    for (const HttpCallId id : cancels) {
      const auto it = active_.find(id);
      if (it != active_.end()) {
        it->second->cancelled_ = true;
        FinishTransfer(*it->second, CURLE_ABORTED_BY_CALLBACK);
      }
    }
  }

  CURL* TakeHandle()
  {
    if (idle_.empty()) {
      return curl_easy_init();
    }
    CURL* easy = idle_.back();
    idle_.pop_back();
    curl_easy_reset(easy);
    return easy;
  }

  void StartTransfer(std::unique_ptr<Transfer> aTransfer)
  {
    Transfer& transfer = *aTransfer;
    transfer.easy_ = TakeHandle();
    SetOptions(transfer);
    active_.emplace(transfer.id_, std::move(aTransfer));
    curl_multi_add_handle(multi_, transfer.easy_);
  }

  static void SetOptions(Transfer& aTransfer)
  {
    CURL* easy = aTransfer.easy_;
    const HttpCall& call = aTransfer.call_;
    const auto millis = [](Duration aDuration) {
      const auto count =
        std::chrono::ceil<std::chrono::milliseconds>(aDuration).count();
      return static_cast<long>(std::max<std::int64_t>(count, 1));
    };
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &aTransfer);
    curl_easy_setopt(easy, CURLOPT_URL, call.url_.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, millis(call.timeout_));
    curl_easy_setopt(
      easy, CURLOPT_CONNECTTIMEOUT_MS, millis(call.connectTimeout_));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
    if (call.atMostOnce_) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    for (const HttpHeader& header : call.headers_) {
      const std::string line = header.name_ + ": " + header.value_;
      aTransfer.headerList_ =
        curl_slist_append(aTransfer.headerList_, line.c_str());
    }
    aTransfer.headerList_ = curl_slist_append(aTransfer.headerList_, "Expect:");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aTransfer.headerList_);
    if (call.method_ != "GET") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body_.data());
      curl_easy_setopt(easy,
                       CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body_.size()));
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method_.c_str());
    }
  }

  void CollectFinished()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      FinishTransfer(*transfer, code);
    }
  }

  static HttpEnd Classify(const Transfer& aTransfer, CURLcode aCode)
  {
    if (aCode == CURLE_OK) {
      return HttpEnd::Whole;
    }
    long sentBytes = 0;
    curl_easy_getinfo(aTransfer.easy_, CURLINFO_REQUEST_SIZE, &sentBytes);
    if (sentBytes == 0) {
      return HttpEnd::NotSent;
    }
    if (aTransfer.cancelled_) {
      return HttpEnd::Cancelled;
    }
    return aCode == CURLE_OPERATION_TIMEDOUT ? HttpEnd::TimedOut
                                             : HttpEnd::Broken;
  }

  void FinishTransfer(Transfer& aTransfer, CURLcode aCode)
  {
    HttpResult result;
    result.end_ = Classify(aTransfer, aCode);
    if (result.end_ == HttpEnd::Whole) {
      ReportHead(aTransfer);
    } else {
      result.message_ = curl_easy_strerror(aCode);
    }
    curl_multi_remove_handle(multi_, aTransfer.easy_);
    curl_slist_free_all(aTransfer.headerList_);
    idle_.push_back(aTransfer.easy_);
    const auto node = active_.extract(aTransfer.id_);
    result.response_ = std::move(aTransfer.response_);
    aTransfer.done_(std::move(result));
  }

  void StopAll()
  {
    TakeIncoming();
    while (!active_.empty()) {
      Transfer& transfer = *active_.begin()->second;
      transfer.cancelled_ = true;
      FinishTransfer(transfer, CURLE_ABORTED_BY_CALLBACK);
    }
  }

  CURLM* multi_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::vector<std::unique_ptr<Transfer>> incoming_;
  std::vector<HttpCallId> cancels_;
  std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> active_;
  std::vector<CURL*> idle_;
  std::thread thread_;
};

class CurlClient final : public HttpClient
{
public:
  explicit CurlClient(std::uint32_t aThreads)
  {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    for (std::uint32_t i = 0; i < aThreads; ++i) {
      workers_.push_back(std::make_unique<Worker>());
    }
  }

  HttpCallId Send(HttpCall aCall, HttpDone aDone) override
  {
    auto transfer = std::make_unique<Transfer>();
    transfer->id_ = ++lastId_;
    transfer->call_ = std::move(aCall);
    transfer->done_ = std::move(aDone);
    const HttpCallId id = transfer->id_;
    workers_[id % workers_.size()]->Post(std::move(transfer));
    return id;
  }

  void Cancel(HttpCallId aId) override
  {
    workers_[aId % workers_.size()]->Cancel(aId);
  }

private:
  std::atomic<HttpCallId> lastId_{ 0 };
  std::vector<std::unique_ptr<Worker>> workers_;
};

} // namespace

std::unique_ptr<HttpClient>
HttpClient::Create(std::uint32_t aThreads)
{
  return std::make_unique<CurlClient>(std::max(aThreads, 1U));
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
