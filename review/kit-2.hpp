/// Small stand-ins for the second review: an HTTP server and client, the
/// platform's store, samplers, and processes under test. Blocking sockets with
/// one thread for each connection; loopback only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace kit {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

/// Milliseconds since the program started.
inline double
Now()
{
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart)
    .count();
}

inline void
Sleep(double aMillis)
{
  if (aMillis > 0) {
    std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(aMillis));
  }
}

/// Writes `record.txt`: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : out_(aFile)
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f  ", Now());
    out_ << time << aText << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream out_;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline bool
SameName(const std::string& aLeft, const std::string& aRight)
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

inline std::string
Find(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (SameName(name, aName)) {
      return value;
    }
  }
  return {};
}

/// A request or a response.
struct Message
{
  /// Of a request.
  std::string method_, target_;
  /// Of a response.
  int status_ = 0;
  Headers headers_;
  std::string body_;
  /// The message arrived whole.
  bool whole_ = false;
  std::string error_;
};

/// One connection, with what was read of it and not yet used.
class Socket
{
public:
  explicit Socket(int aHandle = -1)
    : handle_(aHandle)
  {
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  [[nodiscard]] int Handle() const { return handle_; }
  [[nodiscard]] bool IsOpen() const { return handle_ >= 0; }
  void Close()
  {
    if (handle_ >= 0) {
      ::close(handle_);
      handle_ = -1;
    }
  }
  /// Closes with a reset.
  void Reset()
  {
    const linger atOnce{ 1, 0 };
    setsockopt(handle_, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    Close();
  }
  /// @returns whether the peer has closed or reset the connection
  [[nodiscard]] bool PeerLeft() const
  {
    pollfd state{ handle_, POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  bool Connect(const std::string& aAddress,
               int aPort,
               int aReceiveBuffer = 0,
               const std::string& aFrom = {})
  {
    handle_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReceiveBuffer > 0) {
      setsockopt(
        handle_, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(int));
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    if (!aFrom.empty()) {
      inet_pton(AF_INET, aFrom.c_str(), &to.sin_addr);
      ::bind(handle_, reinterpret_cast<sockaddr*>(&to), sizeof to);
    }
    to.sin_port = htons(static_cast<std::uint16_t>(aPort));
    inet_pton(AF_INET, aAddress.c_str(), &to.sin_addr);
    if (::connect(handle_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      Close();
      return false;
    }
    const int on = 1;
    setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
  }
  bool Write(std::string_view aBytes) const
  {
    while (!aBytes.empty()) {
      const ssize_t sent =
        ::send(handle_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  /// Reads more into the buffer.
  /// @returns bytes read; 0 at the end; negative after an error or the timeout
  int Fill(double aTimeout)
  {
    pollfd state{ handle_, POLLIN, 0 };
    const int ready = ::poll(
      &state, 1, aTimeout < 0 ? -1 : static_cast<int>(std::max(0.0, aTimeout)));
    if (ready <= 0) {
      return -2;
    }
    char bytes[65536];
    const ssize_t got = ::recv(handle_, bytes, sizeof bytes, 0);
    if (got > 0) {
      buffer_.append(bytes, static_cast<std::size_t>(got));
    }
    return static_cast<int>(got);
  }

  std::string buffer_;

private:
  int handle_;
};

/// Reads one message.
/// @param aHeadOnly whether a response has no body
/// @returns false if the connection ended before its first byte
inline bool
Read(Socket& aSocket,
     Message& aMessage,
     bool aRequest,
     double aTimeout = -1,
     bool aHeadOnly = false)
{
  const double end = aTimeout < 0 ? 0 : Now() + aTimeout;
  const auto left = [&] { return aTimeout < 0 ? -1.0 : end - Now(); };
  const auto more = [&] {
    if (aTimeout >= 0 && left() <= 0) {
      aMessage.error_ = "timeout";
      return false;
    }
    const int got = aSocket.Fill(left());
    if (got > 0) {
      return true;
    }
    aMessage.error_ = got == 0 ? "closed" : got == -2 ? "timeout" : "reset";
    return false;
  };
  std::size_t headEnd = 0;
  while ((headEnd = aSocket.buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return !aSocket.buffer_.empty();
    }
  }
  std::istringstream head(aSocket.buffer_.substr(0, headEnd));
  aSocket.buffer_.erase(0, headEnd + 4);
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  if (aRequest) {
    first >> aMessage.method_ >> aMessage.target_;
  } else {
    std::string version;
    first >> version >> aMessage.status_;
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    aMessage.headers_.emplace_back(line.substr(0, colon), value);
  }
  if (aHeadOnly) {
    aMessage.whole_ = true;
    return true;
  }
  if (SameName(Find(aMessage.headers_, "Transfer-Encoding"), "chunked")) {
    while (true) {
      std::size_t eol = 0;
      while ((eol = aSocket.buffer_.find("\r\n")) == std::string::npos) {
        if (!more()) {
          return true;
        }
      }
      const std::size_t size =
        std::stoul(aSocket.buffer_.substr(0, eol), nullptr, 16);
      while (aSocket.buffer_.size() < eol + 2 + size + 2) {
        if (!more()) {
          return true;
        }
      }
      aMessage.body_ += aSocket.buffer_.substr(eol + 2, size);
      aSocket.buffer_.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        aMessage.whole_ = true;
        return true;
      }
    }
  }
  const std::string length = Find(aMessage.headers_, "Content-Length");
  if (length.empty() && !aRequest) {
    while (more()) {
    }
    aMessage.body_ = std::move(aSocket.buffer_);
    aMessage.whole_ = aMessage.error_ == "closed";
    return true;
  }
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (aSocket.buffer_.size() < size) {
    if (!more()) {
      return true;
    }
  }
  aMessage.body_ = aSocket.buffer_.substr(0, size);
  aSocket.buffer_.erase(0, size);
  aMessage.whole_ = true;
  return true;
}

inline std::string
Head(int aStatus, const Headers& aHeaders)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " S\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n";
}

inline bool
Answer(Socket& aSocket,
       int aStatus,
       Headers aHeaders,
       const std::string& aBody)
{
  aHeaders.emplace_back("Content-Length", std::to_string(aBody.size()));
  return aSocket.Write(Head(aStatus, aHeaders) + aBody);
}

inline std::string
Chunk(const std::string& aData)
{
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", aData.size());
  return size + aData + "\r\n";
}

/// Sends a request on an open connection.
inline bool
SendRequest(Socket& aSocket, const Message& aRequest)
{
  std::string text =
    aRequest.method_ + " " + aRequest.target_ + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aRequest.headers_) {
    text += name + ": " + value + "\r\n";
  }
  if (!aRequest.body_.empty() || aRequest.method_ == "POST") {
    text +=
      "Content-Length: " + std::to_string(aRequest.body_.size()) + "\r\n";
  }
  return aSocket.Write(text + "\r\n" + aRequest.body_);
}

/// Sends a request on a connection of its own.
inline Message
Call(const std::string& aAddress,
     int aPort,
     const Message& aRequest,
     double aTimeout = 5000)
{
  Message answer;
  Socket socket;
  if (!socket.Connect(aAddress, aPort)) {
    answer.error_ = "not connected";
    return answer;
  }
  if (!SendRequest(socket, aRequest)) {
    answer.error_ = "not sent";
    return answer;
  }
  Read(socket, answer, false, aTimeout, aRequest.method_ == "HEAD");
  return answer;
}

/// A server with one thread for each connection. The handler returns false to
/// close the connection.
class Server
{
public:
  using Handler = std::function<bool(Socket&, const Message&)>;

  explicit Server(Handler aHandler, const std::string& aAddress = "127.0.0.1")
    : address_(aAddress)
    , handler_(std::move(aHandler))
  {
    Listen();
    std::thread([this] { Accept(); }).detach();
  }
  [[nodiscard]] int Port() const { return port_; }
  [[nodiscard]] std::string Address() const
  {
    return address_ + ":" + std::to_string(port_);
  }
  /// Resets all open connections.
  void ResetAll()
  {
    const std::lock_guard lock(mutex_);
    for (const auto& socket : open_) {
      // Sends a reset, whatever the connection's own thread does.
      sockaddr none{};
      none.sa_family = AF_UNSPEC;
      ::connect(socket->Handle(), &none, sizeof none);
      ::shutdown(socket->Handle(), SHUT_RDWR);
    }
  }
  /// Ends the listener, as a process that has crashed; new connections are
  /// refused until `Reopen`.
  void Shut()
  {
    const std::lock_guard lock(mutex_);
    if (listener_ >= 0) {
      ::shutdown(listener_, SHUT_RDWR);
      ::close(listener_);
      listener_ = -1;
    }
  }
  void Reopen()
  {
    Listen();
  }

private:
  void Listen()
  {
    const std::lock_guard lock(mutex_);
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port_));
    inet_pton(AF_INET, address_.c_str(), &at.sin_addr);
    socklen_t size = sizeof at;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
        ::listen(listener_, 1024) != 0) {
      std::cerr << "cannot listen\n";
      std::_Exit(2);
    }
    getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  int Listener()
  {
    const std::lock_guard lock(mutex_);
    return listener_;
  }
  void Accept()
  {
    while (true) {
      const int listener = Listener();
      const int handle =
        listener < 0 ? -1 : ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) {
        Sleep(2);
        continue;
      }
      const int on = 1;
      setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      auto socket = std::make_shared<Socket>(handle);
      {
        const std::lock_guard lock(mutex_);
        open_.insert(socket);
      }
      std::thread([this, socket] {
        Message request;
        while (Read(*socket, request, true) && request.whole_ &&
               handler_(*socket, request)) {
          request = {};
        }
        const std::lock_guard lock(mutex_);
        open_.erase(socket);
        socket->Close();
      }).detach();
    }
  }

  std::string address_;
  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::set<std::shared_ptr<Socket>> open_;
};

/// @returns a port that was free a moment ago, below those that the system
/// gives to outgoing connections
inline int
FreePort()
{
  constexpr int kFirst = 20000;
  constexpr int kCount = 12000;
  static std::mutex mutex;
  static int next = static_cast<int>(::getpid() * 97 % kCount);
  const std::lock_guard lock(mutex);
  while (true) {
    next = (next + 1) % kCount;
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(kFirst + next));
    inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    const bool isFree =
      ::bind(handle, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    ::close(handle);
    if (isFree) {
      return kFirst + next;
    }
  }
}

inline std::string
Base64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve(aBytes.size() * 4 / 3 + 4);
  std::size_t i = 0;
  for (; i + 2 < aBytes.size(); i += 3) {
    const unsigned n = (static_cast<unsigned char>(aBytes[i]) << 16U) |
                       (static_cast<unsigned char>(aBytes[i + 1]) << 8U) |
                       static_cast<unsigned char>(aBytes[i + 2]);
    text += kDigits[n >> 18U];
    text += kDigits[(n >> 12U) & 63U];
    text += kDigits[(n >> 6U) & 63U];
    text += kDigits[n & 63U];
  }
  if (i + 1 == aBytes.size()) {
    const unsigned n = static_cast<unsigned char>(aBytes[i]) << 16U;
    text += kDigits[n >> 18U];
    text += kDigits[(n >> 12U) & 63U];
    text += "==";
  } else if (i + 2 == aBytes.size()) {
    const unsigned n = (static_cast<unsigned char>(aBytes[i]) << 16U) |
                       (static_cast<unsigned char>(aBytes[i + 1]) << 8U);
    text += kDigits[n >> 18U];
    text += kDigits[(n >> 12U) & 63U];
    text += kDigits[(n >> 6U) & 63U];
    text += '=';
  }
  return text;
}

inline std::string
FromBase64(const std::string& aText)
{
  std::string bytes;
  bytes.reserve(aText.size() * 3 / 4);
  unsigned value = 0;
  int bits = 0;
  for (const char c : aText) {
    const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                      : c >= 'a' && c <= 'z' ? c - 'a' + 26
                      : c >= '0' && c <= '9' ? c - '0' + 52
                      : c == '+'             ? 62
                      : c == '/'             ? 63
                                             : -1;
    if (digit < 0) {
      break;
    }
    value = (value << 6U) | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((value >> static_cast<unsigned>(bits)) & 255U);
    }
  }
  return bytes;
}

/// The platform's store: linearizable records, leases, watches. Each machine
/// gets a listener of its own, so that calls can be told apart.
class Store
{
public:
  static constexpr double kLatency = 4;

  Store()
  {
    std::thread([this] { ExpireLeases(); }).detach();
  }
  /// @returns the address at which a machine reaches the store
  std::string AddressFor(const std::string& aMachine)
  {
    servers_.push_back(std::make_unique<Server>(
      [this, aMachine](Socket& aSocket, const Message& aRequest) {
        return Handle(aMachine, aSocket, aRequest);
      }));
    return servers_.back()->Address();
  }
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mutex_);
    Write(aKey, aValue, 0);
  }
  void Remove(const std::string& aKey)
  {
    const std::lock_guard lock(mutex_);
    Erase(aKey);
  }
  /// @returns the value of a key; nothing if there is none
  std::optional<std::string> Get(const std::string& aKey)
  {
    const std::lock_guard lock(mutex_);
    const auto it = records_.find(aKey);
    return it == records_.end() ? std::nullopt
                                : std::optional(it->second.value_);
  }
  std::map<std::string, std::string> Range(const std::string& aPrefix)
  {
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> found;
    for (auto it = records_.lower_bound(aPrefix);
         it != records_.end() && it->first.starts_with(aPrefix);
         ++it) {
      found[it->first] = it->second.value_;
    }
    return found;
  }
  /// Called before a call is carried out, without a lock. Returns whether the
  /// call is handled in the ordinary way; else the connection is closed.
  std::function<bool(const std::string& aMachine, const Message&, Socket&)>
    onCall_;
  /// Called after a renewal was answered.
  std::function<void(const std::string& aMachine, std::uint64_t aLease)>
    onKeep_;
  std::atomic<double> latency_{ kLatency };

private:
  struct Item
  {
    std::string value_;
    std::uint64_t revision_ = 0, created_ = 0, lease_ = 0;
  };
  struct Change
  {
    std::uint64_t revision_;
    std::string key_;
    bool removed_;
    Item item_;
  };
  struct Lease
  {
    double ttl_, until_;
  };

  static Json ToJson(const std::string& aKey, const Item& aItem)
  {
    return { { "key", aKey },
             { "value", Base64(aItem.value_) },
             { "revision", aItem.revision_ },
             { "created_at", aItem.created_ },
             { "lease", aItem.lease_ } };
  }
  void Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aLease)
  {
    ++revision_;
    Item& item = records_[aKey];
    if (item.created_ == 0) {
      item.created_ = revision_;
    }
    item.value_ = aValue;
    item.revision_ = revision_;
    item.lease_ = aLease;
    changes_.push_back({ revision_, aKey, false, item });
    changed_.notify_all();
  }
  void Erase(const std::string& aKey)
  {
    if (records_.erase(aKey) > 0) {
      changes_.push_back({ ++revision_, aKey, true, {} });
      changed_.notify_all();
    }
  }
  void EndLease(std::uint64_t aLease)
  {
    leases_.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : records_) {
      if (item.lease_ == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
  }
  void ExpireLeases()
  {
    while (true) {
      Sleep(5);
      const std::lock_guard lock(mutex_);
      std::vector<std::uint64_t> ended;
      for (const auto& [id, lease] : leases_) {
        if (Now() >= lease.until_) {
          ended.push_back(id);
        }
      }
      for (const std::uint64_t id : ended) {
        EndLease(id);
      }
    }
  }
  static std::map<std::string, std::string> Query(const std::string& aTarget)
  {
    std::map<std::string, std::string> query;
    const std::size_t mark = aTarget.find('?');
    if (mark == std::string::npos) {
      return query;
    }
    std::istringstream pairs(aTarget.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      const std::size_t equals = pair.find('=');
      std::string value =
        equals == std::string::npos ? "" : pair.substr(equals + 1);
      std::string plain;
      for (std::size_t i = 0; i < value.size(); ++i) {
        if (value[i] == '%' && i + 2 < value.size()) {
          plain +=
            static_cast<char>(std::stoi(value.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          plain += value[i];
        }
      }
      query[pair.substr(0, equals)] = plain;
    }
    return query;
  }
  bool Send(Socket& aSocket, int aStatus, const Json& aBody) const
  {
    Sleep(latency_);
    return Answer(aSocket,
                  aStatus,
                  { { "Content-Type", "application/json" } },
                  aBody.dump());
  }
  bool Handle(const std::string& aMachine,
              Socket& aSocket,
              const Message& aRequest)
  {
    if (onCall_ && !onCall_(aMachine, aRequest, aSocket)) {
      return false;
    }
    auto query = Query(aRequest.target_);
    const std::string path =
      aRequest.target_.substr(0, aRequest.target_.find('?'));
    if (path == "/kv-range") {
      Json items = Json::array();
      std::uint64_t revision = 0;
      bool more = false;
      {
        const std::lock_guard lock(mutex_);
        revision = revision_;
        std::size_t bytes = 0;
        const std::string& prefix = query["prefix"];
        for (auto it = records_.lower_bound(prefix);
             it != records_.end() && it->first.starts_with(prefix);
             ++it) {
          if (!query["after"].empty() && it->first <= query["after"]) {
            continue;
          }
          if (items.size() >= 500 || bytes > 1'000'000) {
            more = true;
            break;
          }
          bytes += it->second.value_.size();
          items.push_back(ToJson(it->first, it->second));
        }
      }
      return Send(aSocket,
                  200,
                  { { "items", std::move(items) },
                    { "has_more", more },
                    { "as_of", revision } });
    }
    if (path == "/kv-watch") {
      return Watch(aSocket,
                   query["prefix"],
                   std::stoull(query["after"]),
                   std::stod(query["wait_ms"]));
    }
    if (path == "/kv-txn") {
      return Txn(aSocket, Json::parse(aRequest.body_));
    }
    if (path == "/kv-lease") {
      const double ttl = std::max(
        1000.0, Json::parse(aRequest.body_).at("ttl_ms").get<double>());
      std::uint64_t id = 0;
      {
        const std::lock_guard lock(mutex_);
        id = ++lastLease_;
        leases_[id] = { ttl, Now() + ttl };
      }
      return Send(aSocket, 200, { { "lease", id }, { "ttl_ms", ttl } });
    }
    if (path.starts_with("/kv-keep/")) {
      const std::uint64_t id = std::stoull(path.substr(9));
      double ttl = 0;
      {
        const std::lock_guard lock(mutex_);
        const auto it = leases_.find(id);
        if (it != leases_.end()) {
          it->second.until_ = Now() + it->second.ttl_;
          ttl = it->second.ttl_;
        }
      }
      const bool sent = ttl == 0
                          ? Send(aSocket, 404, Json::object())
                          : Send(aSocket, 200, { { "ttl_ms", ttl } });
      if (ttl > 0 && onKeep_) {
        onKeep_(aMachine, id);
      }
      return sent;
    }
    if (path.starts_with("/kv-lease-end/")) {
      {
        const std::lock_guard lock(mutex_);
        EndLease(std::stoull(path.substr(14)));
      }
      return Send(aSocket, 200, Json::object());
    }
    return Send(aSocket, 404, Json::object());
  }
  bool Watch(Socket& aSocket,
             const std::string& aPrefix,
             std::uint64_t aAfter,
             double aWait)
  {
    const double end = Now() + aWait;
    Json events = Json::array();
    std::uint64_t revision = 0;
    {
      std::unique_lock lock(mutex_);
      while (true) {
        for (const Change& change : changes_) {
          if (change.revision_ > aAfter && change.key_.starts_with(aPrefix)) {
            events.push_back(
              change.removed_ ? Json{ { "key", change.key_ },
                                      { "revision", change.revision_ },
                                      { "removed", true } }
                              : ToJson(change.key_, change.item_));
          }
        }
        revision = revision_;
        if (!events.empty() || Now() >= end) {
          break;
        }
        changed_.wait_for(
          lock, std::chrono::duration<double, std::milli>(end - Now()));
        if (aSocket.PeerLeft()) {
          return false;
        }
      }
    }
    return Send(
      aSocket, 200, { { "events", std::move(events) }, { "as_of", revision } });
  }
  bool Txn(Socket& aSocket, const Json& aBody)
  {
    Json failed = Json::array();
    std::uint64_t revision = 0;
    int status = 200;
    {
      const std::lock_guard lock(mutex_);
      const std::size_t entries = aBody.at("expected").size() +
                                  aBody.at("writes").size() +
                                  aBody.at("remove").size();
      if (entries > 32) {
        status = 400;
      }
      for (const Json& expected : aBody.at("expected")) {
        const auto it = records_.find(expected.at("key").get<std::string>());
        const std::uint64_t now =
          it == records_.end() ? 0 : it->second.revision_;
        if (now != expected.at("revision").get<std::uint64_t>()) {
          status = status == 200 ? 412 : status;
        }
        if (it != records_.end()) {
          failed.push_back(ToJson(it->first, it->second));
        }
      }
      for (const Json& write : aBody.at("writes")) {
        const std::uint64_t lease = write.value("lease", std::uint64_t{ 0 });
        if (lease != 0 && !leases_.contains(lease) && status == 200) {
          status = 404;
        }
        if (write.at("value").get_ref<const std::string&>().size() * 3 / 4 >
              1'048'576 + 2 &&
            status == 200) {
          status = 400;
        }
      }
      if (status == 200) {
        // One revision for the whole transaction, as for each single change.
        for (const Json& write : aBody.at("writes")) {
          Write(write.at("key").get<std::string>(),
                FromBase64(write.at("value").get<std::string>()),
                write.value("lease", std::uint64_t{ 0 }));
          --revision_;
        }
        for (const Json& key : aBody.at("remove")) {
          if (records_.erase(key.get<std::string>()) > 0) {
            changes_.push_back(
              { revision_ + 1, key.get<std::string>(), true, {} });
          }
        }
        revision = ++revision_;
        changed_.notify_all();
      }
    }
    if (status == 200) {
      return Send(aSocket, 200, { { "revision", revision } });
    }
    if (status == 412) {
      return Send(aSocket, 412, { { "items", std::move(failed) } });
    }
    return Send(aSocket, status, Json::object());
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 10;
  std::uint64_t lastLease_ = 1000;
  std::map<std::string, Item> records_;
  std::deque<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::unique_ptr<Server>> servers_;
};

/// How one service's samplers work.
struct SamplerOptions
{
  std::string id_, service_, zone_ = "z1";
  int slots_ = 8;
  /// A model sampler has models; a plain service has none.
  std::vector<std::string> models_;
  /// Events of a text, and milliseconds between them.
  int events_ = 25;
  double pace_ = 50;
  /// Milliseconds that a plain request takes.
  double work_ = 25;
  /// Bytes of a plain answer.
  std::size_t answerBytes_ = 800;
};

/// What a sampler saw of one request.
struct Arrival
{
  double at_ = 0;
  std::string id_, sampler_;
  Message request_;
  /// Milliseconds at which it ended, and whether with its last byte.
  double endedAt_ = 0;
  bool finished_ = false;
};

/// A sampler that registers itself in the store.
class Sampler
{
public:
  Sampler(Store& aStore, SamplerOptions aOptions, Record& aRecord)
    : store_(aStore)
    , options_(std::move(aOptions))
    , record_(aRecord)
    , server_([this](Socket& aSocket, const Message& aRequest) {
      return Handle(aSocket, aRequest);
    })
  {
    for (const std::string& model : options_.models_) {
      versions_[model] = 1;
    }
    std::thread([this] {
      while (true) {
        Register();
        Sleep(1200);
      }
    }).detach();
  }
  /// Ends all that runs and comes back as a new incarnation with a new id. The
  /// entry of the old one ends after three heartbeats of silence.
  void Crash(double aDown)
  {
    std::string old;
    {
      const std::lock_guard lock(mutex_);
      if (crashed_) {
        return;
      }
      crashed_ = true;
      old = options_.id_;
    }
    record_.Line("sampler " + old + " crashes");
    server_.Shut();
    server_.ResetAll();
    std::thread([this, old] {
      Sleep(3 * 1200);
      store_.Remove("servers/" + old);
    }).detach();
    std::thread([this, aDown] {
      Sleep(aDown);
      {
        const std::lock_guard lock(mutex_);
        options_.id_ += "r";
        orders_ = 0;
        crashed_ = false;
      }
      server_.Reopen();
      Register();
    }).detach();
  }
  [[nodiscard]] bool IsUp()
  {
    const std::lock_guard lock(mutex_);
    return !crashed_;
  }
  [[nodiscard]] std::vector<Arrival> Arrivals()
  {
    const std::lock_guard lock(mutex_);
    return { arrivals_.begin(), arrivals_.end() };
  }
  /// Requests at work now.
  [[nodiscard]] int Running() const { return running_; }
  [[nodiscard]] const SamplerOptions& Options() const { return options_; }
  /// Replaces the ordinary handling of a request if it returns a value.
  std::function<std::optional<bool>(Socket&, const Message&)> onRequest_;
  /// Bytes of an answer to a plain request.
  std::function<std::string(const Message&)> answerFor_;

  /// @returns data of an event of an item
  static std::string EventData(const std::string& aItem, int aEvent)
  {
    return aItem + "." + std::to_string(aEvent) + ".text";
  }
  static std::string Signature(const std::string& aId,
                               const std::string& aSampler,
                               std::uint64_t aRun)
  {
    return aSampler + "." + aId + "." + std::to_string(aRun);
  }

private:
  void Register()
  {
    Json models = Json::array();
    std::uint64_t orders = 0;
    std::string id;
    {
      const std::lock_guard lock(mutex_);
      if (crashed_) {
        return;
      }
      id = options_.id_;
      for (const auto& [name, version] : versions_) {
        models.push_back({ { "name", name },
                           { "version", version },
                           { "adapters", Json::array() } });
      }
      orders = orders_;
    }
    Json entry{ { "service", options_.service_ },
                { "address", server_.Address() },
                { "zone", options_.zone_ },
                { "version", "v1" },
                { "slots", options_.slots_ },
                { "state", "ready" },
                { "cold_remaining_ms", 0 },
                { "seq", ++sequence_ + orders } };
    if (!options_.models_.empty()) {
      entry["stage"] = "hybrid";
      entry["models"] = models;
      entry["seq"] = orders;
    }
    store_.Put("servers/" + id, entry.dump());
  }
  bool Handle(Socket& aSocket, const Message& aRequest)
  {
    if (aRequest.target_ == "/report" || aRequest.target_ == "/order") {
      return HandleControl(aSocket, aRequest);
    }
    const std::string id = Find(aRequest.headers_, "Attempt-Id");
    Arrival* arrival = nullptr;
    std::uint64_t run = 0;
    std::string self;
    {
      const std::lock_guard lock(mutex_);
      if (crashed_) {
        return false;
      }
      self = options_.id_;
      if (Find(aRequest.headers_, "Expect-Instance") == self) {
        arrivals_.push_back({ Now(), id, self, aRequest, 0, false });
        arrival = &arrivals_.back();
        run = arrivals_.size();
      }
    }
    if (arrival == nullptr) {
      return Answer(aSocket,
                    421,
                    { { "Attempt-Id", id },
                      { "Instance-Id", self },
                      { "Not-Executed", "1" } },
                    "");
    }
    record_.Line("sampler " + self + " got " + aRequest.method_ + " " +
                 aRequest.target_ + " id=" + id + " after=" +
                 Find(aRequest.headers_, "Last-Event-Id"));
    if (onRequest_) {
      if (const auto handled = onRequest_(aSocket, aRequest)) {
        return *handled;
      }
    }
    ++running_;
    const bool kept = options_.models_.empty()
                        ? RunPlain(aSocket, aRequest, id, self, run, *arrival)
                        : RunItem(aSocket, aRequest, id, self, run, *arrival);
    --running_;
    record_.Line("sampler " + self + " ended id=" + id +
                 (arrival->finished_ ? " whole" : " broken off"));
    return kept;
  }
  void End(Arrival& aArrival, bool aFinished)
  {
    const std::lock_guard lock(mutex_);
    aArrival.endedAt_ = Now();
    aArrival.finished_ = aFinished;
  }
  bool RunPlain(Socket& aSocket,
                const Message& aRequest,
                const std::string& aId,
                const std::string& aSelf,
                std::uint64_t aRun,
                Arrival& aArrival)
  {
    const double end = Now() + options_.work_;
    while (Now() < end) {
      Sleep(std::min(5.0, end - Now()));
      if (aSocket.PeerLeft()) {
        End(aArrival, false);
        return false;
      }
    }
    const std::string body = answerFor_
                               ? answerFor_(aRequest)
                               : std::string(options_.answerBytes_, 'a');
    const bool sent = Answer(
      aSocket,
      200,
      { { "Attempt-Id", aId },
        { "Response-Signature", Signature(aId, aSelf, aRun) } },
      body);
    End(aArrival, sent);
    return sent;
  }
  bool RunItem(Socket& aSocket,
               const Message& aRequest,
               const std::string& aId,
               const std::string& aSelf,
               std::uint64_t aRun,
               Arrival& aArrival)
  {
    const std::string last = Find(aRequest.headers_, "Last-Event-Id");
    const std::string model = Find(aRequest.headers_, "Model");
    std::uint64_t version = 0;
    {
      const std::lock_guard lock(mutex_);
      version = versions_[model];
    }
    if (!aSocket.Write(
          Head(200,
               { { "Attempt-Id", aId },
                 { "Response-Signature", Signature(aId, aSelf, aRun) },
                 { "Weight-Versions", std::to_string(version) },
                 { "Content-Type", "text/event-stream" },
                 { "Transfer-Encoding", "chunked" } }))) {
      End(aArrival, false);
      return false;
    }
    for (int event = last.empty() ? 1 : std::stoi(last) + 1;
         event <= options_.events_;
         ++event) {
      const double end = Now() + options_.pace_;
      while (Now() < end) {
        Sleep(std::min(5.0, end - Now()));
        if (aSocket.PeerLeft()) {
          End(aArrival, false);
          return false;
        }
      }
      if (!aSocket.Write(Chunk("id: " + std::to_string(event) + "\ndata: " +
                               EventData(aId, event) + "\n\n"))) {
        End(aArrival, false);
        return false;
      }
    }
    const bool sent = aSocket.Write("0\r\n\r\n");
    End(aArrival, sent);
    return sent;
  }
  bool HandleControl(Socket& aSocket, const Message& aRequest)
  {
    const std::lock_guard lock(mutex_);
    if (aRequest.target_ == "/order") {
      const Json order = Json::parse(aRequest.body_);
      record_.Line("sampler " + options_.id_ + " order " + aRequest.body_);
      ++orders_;
      versions_[order.at("model").get<std::string>()] =
        order.at("version").get<std::uint64_t>();
      return Answer(aSocket, 202, {}, "");
    }
    Json models = Json::array();
    for (const auto& [name, version] : versions_) {
      models.push_back({ { "name", name }, { "version", version } });
    }
    return Answer(aSocket,
                  200,
                  { { "Content-Type", "application/json" } },
                  Json{ { "stage", "hybrid" },
                        { "models", models },
                        { "busy", false },
                        { "seq", orders_ } }
                    .dump());
  }

  Store& store_;
  SamplerOptions options_;
  Record& record_;
  std::mutex mutex_;
  std::list<Arrival> arrivals_;
  std::map<std::string, std::uint64_t> versions_;
  std::uint64_t orders_ = 0;
  std::uint64_t sequence_ = 0;
  bool crashed_ = false;
  std::atomic<int> running_{ 0 };
  Server server_;
};

/// Processes of the project, all ended with the program.
class Process
{
public:
  Process(std::vector<std::string> aCommand, const std::string& aLog)
  {
    id_ = ::fork();
    if (id_ == 0) {
      const int log =
        ::open(aLog.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      for (int i = 3; i < 1024; ++i) {
        ::close(i);
      }
      std::vector<char*> words;
      for (std::string& word : aCommand) {
        words.push_back(word.data());
      }
      words.push_back(nullptr);
      ::execv(words.front(), words.data());
      std::_Exit(127);
    }
    // The script ends what is left if this program itself is ended.
    std::ofstream(std::filesystem::path(aLog).parent_path() / "pids",
                  std::ios::app)
      << id_ << std::endl;
    const std::lock_guard lock(Mutex());
    All().insert(id_);
  }
  [[nodiscard]] pid_t Id() const { return id_; }
  void Signal(int aSignal) const { ::kill(id_, aSignal); }
  /// @returns whether the process has not ended
  [[nodiscard]] bool IsAlive()
  {
    if (!ended_ && ::waitpid(id_, &status_, WNOHANG) == id_) {
      ended_ = true;
      const std::lock_guard lock(Mutex());
      All().erase(id_);
    }
    return !ended_;
  }
  void Kill()
  {
    Signal(SIGKILL);
    while (IsAlive()) {
      Sleep(1);
    }
  }
  [[nodiscard]] int Status() const { return status_; }
  /// @returns a figure of /proc/PID/status in bytes
  [[nodiscard]] std::uint64_t Memory(const std::string& aField = "VmRSS:") const
  {
    std::ifstream file("/proc/" + std::to_string(id_) + "/status");
    std::string word;
    while (file >> word) {
      if (word == aField) {
        std::uint64_t kilobytes = 0;
        file >> kilobytes;
        return kilobytes * 1024;
      }
    }
    return 0;
  }
  static void EndAll()
  {
    const std::lock_guard lock(Mutex());
    for (const pid_t id : All()) {
      ::kill(id, SIGKILL);
    }
    for (const pid_t id : All()) {
      ::waitpid(id, nullptr, 0);
    }
    All().clear();
  }

private:
  static std::set<pid_t>& All()
  {
    static std::set<pid_t> all;
    return all;
  }
  static std::mutex& Mutex()
  {
    static std::mutex mutex;
    return mutex;
  }

  pid_t id_ = 0;
  bool ended_ = false;
  int status_ = 0;
};

/// One front machine with its gateway process.
struct Front
{
  std::string name_, zone_;
  int front_ = 0, ready_ = 0;
  std::string settings_, log_;
  std::unique_ptr<Process> process_;

  void Start()
  {
    process_ = std::make_unique<Process>(
      std::vector<std::string>{
        "target/marjoram-gatewayd", "--settings", settings_ },
      log_);
  }
  [[nodiscard]] bool IsReady() const
  {
    return Call("127.0.0.1",
                ready_,
                { "GET", "/readyz", 0, { { "Host", "x" } }, "", false, "" },
                1000)
             .status_ == 200;
  }
  bool WaitReady(double aTimeout) const
  {
    const double end = Now() + aTimeout;
    while (Now() < end) {
      if (IsReady()) {
        return true;
      }
      Sleep(20);
    }
    return false;
  }
};

/// Writes the settings of a front machine, as the platform fills in
/// `deploy/settings.ini.in` for a machine of a small deployment.
inline Front
MakeFront(Store& aStore,
          const std::string& aFolder,
          const std::string& aName,
          const std::string& aZone)
{
  Front front;
  front.name_ = aName;
  front.zone_ = aZone;
  front.front_ = FreePort();
  front.ready_ = FreePort();
  front.settings_ = aFolder + "/" + aName + ".ini";
  front.log_ = aFolder + "/" + aName + ".log";
  std::ofstream file(front.settings_);
  file << "[gateway]\ninstance = " << aName << "\nzone = " << aZone
       << "\naddress = 127.0.0.1\nfront = 127.0.0.1:" << front.front_
       << "\nready = 127.0.0.1:" << front.ready_
       << "\nstore = " << aStore.AddressFor(aName)
       << "\nrpc-port = " << FreePort() << "\nmetrics-port = " << FreePort()
       << "\nfencing = yes\norder-turn = 3000ms\ngrace = 8s\n"
       << "config-bound = 2000ms\nconfig-stretch = 5000ms\n"
       << "processor-share = 0.25\nprocessor-speed = 1\nmemory-mb = 260\n"
       << "descriptors = 4100\nplatform-features = base,drain,config,cost,"
       << "recover,samples,stream,engine,batch,platform\n"
       << "status-time = 120s\n";
  return front;
}

/// A route of the operator's configuration.
inline Json
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aKind,
          const std::string& aService,
          int aTimeout,
          int aObjective,
          int aAttempts)
{
  return { { "name", aName },        { "host", "pits.example" },
           { "prefix", aPrefix },    { "kind", aKind },
           { "timeout_ms", aTimeout }, { "slo_ms", aObjective },
           { "priority", 2 },        { "service", aService },
           { "max_attempts", aAttempts } };
}

/// A configuration like that of the site `brannagh-pitlogs`: one route for
/// plain requests, one for the calls that score texts, one for batch jobs.
inline Json
MakeConfig(int aVersion)
{
  Json drafts =
    MakeRoute("drafts", "/drafts/", "rollout", "notes-lm", 10000, 500, 3);
  drafts["run_deadline_ms"] = 7500;
  drafts["max_queue_s"] = 40;
  drafts["sticky"] = true;
  Json engine{ { "slots", 8 }, { "models", { { { "name", "m0" } } } } };
  return { { "version", aVersion },
           { "routes",
             { MakeRoute(
                 "tally", "/tally/", "idempotent", "pitlog-app", 1500, 150, 2),
               MakeRoute("summary",
                         "/summary/",
                         "idempotent",
                         "pitlog-app",
                         2000,
                         400,
                         4),
               drafts } },
           { "services",
             { { { "name", "notes-lm" },
                 { "health_check", "/healthz" },
                 { "max_conns", 150 },
                 { "engine", engine } },
               { { "name", "pitlog-app" },
                 { "health_check", "/healthz" },
                 { "max_conns", 110 } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 33554432 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } } };
}

/// The body of a batch job of groups of items; each item has a reward call.
inline std::string
MakeJob(const std::string& aJob,
        int aStep,
        int aGroups,
        int aItems,
        std::size_t aBodyBytes = 450)
{
  Json items = Json::array();
  for (int group = 0; group < aGroups; ++group) {
    for (int item = 0; item < aItems; ++item) {
      const std::string id =
        aJob + "g" + std::to_string(group) + "i" + std::to_string(item);
      items.push_back(
        { { "id", id },
          { "path", "/drafts/" + id },
          { "headers",
            { { "Model", "m0" },
              { "Token-Usage", "1016,400" },
              { "Prompt-Prefix", "9c2e41:1000,5d07b8:16" } } },
          { "body", Base64(std::string(aBodyBytes, 'b')) },
          { "tokens", 1416 },
          { "group", aJob + "g" + std::to_string(group) },
          { "scorer_url",
            { { "id", "s" + id },
              { "host", "pits.example" },
              { "path", "/summary/" + id },
              { "body", Base64("score") } } } });
    }
  }
  return Json{ { "step", aStep },
               { "model", "m0" },
               { "min_version", 1 },
               { "target_groups", aGroups },
               { "items", items } }
    .dump();
}

inline Message
JobPost(const std::string& aJob, const std::string& aBody)
{
  return { "POST",
           "/drafts/" + aJob,
           0,
           { { "Host", "pits.example" },
             { "Attempt-Id", aJob },
             { "Content-Type", "application/json" } },
           aBody,
           false,
           "" };
}

inline Message
JobRead(const std::string& aJob, std::size_t aAfter, int aWait)
{
  return { "GET",
           "/lots/" + aJob + "?after=" + std::to_string(aAfter),
           0,
           { { "Host", "pits.example" },
             { "Wait-Ms", std::to_string(aWait) } },
           "",
           false,
           "" };
}

/// @returns whether the disruption is to be left out
inline bool
IsCalm()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

/// Ends all processes and the program.
[[noreturn]] inline void
Finish(Record& aRecord, int aCode, const std::string& aWhy)
{
  aRecord.Line((aCode == 0   ? "HELD: "
                : aCode == 1 ? "BROKEN: "
                             : "NOT RUN: ") +
               aWhy);
  std::cout << (aCode == 0   ? "held: "
                : aCode == 1 ? "broken: "
                             : "not run: ")
            << aWhy << std::endl;
  Process::EndAll();
  std::_Exit(aCode);
}

} // namespace kit
