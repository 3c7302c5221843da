/// Stand-ins and helpers for the scripts of the review: a small HTTP server and
/// client, the platform's store, samplers, and the project's daemons as child
/// processes. Each connection has its own thread; one mutex guards each
/// stand-in.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// ---------------------------------------------------------------- record

/// Writes `record.txt`: one line for each thing sent, answered or run.
class Recorder
{
public:
  explicit Recorder(const std::string& path)
    : file_(std::fopen(path.c_str(), "w"))
    , start_(Clock::now())
  {
  }
  ~Recorder()
  {
    if (file_ != nullptr) {
      std::fclose(file_);
    }
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...)
  {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) {
      return;
    }
    std::fprintf(file_, "%8.3f  ", Seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }
  double Seconds() const
  {
    return std::chrono::duration<double>(Clock::now() - start_).count();
  }

private:
  std::mutex mutex_;
  std::FILE* file_;
  Clock::time_point start_;
};

// ---------------------------------------------------------------- HTTP

struct Request
{
  std::string method_;
  std::string path_;
  std::string query_;
  std::map<std::string, std::string> headers_; // names in lower case
  std::string body_;

  std::string Header(const std::string& name) const
  {
    const auto it = headers_.find(name);
    return it == headers_.end() ? std::string() : it->second;
  }
  std::string Parameter(const std::string& name) const
  {
    std::string rest = query_;
    while (!rest.empty()) {
      const auto end = std::min(rest.find('&'), rest.size());
      const std::string pair = rest.substr(0, end);
      rest.erase(0, std::min(end + 1, rest.size()));
      const auto equals = std::min(pair.find('='), pair.size());
      if (pair.substr(0, equals) == name) {
        return Unescape(pair.substr(std::min(equals + 1, pair.size())));
      }
    }
    return {};
  }
  static std::string Unescape(const std::string& text)
  {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i] == '+' ? ' ' : text[i];
      }
    }
    return out;
  }
};

struct Response
{
  int status_ = 0; // 0: no complete answer
  std::map<std::string, std::string> headers_;
  std::string body_;
  /// Why there is no complete answer.
  std::string error_;
  bool closes_ = false;

  std::string Header(const std::string& name) const
  {
    const auto it = headers_.find(name);
    return it == headers_.end() ? std::string() : it->second;
  }
};

inline std::string
Lower(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// A connection with a read buffer. Closes its socket at the end.
class Connection
{
public:
  explicit Connection(int fd)
    : fd_(fd)
  {
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int Fd() const { return fd_; }
  void Close()
  {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  /// Closes the connection with a reset.
  void Reset()
  {
    if (fd_ >= 0) {
      const linger now{ 1, 0 };
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      Close();
    }
  }
  bool Write(const std::string& bytes)
  {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t n =
        send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Whether the peer has closed or reset the connection.
  bool PeerGone() const
  {
    char byte = 0;
    const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  bool ReadRequest(Request& request)
  {
    std::string head;
    if (!ReadHead(head, Clock::time_point::max())) {
      return false;
    }
    const auto line = head.substr(0, head.find("\r\n"));
    const auto one = line.find(' ');
    const auto two = line.find(' ', one + 1);
    if (one == std::string::npos || two == std::string::npos) {
      return false;
    }
    request = {};
    request.method_ = line.substr(0, one);
    const std::string target = line.substr(one + 1, two - one - 1);
    const auto mark = std::min(target.find('?'), target.size());
    request.path_ = target.substr(0, mark);
    request.query_ = target.substr(std::min(mark + 1, target.size()));
    request.headers_ = Headers(head);
    return ReadBody(
      request.headers_, request.body_, true, Clock::time_point::max());
  }

  /// Reads an answer. The status stays 0 unless it is complete.
  Response ReadResponse(Clock::time_point until)
  {
    Response response;
    std::string head;
    if (!ReadHead(head, until)) {
      response.error_ = error_.empty() ? "no answer" : error_;
      return response;
    }
    const int status = std::atoi(head.substr(9, 3).c_str());
    response.headers_ = Headers(head);
    response.closes_ =
      Lower(response.Header("connection")).find("close") != std::string::npos;
    if (!ReadBody(response.headers_, response.body_, false, until)) {
      response.error_ =
        "status " + std::to_string(status) + ", then broken off after " +
        std::to_string(response.body_.size()) + " bytes: " + error_;
      return response;
    }
    response.status_ = status;
    return response;
  }

private:
  bool Fill(Clock::time_point until)
  {
    if (until != Clock::time_point::max()) {
      const auto left =
        std::chrono::duration_cast<Millis>(until - Clock::now()).count();
      pollfd wanted{ fd_, POLLIN, 0 };
      if (left <= 0 || poll(&wanted, 1, static_cast<int>(left)) <= 0) {
        error_ = "time ran out";
        return false;
      }
    }
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      error_ = n == 0 ? "closed by the peer" : std::strerror(errno);
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  bool ReadHead(std::string& head, Clock::time_point until)
  {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    return true;
  }
  static std::map<std::string, std::string> Headers(const std::string& head)
  {
    std::map<std::string, std::string> headers;
    std::size_t at = head.find("\r\n") + 2;
    while (at < head.size()) {
      const std::size_t end = std::min(head.find("\r\n", at), head.size());
      const std::string line = head.substr(at, end - at);
      at = end + 2;
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ') {
        value.erase(0, 1);
      }
      headers[Lower(line.substr(0, colon))] = value;
    }
    return headers;
  }
  bool ReadBody(const std::map<std::string, std::string>& headers,
                std::string& body,
                bool ofRequest,
                Clock::time_point until)
  {
    const auto coding = headers.find("transfer-encoding");
    if (coding != headers.end() &&
        Lower(coding->second).find("chunked") != std::string::npos) {
      return ReadChunks(body, until);
    }
    const auto length = headers.find("content-length");
    if (length == headers.end()) {
      if (ofRequest) {
        return true;
      }
      while (Fill(until)) {
      }
      body = buffer_;
      buffer_.clear();
      return error_ == "closed by the peer";
    }
    const auto wanted =
      static_cast<std::size_t>(std::atoll(length->second.c_str()));
    while (buffer_.size() < wanted) {
      if (!Fill(until)) {
        body = buffer_;
        return false;
      }
    }
    body = buffer_.substr(0, wanted);
    buffer_.erase(0, wanted);
    return true;
  }
  bool ReadChunks(std::string& body, Clock::time_point until)
  {
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      const auto size = static_cast<std::size_t>(
        std::strtoul(buffer_.substr(0, end).c_str(), nullptr, 16));
      buffer_.erase(0, end + 2);
      while (buffer_.size() < size + 2) {
        if (!Fill(until)) {
          return false;
        }
      }
      body += buffer_.substr(0, size);
      buffer_.erase(0, size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  int fd_;
  std::string buffer_;
  std::string error_;
};

inline std::string
WriteResponse(int status,
              const std::string& body,
              const std::vector<std::pair<std::string, std::string>>& headers)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(status) + (status < 400 ? " OK" : " Error");
  text += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n" + body;
}

/// Serves HTTP on a free loopback port, one thread a connection.
class Server
{
public:
  /// The handler writes the answer itself; false ends the connection.
  using Handler = std::function<bool(const Request&, Connection&)>;

  Server() = default;
  ~Server() { Stop(); }

  void Start(Handler handler)
  {
    handler_ = std::move(handler);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(listener_, 256) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  void Stop()
  {
    if (listener_ >= 0) {
      shutdown(listener_, SHUT_RDWR);
      acceptor_.join();
      close(listener_);
      listener_ = -1;
    }
  }
  int Port() const { return port_; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
  void Accept()
  {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([this, fd] {
        Connection connection(fd);
        Request request;
        while (connection.Fd() >= 0 && connection.ReadRequest(request)) {
          if (!handler_(request, connection)) {
            return;
          }
        }
      }).detach();
    }
  }

  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::thread acceptor_;
};

/// Opens a connection to a loopback port; nullptr if nobody listens.
inline std::unique_ptr<Connection>
Connect(int port)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Connection>(fd);
}

using HeaderList = std::vector<std::pair<std::string, std::string>>;

inline std::string
WriteRequest(const std::string& method,
             const std::string& target,
             const HeaderList& headers,
             const std::string& body)
{
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// One call on a connection of its own.
inline Response
Call(int port,
     const std::string& method,
     const std::string& target,
     const HeaderList& headers,
     const std::string& body,
     Millis timeout)
{
  auto connection = Connect(port);
  if (!connection) {
    Response response;
    response.error_ = "no connection";
    return response;
  }
  connection->Write(WriteRequest(method, target, headers, body));
  return connection->ReadResponse(Clock::now() + timeout);
}

inline std::string
Base64(const std::string& bytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group =
        group << 8U |
        (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool padded = i + k > bytes.size();
      text += padded ? '=' : kDigits[group >> (18U - 6U * k) & 63U];
    }
  }
  return text;
}

// ---------------------------------------------------------------- store

/// What the store does with a call instead of serving it.
enum class StoreFault
{
  None,
  /// Answers 503; nothing is done.
  Busy,
  /// Resets the connection; nothing is done.
  Reset,
  /// Carries the call out and resets the connection instead of answering.
  DoneThenReset,
  /// Carries the call out and never answers on this connection.
  DoneThenSilent,
};

/// The platform's store as its page describes it, in memory.
class Store
{
public:
  /// Decides about each call; called without the lock.
  std::function<StoreFault(const Request&)> fault_;
  /// While it is set, waiting watches are reset. Other calls are the matter of
  /// `fault_`.
  std::atomic<bool> down_{ false };

  Store()
  {
    server_.Start([this](const Request& request, Connection& connection) {
      return Serve(request, connection);
    });
    reaper_ = std::thread([this] { Reap(); });
  }
  ~Store()
  {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    reaper_.join();
  }

  std::string Address() const { return server_.Address(); }

  /// Writes a record as the operator or a sampler does.
  std::uint64_t Put(const std::string& key, const Json& value)
  {
    const std::lock_guard lock(mutex_);
    ++revision_;
    Write(key, Base64(value.dump()), 0);
    changed_.notify_all();
    return revision_;
  }
  /// Writes bytes of any kind, as another writer may.
  void PutBytes(const std::string& key, const std::string& bytes)
  {
    const std::lock_guard lock(mutex_);
    ++revision_;
    Write(key, Base64(bytes), 0);
    changed_.notify_all();
  }
  bool Has(const std::string& key)
  {
    const std::lock_guard lock(mutex_);
    return records_.count(key) != 0;
  }

private:
  struct Record
  {
    std::string value_; // base64
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    std::uint64_t lease_ = 0;
  };
  struct Event
  {
    std::string key_;
    std::uint64_t revision_ = 0;
    bool removed_ = false;
    Record record_;
  };
  struct Lease
  {
    Millis ttl_{ 0 };
    Clock::time_point until_;
  };

  static Json Item(const std::string& key, const Record& record)
  {
    return { { "key", key },
             { "value", record.value_ },
             { "revision", record.revision_ },
             { "created_at", record.created_ },
             { "lease", record.lease_ } };
  }
  void Write(const std::string& key, std::string value, std::uint64_t lease)
  {
    Record& record = records_[key];
    record.value_ = std::move(value);
    record.revision_ = revision_;
    record.created_ = record.created_ == 0 ? revision_ : record.created_;
    record.lease_ = lease;
    events_.push_back({ key, revision_, false, record });
  }
  void Remove(const std::string& key)
  {
    if (records_.erase(key) != 0) {
      events_.push_back({ key, revision_, true, {} });
    }
  }
  void EndLease(std::uint64_t id)
  {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, record] : records_) {
      if (record.lease_ == id) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++revision_;
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
    changed_.notify_all();
  }
  void Reap()
  {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      changed_.wait_for(lock, Millis(20));
      std::vector<std::uint64_t> over;
      for (const auto& [id, lease] : leases_) {
        if (Clock::now() >= lease.until_) {
          over.push_back(id);
        }
      }
      for (const std::uint64_t id : over) {
        EndLease(id);
      }
    }
  }

  bool Serve(const Request& request, Connection& connection)
  {
    const StoreFault fault = fault_ ? fault_(request) : StoreFault::None;
    if (fault == StoreFault::Busy) {
      return connection.Write(WriteResponse(503, "{}", {}));
    }
    if (fault == StoreFault::Reset) {
      connection.Reset();
      return false;
    }
    // The usual time of an answer.
    std::this_thread::sleep_for(Millis(4));
    int status = 200;
    const Json body = Do(request, status, connection);
    const bool cut = down_ && request.path_ == "/kv-watch";
    if (fault == StoreFault::DoneThenReset || cut) {
      connection.Reset();
      return false;
    }
    if (fault == StoreFault::DoneThenSilent) {
      while (!connection.PeerGone()) {
        std::this_thread::sleep_for(Millis(50));
      }
      return false;
    }
    return connection.Write(WriteResponse(
      status, body.dump(), { { "Content-Type", "application/json" } }));
  }

  Json Do(const Request& request, int& status, Connection& connection)
  {
    std::unique_lock lock(mutex_);
    const std::string& path = request.path_;
    if (path == "/kv-range") {
      return Range(request);
    }
    if (path == "/kv-key") {
      const auto it = records_.find(request.Parameter("key"));
      status = it == records_.end() ? 404 : 200;
      return it == records_.end() ? Json::object()
                                  : Item(it->first, it->second);
    }
    if (path == "/kv-watch") {
      return Watch(request, connection, lock);
    }
    if (path == "/kv-txn") {
      return Txn(Json::parse(request.body_), status);
    }
    if (path == "/kv-lease") {
      const Json body = Json::parse(request.body_);
      const auto ttl =
        std::max<std::int64_t>(1000, body.at("ttl_ms").get<std::int64_t>());
      leases_[++lastLease_] = { Millis(ttl), Clock::now() + Millis(ttl) };
      return { { "lease", lastLease_ }, { "ttl_ms", ttl } };
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto it = leases_.find(std::stoull(path.substr(9)));
      if (it == leases_.end()) {
        status = 404;
        return Json::object();
      }
      it->second.until_ = Clock::now() + it->second.ttl_;
      return { { "lease", it->first }, { "ttl_ms", it->second.ttl_.count() } };
    }
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      EndLease(std::stoull(path.substr(14)));
      return Json::object();
    }
    status = 404;
    return Json::object();
  }

  Json Range(const Request& request)
  {
    const std::string prefix = request.Parameter("prefix");
    const std::string after = request.Parameter("after");
    Json items = Json::array();
    bool more = false;
    for (auto it = records_.lower_bound(prefix); it != records_.end(); ++it) {
      if (it->first.rfind(prefix, 0) != 0) {
        break;
      }
      if (!after.empty() && it->first <= after) {
        continue;
      }
      if (items.size() == 500) {
        more = true;
        break;
      }
      items.push_back(Item(it->first, it->second));
    }
    return { { "items", std::move(items) },
             { "has_more", more },
             { "as_of", revision_ } };
  }

  Json Watch(const Request& request,
             Connection& connection,
             std::unique_lock<std::mutex>& lock)
  {
    const std::string prefix = request.Parameter("prefix");
    const std::uint64_t after = std::stoull(request.Parameter("after"));
    const auto until =
      Clock::now() + Millis(std::stoll(request.Parameter("wait_ms")));
    while (true) {
      Json events = Json::array();
      for (const Event& event : events_) {
        if (event.revision_ <= after || event.key_.rfind(prefix, 0) != 0) {
          continue;
        }
        events.push_back(event.removed_ ? Json{ { "key", event.key_ },
                                                { "revision", event.revision_ },
                                                { "removed", true } }
                                        : Item(event.key_, event.record_));
      }
      if (!events.empty() || Clock::now() >= until || stopping_ || down_ ||
          connection.PeerGone()) {
        return { { "events", std::move(events) }, { "as_of", revision_ } };
      }
      changed_.wait_for(lock, Millis(100));
    }
  }

  Json Txn(const Json& body, int& status)
  {
    for (const Json& expected : body.at("expected")) {
      const auto it = records_.find(expected.at("key").get<std::string>());
      const std::uint64_t found =
        it == records_.end() ? 0 : it->second.revision_;
      if (found != expected.at("revision").get<std::uint64_t>()) {
        status = 412;
        return { { "items", Json::array() } };
      }
    }
    for (const Json& write : body.at("writes")) {
      const std::uint64_t lease = write.value("lease", std::uint64_t{ 0 });
      if (lease != 0 && leases_.count(lease) == 0) {
        status = 404;
        return Json::object();
      }
    }
    ++revision_;
    for (const Json& write : body.at("writes")) {
      Write(write.at("key").get<std::string>(),
            write.at("value").get<std::string>(),
            write.value("lease", std::uint64_t{ 0 }));
    }
    for (const Json& key : body.at("remove")) {
      Remove(key.get<std::string>());
    }
    changed_.notify_all();
    return { { "revision", revision_ } };
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Record> records_;
  std::deque<Event> events_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t lastLease_ = 0;
  std::uint64_t revision_ = 1;
  bool stopping_ = false;
  Server server_;
  std::thread reaper_;
};

// ---------------------------------------------------------------- samplers

/// One run of a request at a sampler.
struct Run
{
  std::string attempt_;
  std::string path_;
  double at_ = 0;
};

/// A sampler of a plain service: answers after a fixed time with a signed body.
/// Or of a model: answers with a stream of events.
class Sampler
{
public:
  struct Options
  {
    std::string id_;
    std::string service_;
    std::string zone_ = "z1";
    std::uint32_t slots_ = 8;
    /// Models served; none: a plain sampler.
    std::vector<std::string> models_;
    /// Time of a plain answer, and the time between events.
    Millis work_{ 25 };
    std::size_t bodyBytes_ = 800;
    /// Number of events of an item.
    std::function<std::uint64_t(const std::string&)> events_;
  };

  Sampler(Options options, Recorder& record)
    : options_(std::move(options))
    , record_(record)
    , born_(std::chrono::duration_cast<Millis>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
  {
    server_.Start([this](const Request& request, Connection& connection) {
      return Serve(request, connection);
    });
  }

  Json Entry(const std::string& state = "ready") const
  {
    Json models = Json::array();
    for (const std::string& model : options_.models_) {
      models.push_back(
        { { "name", model }, { "version", 1 }, { "adapters", Json::array() } });
    }
    Json entry{ { "service", options_.service_ },
                { "address", server_.Address() },
                { "zone", options_.zone_ },
                { "version", "1" },
                { "slots", options_.slots_ },
                { "state", state },
                { "cold_remaining_ms", 0 },
                { "seq", 1 },
                { "born", born_ } };
    if (!options_.models_.empty()) {
      entry["stage"] = "hybrid";
      entry["models"] = models;
    }
    return entry;
  }
  const std::string& Id() const { return options_.id_; }
  std::vector<Run> Runs()
  {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  static std::string EventData(const std::string& item, std::uint64_t number)
  {
    return "event " + std::to_string(number) + " of " + item;
  }
  std::string WholeText(const std::string& item) const
  {
    std::string text;
    for (std::uint64_t i = 1; i <= options_.events_(item); ++i) {
      text += (i > 1 ? "\n" : "") + EventData(item, i);
    }
    return text;
  }
  std::string Signature(const std::string& attempt) const
  {
    return "signed." + options_.id_ + "." + attempt;
  }

private:
  bool Refuse(const Request& request, Connection& connection, int status)
  {
    return connection.Write(
      WriteResponse(status,
                    "",
                    { { "Attempt-Id", request.Header("attempt-id") },
                      { "Not-Executed", "1" } }));
  }
  bool Serve(const Request& request, Connection& connection)
  {
    const std::string expected = request.Header("expect-instance");
    if (!expected.empty() && expected != options_.id_) {
      return Refuse(request, connection, 421);
    }
    if (request.path_ == "/report") {
      return connection.Write(
        WriteResponse(200,
                      Json{ { "stage", "hybrid" },
                            { "models", Entry()["models"] },
                            { "busy", false },
                            { "seq", 0 },
                            { "num_waiting", 0 },
                            { "num_running", running_.load() },
                            { "kv_used", 0 },
                            { "kv_total", 100000 },
                            { "handles", 0 },
                            { "born", born_ } }
                        .dump(),
                      { { "Content-Type", "application/json" } }));
    }
    if (request.path_ == "/order") {
      return connection.Write(WriteResponse(200, "", {}));
    }
    if (running_++ >= options_.slots_) {
      --running_;
      return Refuse(request, connection, 503);
    }
    const bool kept = options_.models_.empty() ? Answer(request, connection)
                                               : Stream(request, connection);
    --running_;
    return kept;
  }
  void Begun(const Request& request)
  {
    const std::string attempt = request.Header("attempt-id");
    const std::string from = request.Header("last-event-id");
    record_.Line("sampler %s runs %s %s%s",
                 options_.id_.c_str(),
                 attempt.c_str(),
                 request.path_.c_str(),
                 from.empty() ? "" : (" after event " + from).c_str());
    const std::lock_guard lock(mutex_);
    runs_.push_back({ attempt, request.path_, record_.Seconds() });
  }
  std::string Load() const
  {
    return std::to_string(running_.load()) + ",0," +
           std::to_string(options_.slots_);
  }
  /// Waits; drops the request if its connection closes or its deadline passes.
  bool Work(Connection& connection, Clock::time_point until, Millis time)
  {
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
      if (connection.PeerGone() || Clock::now() >= until) {
        return false;
      }
      std::this_thread::sleep_for(std::min<Clock::duration>(
        Millis(5), std::max(Clock::duration{ 0 }, end - Clock::now())));
    }
    return true;
  }
  static Clock::time_point Deadline(const Request& request)
  {
    const std::string deadline = request.Header("deadline-ms");
    return Clock::now() +
           Millis(deadline.empty() ? 60000 : std::atoll(deadline.c_str()));
  }
  bool Answer(const Request& request, Connection& connection)
  {
    const std::string attempt = request.Header("attempt-id");
    Begun(request);
    if (!Work(connection, Deadline(request), options_.work_)) {
      record_.Line("sampler %s dropped %s, whose connection closed or whose "
                   "time was over",
                   options_.id_.c_str(),
                   attempt.c_str());
      return false;
    }
    return connection.Write(
      WriteResponse(200,
                    std::string(options_.bodyBytes_, 'x'),
                    { { "Attempt-Id", attempt },
                      { "Response-Signature", Signature(attempt) },
                      { "Server-Load", Load() } }));
  }
  bool Stream(const Request& request, Connection& connection)
  {
    const std::string attempt = request.Header("attempt-id");
    const std::string last = request.Header("last-event-id");
    Begun(request);
    const auto until = Deadline(request);
    if (!connection.Write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\nAttempt-Id: " +
          attempt + "\r\nResponse-Signature: " + Signature(attempt) +
          "\r\nWeight-Versions: 1\r\n\r\n")) {
      return false;
    }
    const std::uint64_t first =
      last.empty() ? 1 : std::strtoull(last.c_str(), nullptr, 10) + 1;
    for (std::uint64_t i = first; i <= options_.events_(attempt); ++i) {
      if (!Work(connection, until, options_.work_)) {
        return false;
      }
      const std::string event = "id: " + std::to_string(i) +
                                "\ndata: " + EventData(attempt, i) + "\n\n";
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!connection.Write(size + event + "\r\n")) {
        return false;
      }
    }
    record_.Line(
      "sampler %s has finished %s", options_.id_.c_str(), attempt.c_str());
    return connection.Write("0\r\n\r\n");
  }

  Options options_;
  Recorder& record_;
  std::int64_t born_;
  std::atomic<std::uint32_t> running_{ 0 };
  std::mutex mutex_;
  std::vector<Run> runs_;
  Server server_;
};

// ---------------------------------------------------------------- daemons

/// A port that is free now, below the range of outgoing connections.
inline int
FreePort()
{
  static std::set<int> taken;
  static unsigned seed = static_cast<unsigned>(getpid());
  while (true) {
    const int port = 20000 + static_cast<int>(rand_r(&seed) % 12000);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (free && taken.insert(port).second) {
      return port;
    }
  }
}

/// Whether the settings tell the daemons that samplers check fences
/// (`require_fencing`).
inline bool requireFencing = true;

/// One of the project's daemons, with settings as its template gives them for a
/// small deployment (bounds of sognepost-vest and gods-shotgen, which agree).
class Daemon
{
public:
  Daemon(std::string program,
         std::string name,
         std::string zone,
         const std::string& store,
         const std::string& work)
    : program_(std::move(program))
    , name_(std::move(name))
  {
    const bool gateway = program_.find("gatewayd") != std::string::npos;
    settings_ = work + "/" + name_ + ".ini";
    log_ = work + "/" + name_ + ".log";
    std::ofstream file(settings_);
    file << "[gateway]\ninstance = " << name_ << "\nzone = " << zone
         << "\naddress = 127.0.0.1\n";
    if (gateway) {
      front_ = FreePort();
      ready_ = FreePort();
      file << "front = 127.0.0.1:" << front_ << "\nready = 127.0.0.1:" << ready_
           << "\n";
    }
    file << "store = " << store << "\nrpc-port = " << FreePort()
         << "\nmetrics-port = " << FreePort()
         << "\nfencing = " << (requireFencing ? "yes" : "no")
         << "\norder-turn = 3000ms\ngrace = 8s\n"
            "config-bound = 2000ms\nconfig-stretch = 5000ms\n"
            "processor-share = 0.25\nprocessor-speed = 1\n"
            "platform-features = base,drain,config,cost,recover,samples,stream,"
            "engine,batch,platform\nstatus-time = 120s\n";
  }
  ~Daemon() { Kill(); }

  void Start()
  {
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the script, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl(program_.c_str(),
            program_.c_str(),
            "--settings",
            settings_.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void Signal(int signal) const
  {
    if (pid_ > 0) {
      kill(pid_, signal);
    }
  }
  void Kill()
  {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  /// Whether the process has ended.
  bool Ended()
  {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ == 0;
  }
  bool WaitReady(Millis limit)
  {
    const auto until = Clock::now() + limit;
    while (Clock::now() < until) {
      if (Call(
            ready_, "GET", "/readyz", { { "Host", "ready" } }, "", Millis(500))
            .status_ == 200) {
        return true;
      }
      std::this_thread::sleep_for(Millis(50));
    }
    return false;
  }
  /// The signal that ended the process; 0 if it exited.
  int EndSignal() const { return WIFSIGNALED(status_) ? WTERMSIG(status_) : 0; }
  int Front() const { return front_; }
  const std::string& Name() const { return name_; }

private:
  std::string program_;
  std::string name_;
  std::string settings_;
  std::string log_;
  int front_ = 0;
  int ready_ = 0;
  pid_t pid_ = 0;
  int status_ = 0;
};

// ---------------------------------------------------------------- frame

/// What `run.sh` passes on.
struct Setup
{
  std::string target_; // folder of the daemons
  std::string work_;   // temporary folder
  std::string record_; // path of record.txt
  bool trouble_ = true;
};

inline Setup
ReadSetup(int argc, char** argv)
{
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s TARGET WORK RECORD\n", argv[0]);
    std::_Exit(2);
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  return {
    argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"
  };
}

inline void
Sleep(double seconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Ends the script: kills the daemons first, then leaves without waiting for
/// the stand-ins' threads.
[[noreturn]] inline void
Finish(int code,
       const char* verdict,
       Recorder& record,
       std::vector<std::unique_ptr<Daemon>>& daemons)
{
  for (const auto& daemon : daemons) {
    daemon->Kill();
  }
  record.Line("verdict: %s (exit code %d)", verdict, code);
  std::printf("%s\n", verdict);
  std::fflush(stdout);
  std::_Exit(code);
}

} // namespace review
