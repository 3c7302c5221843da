/// The real HTTP client, and an upstream on a socket that sends what the test
/// says, for components that otherwise run on one loop with fakes.
#pragma once

#include "loopback_listener.hpp"
#include "marjoramtally/runtime/http_client.hpp"

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace marjoramtally::test {

/// Callbacks of calls and the test take turns, as on one loop.
class SocketClient final : public HttpClient
{
public:
  HttpCallId Send(HttpCall aCall, HttpDone aDone) override
  {
    aCall.onHead_ = TakingTurns(std::move(aCall.onHead_));
    aCall.onData_ = TakingTurns(std::move(aCall.onData_));
    aCall.mayReceive_ = TakingTurns(std::move(aCall.mayReceive_));
    ++sent_;
    return client_->Send(std::move(aCall),
                         [this, done = std::move(aDone)](HttpResult aResult) {
                           const std::lock_guard lock(mutex_);
                           done(std::move(aResult));
                           changed_.notify_all();
                         });
  }
  void Cancel(HttpCallId aId) override { client_->Cancel(aId); }
  void Resume(HttpCallId aId) override { client_->Resume(aId); }

  /// Runs a part of the test while no callback runs.
  template<typename F>
  auto Run(F aPart)
  {
    const std::lock_guard lock(mutex_);
    return aPart();
  }

  /// @returns whether the condition held within a time that no call of these
  /// tests needs
  template<typename F>
  [[nodiscard]] bool WaitFor(F aCondition)
  {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(20), aCondition);
  }

  [[nodiscard]] std::size_t Sent() const noexcept { return sent_; }

private:
  template<typename R, typename... Args>
  std::function<R(Args...)> TakingTurns(std::function<R(Args...)> aCallback)
  {
    if (!aCallback) {
      return {};
    }
    return [this, callback = std::move(aCallback)](Args... aArgs) {
      const std::lock_guard lock(mutex_);
      return callback(std::forward<Args>(aArgs)...);
    };
  }

  std::recursive_mutex mutex_;
  std::condition_variable_any changed_;
  std::size_t sent_ = 0;
  std::unique_ptr<HttpClient> client_ = HttpClient::Create(1);
};

/// Answers each request on a connection of its own with the same bytes, in
/// which `{id}` stands for the value of one of the request's header fields, and
/// closes the connection.
class CuttingServer
{
public:
  /// @param aIdHeader name of that field
  /// @param aResets whether connections are reset instead of closed
  explicit CuttingServer(std::string aBytes,
                         std::string aIdHeader = {},
                         bool aResets = false)
    : listener_(ListenOnLoopback(16))
    , bytes_(std::move(aBytes))
    , idHeader_(std::move(aIdHeader))
    , resets_(aResets)
    , thread_([this] { ServeAll(); })
  {
  }

  ~CuttingServer()
  {
    shutdown(listener_.socket_, SHUT_RDWR);
    thread_.join();
    close(listener_.socket_);
  }

  CuttingServer(const CuttingServer&) = delete;
  CuttingServer& operator=(const CuttingServer&) = delete;

  [[nodiscard]] std::string Address() const { return listener_.Address(); }
  [[nodiscard]] int Requests() const noexcept { return requests_; }

private:
  void ServeAll()
  {
    int connection = 0;
    while ((connection = accept(listener_.socket_, nullptr, nullptr)) >= 0) {
      const std::string request = ReadRequest(connection);
      if (!request.empty()) {
        ++requests_;
        const std::string answer = Answer(request);
        static_cast<void>(
          send(connection, answer.data(), answer.size(), MSG_NOSIGNAL));
      }
      if (resets_) {
        const linger atOnce{ 1, 0 };
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
      }
      close(connection);
    }
  }

  /// @returns a request with all of its body; empty if the connection ended
  static std::string ReadRequest(int aConnection)
  {
    std::string bytes;
    std::array<char, 4096> part{};
    for (;;) {
      const std::size_t head = bytes.find("\r\n\r\n");
      if (head != std::string::npos) {
        const std::string length = Field(bytes, "Content-Length");
        const std::size_t body = length.empty() ? 0 : std::stoul(length);
        if (bytes.size() >= head + 4 + body) {
          return bytes;
        }
      }
      const ssize_t got = read(aConnection, part.data(), part.size());
      if (got <= 0) {
        return {};
      }
      bytes.append(part.data(), static_cast<std::size_t>(got));
    }
  }

  static std::string Field(const std::string& aRequest,
                           const std::string& aName)
  {
    const std::string begin = "\r\n" + aName + ": ";
    const std::size_t at = aRequest.find(begin);
    if (aName.empty() || at == std::string::npos) {
      return {};
    }
    const std::size_t value = at + begin.size();
    return aRequest.substr(value, aRequest.find("\r\n", value) - value);
  }

  [[nodiscard]] std::string Answer(const std::string& aRequest) const
  {
    constexpr std::string_view kPlace = "{id}";
    std::string answer = bytes_;
    const std::string id = Field(aRequest, idHeader_);
    for (std::size_t at = 0; (at = answer.find(kPlace)) != std::string::npos;) {
      answer.replace(at, kPlace.size(), id);
    }
    return answer;
  }

  LoopbackListener listener_;
  std::string bytes_;
  std::string idHeader_;
  bool resets_;
  std::atomic<int> requests_{ 0 };
  std::thread thread_;
};

} // namespace marjoramtally::test
