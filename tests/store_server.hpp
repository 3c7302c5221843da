/// The platform's store on a loopback socket, and the client that gateways of a
/// test share with the real HTTP client.
#pragma once

#include "fake_store.hpp"
#include "json_fields.hpp"
#include "loopback_listener.hpp"
#include "names.hpp"
#include "platform.hpp"

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <unistd.h>

namespace marjoramtally::test {

/// How the store goes down while it executes a write.
struct StoreOutage
{
  /// Whether the connection of that write is closed without an answer; else it
  /// stays open and silent.
  bool closes_ = true;
  /// Status of all later calls; 0: their connections are closed.
  int status_ = 503;
};

/// Keeps records in memory; each connection is served by its own thread.
class StoreServer
{
public:
  StoreServer()
    : listener_(ListenOnLoopback(16))
    , acceptor_([this] { AcceptAll(); })
  {
  }

  ~StoreServer()
  {
    shutdown(listener_.socket_, SHUT_RDWR);
    acceptor_.join();
    close(listener_.socket_);
    {
      const std::lock_guard lock(mutex_);
      for (const int connection : connections_) {
        shutdown(connection, SHUT_RDWR);
      }
    }
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  [[nodiscard]] std::string Address() const { return listener_.Address(); }

  /// The next write is executed and not answered, and the store is down from
  /// then on.
  void GoDownAtNextWrite(StoreOutage aOutage)
  {
    const std::lock_guard lock(mutex_);
    next_ = aOutage;
  }

  void Return()
  {
    const std::lock_guard lock(mutex_);
    next_.reset();
    down_.reset();
  }

  [[nodiscard]] bool Has(const std::string& aKey)
  {
    const std::lock_guard lock(mutex_);
    return records_.contains(aKey);
  }

private:
  /// What a call gets: a response, or nothing.
  struct Answer
  {
    int status_ = 200;
    std::string body_;
    bool answers_ = true;
    bool closes_ = false;
  };

  void AcceptAll()
  {
    int connection = 0;
    while ((connection = accept(listener_.socket_, nullptr, nullptr)) >= 0) {
      const std::lock_guard lock(mutex_);
      connections_.insert(connection);
      threads_.emplace_back([this, connection] { Serve(connection); });
    }
  }

  void Serve(int aConnection)
  {
    std::string bytes;
    while (ReadRequest(aConnection, bytes)) {
      const std::size_t head = bytes.find("\r\n\r\n");
      const Answer answer =
        Execute(bytes.substr(0, bytes.find("\r\n")), bytes.substr(head + 4));
      bytes.clear();
      if (answer.answers_) {
        Send(aConnection, answer);
      }
      if (answer.closes_) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(aConnection);
    close(aConnection);
  }

  /// Reads one request with all of its body.
  /// @returns false if the connection has ended
  static bool ReadRequest(int aConnection, std::string& aBytes)
  {
    constexpr std::string_view kLength = "Content-Length: ";
    std::array<char, 4096> part{};
    for (;;) {
      const std::size_t head = aBytes.find("\r\n\r\n");
      if (head != std::string::npos) {
        const std::size_t at = aBytes.find(kLength);
        const std::size_t body =
          at == std::string::npos
            ? 0
            : std::stoul(aBytes.substr(at + kLength.size()));
        if (aBytes.size() >= head + 4 + body) {
          return true;
        }
      }
      const ssize_t got = read(aConnection, part.data(), part.size());
      if (got <= 0) {
        return false;
      }
      aBytes.append(part.data(), static_cast<std::size_t>(got));
    }
  }

  static void Send(int aConnection, const Answer& aAnswer)
  {
    const std::string text =
      "HTTP/1.1 " + std::to_string(aAnswer.status_) +
      " x\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(aAnswer.body_.size()) + "\r\n\r\n" + aAnswer.body_;
    static_cast<void>(
      send(aConnection, text.data(), text.size(), MSG_NOSIGNAL));
  }

  Answer Execute(const std::string& aLine, const std::string& aBody)
  {
    const std::lock_guard lock(mutex_);
    if (down_) {
      return { down_->status_, "{}", down_->status_ != 0, down_->status_ == 0 };
    }
    if (!aLine.starts_with("POST")) {
      return { 200, Range(aLine), true, false };
    }
    Answer answer = Write(wire::Json::parse(aBody));
    if (next_) {
      down_ = std::exchange(next_, std::nullopt);
      answer.answers_ = false;
      answer.closes_ = down_->closes_;
    }
    return answer;
  }

  Answer Write(const wire::Json& aTxn)
  {
    for (const wire::Json& row : aTxn.at("expected")) {
      const auto it = records_.find(row.at("key").get<std::string>());
      const std::uint64_t found =
        it == records_.end() ? 0 : it->second.modRevision_;
      if (found != row.at("revision").get<std::uint64_t>()) {
        return { 412, R"({"items":[]})", true, false };
      }
    }
    ++revision_;
    for (const wire::Json& row : aTxn.at("writes")) {
      StoreRecord& record = records_[row.at("key").get<std::string>()];
      record.value_ = row.at("value").get<std::string>();
      record.modRevision_ = revision_;
    }
    return {
      200, R"({"revision":)" + std::to_string(revision_) + "}", true, false
    };
  }

  [[nodiscard]] std::string Range(const std::string& aLine) const
  {
    // The keys that are read here need no escapes but that of the slash.
    constexpr std::string_view kPrefix = "prefix=";
    const std::size_t at = aLine.find(kPrefix) + kPrefix.size();
    std::string prefix = aLine.substr(at, aLine.find_first_of("& ", at) - at);
    for (std::size_t slash = 0;
         (slash = prefix.find("%2F")) != std::string::npos;) {
      prefix.replace(slash, 3, "/");
    }
    wire::Json items = wire::Json::array();
    for (const auto& [key, record] : records_) {
      if (key.starts_with(prefix)) {
        items.push_back({ { "key", key },
                          { "value", record.value_ },
                          { "revision", record.modRevision_ },
                          { "created_at", record.modRevision_ },
                          { "lease", 0 } });
      }
    }
    return wire::Json{
      { "items", std::move(items) },
      { "has_more", false },
      { "as_of", revision_ }
    }.dump();
  }

  LoopbackListener listener_;
  std::mutex mutex_;
  std::set<int> connections_;
  std::vector<std::thread> threads_;
  std::optional<StoreOutage> next_;
  std::optional<StoreOutage> down_;
  std::uint64_t revision_ = 100;
  /// Values are kept in base64.
  std::map<std::string, StoreRecord> records_;
  std::thread acceptor_;
};

/// Answers of the real store client, which the test's thread handles.
class AnswerQueue
{
public:
  void Begin()
  {
    const std::lock_guard lock(mutex_);
    ++open_;
  }

  void Post(std::function<void()> aAnswer)
  {
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(aAnswer));
    changed_.notify_all();
  }

  /// Handles answers until no call is open.
  void Drain()
  {
    std::unique_lock lock(mutex_);
    while (open_ > 0) {
      changed_.wait(lock, [this] { return !answers_.empty(); });
      const auto answer = std::move(answers_.front());
      answers_.pop_front();
      --open_;
      lock.unlock();
      answer();
      lock.lock();
    }
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> answers_;
  std::size_t open_ = 0;
};

/// Sends reads and writes to a real store with connections of its own; leases
/// and watches are those of a fake one.
class SocketStore final : public Store
{
public:
  SocketStore(FakeStore& aRest,
              LoopTimers& aTimers,
              AnswerQueue& aAnswers,
              const std::string& aAddress)
    : rest_(aRest)
    , answers_(aAnswers)
    , client_(HttpClient::Create(1))
    , store_(MakePlatformStore(*client_,
                               aTimers,
                               { aAddress, std::chrono::milliseconds(300) }))
  {
  }

  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    store_->Read(std::move(aPrefix), Posted(std::move(aDone)));
  }
  void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) override
  {
    store_->Commit(std::move(aTxn), Posted(std::move(aDone)));
  }
  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override
  {
    rest_.GrantLease(aTtl, std::move(aDone));
  }
  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override
  {
    rest_.KeepAlive(aLease, std::move(aDone));
  }
  void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) override
  {
    rest_.RevokeLease(aLease, std::move(aDone));
  }
  void ReadEarlier(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    rest_.ReadEarlier(std::move(aPrefix), std::move(aDone));
  }
  StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) override
  {
    return rest_.Watch(std::move(aPrefix), aFromRevision, std::move(aOnBatch));
  }
  void StopWatch(StoreWatchId aWatch) override { rest_.StopWatch(aWatch); }

private:
  template<typename T>
  StoreDone<T> Posted(StoreDone<T> aDone)
  {
    answers_.Begin();
    return [this, done = std::move(aDone)](const Result<T>& aResult) {
      answers_.Post([done, aResult] { done(aResult); });
    };
  }

  FakeStore& rest_;
  AnswerQueue& answers_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<Store> store_;
};

} // namespace marjoramtally::test
