/// What a server receives of callers' requests, and which of them it refuses
/// before they are handled.

#include "caller_socket.hpp"
#include "marjoramtally/runtime.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kMegabyte = 1U << 20U;
constexpr std::uint64_t kBodyLimit = 4 * kMegabyte;
/// Of the limits on memory: 40% are for the process, a quarter of the rest for
/// small requests.
constexpr std::uint64_t kMemory = 10'000'000;
constexpr std::uint64_t kDescriptors = 240;

const std::string kPost = "POST /p?q HTTP/1.1\r\nHost: h\r\n";
const std::string kClose = "Connection: close\r\n";

/// Answers each request with its body, and counts them.
class SmallServer
{
public:
  explicit SmallServer(CallerTimeouts aTimeouts = {})
  {
    HttpServerOptions options;
    options.pool_ = IoPool::Create(1);
    options.maxBodyBytes_ = kBodyLimit;
    options.maxHeadBytes_ = 1000;
    callers_ = CallerRegistry::Create(
      options.pool_, { kMemory, kDescriptors }, &metrics_);
    callers_->SetTimeouts(aTimeouts);
    options.callers_ = callers_;
    auto server = HttpServer::Start(
      options, [this](HttpRequest aRequest, const HttpReplyPtr& aReply) {
        Handle(std::move(aRequest), aReply);
      });
    server_ = std::move(server).value();
  }

  ~SmallServer() { server_.reset(); }
  SmallServer(const SmallServer&) = delete;
  SmallServer& operator=(const SmallServer&) = delete;

  [[nodiscard]] CallerSocket Connect() const
  {
    return CallerSocket(server_->Port());
  }

  /// @returns whether a small request on a new connection is answered
  [[nodiscard]] bool ServesOthers() const
  {
    CallerSocket caller = Connect();
    caller.Send(kPost + kClose + "Content-Length: 4\r\n\r\nmine");
    return caller.ReadAll().ends_with("\r\n\r\nmine");
  }

  [[nodiscard]] std::string Metrics() const { return metrics_.Render(); }

  /// Answers the request that was held.
  void AnswerHeld()
  {
    held_->Send({ 200, {}, "held" });
    held_.reset();
  }

  marjoramtally::Metrics metrics_;
  std::shared_ptr<CallerRegistry> callers_;
  std::atomic<int> requests_{ 0 };
  HttpRequest last_;
  std::unique_ptr<HttpServer> server_;

private:
  /// Holds a request whose query says so.
  void Handle(HttpRequest aRequest, const HttpReplyPtr& aReply)
  {
    last_ = aRequest;
    if (aRequest.query_ == "hold") {
      held_ = aReply;
    } else {
      aReply->Send({ 200, {}, std::move(aRequest.body_) });
    }
    ++requests_;
  }

  HttpReplyPtr held_;
};

std::string
Length(std::uint64_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n";
}

/// Reads until a text was received.
std::string
ReadUntil(CallerSocket& aCaller, const std::string& aText)
{
  std::string bytes;
  while (bytes.find(aText) == std::string::npos) {
    const std::string part = aCaller.Read();
    if (part.empty()) {
      break;
    }
    bytes += part;
  }
  return bytes;
}

} // namespace

TEST_CASE("a body in chunks is handled without them")
{
  SmallServer server;
  CallerSocket caller = server.Connect();
  caller.Send(kPost + kClose +
              "Transfer-Encoding: chunked\r\n\r\n2;e=x\r\nmi\r\n"
              "2\r\nne\r\n0\r\nTrailer: t\r\n\r\n");
  CHECK(caller.ReadAll().ends_with("\r\n\r\nmine"));
  CHECK(server.last_.method_ == "POST");
  CHECK(server.last_.path_ == "/p");
  CHECK(server.last_.query_ == "q");
  CHECK(FindHeader(server.last_.headers_, "Host") == "h");
  CHECK_FALSE(FindHeader(server.last_.headers_, "Transfer-Encoding"));
  CHECK_FALSE(FindHeader(server.last_.headers_, "Trailer"));
}

TEST_CASE("a body that is too large is refused from its announced length")
{
  SmallServer server;
  CallerSocket caller = server.Connect();
  caller.Send(kPost + Length(kBodyLimit + 1));
  CHECK(ReadUntil(caller, "nothing was run").starts_with("HTTP/1.1 413"));
  CHECK(server.requests_ == 0);
  CHECK(server.Metrics().find(
          "caller_requests_refused_total{why=\"body_too_large\"} 1") !=
        std::string::npos);
}

TEST_CASE("a connection goes on after the rest of a refused body")
{
  const bool chunked = GENERATE(false, true);
  CAPTURE(chunked);
  SmallServer server;
  CallerSocket caller = server.Connect();
  const std::string body(kBodyLimit + 1, 'x');
  std::thread sender([&] {
    caller.Send(chunked
                  ? kPost + "Transfer-Encoding: chunked\r\n\r\n400001\r\n" +
                      body + "\r\n0\r\n\r\n"
                  : kPost + Length(body.size()) + body);
    caller.Send(kPost + kClose + Length(4) + "mine");
  });
  const std::string answers = caller.ReadAll();
  sender.join();
  CHECK(answers.starts_with("HTTP/1.1 413"));
  CHECK(answers.ends_with("\r\n\r\nmine"));
  CHECK(server.requests_ == 1);
}

TEST_CASE("a body without end is not read without end")
{
  SmallServer server;
  CallerSocket caller = server.Connect();
  caller.Send(kPost + "Transfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  std::atomic<bool> ended{ false };
  std::thread reader([&] {
    CHECK(caller.ReadAll().starts_with("HTTP/1.1 413"));
    ended = true;
  });
  std::size_t sent = 0;
  while (!ended && sent < 100 * kBodyLimit) {
    caller.Send(chunk);
    sent += chunk.size();
  }
  reader.join();
  CHECK(sent < 100 * kBodyLimit);
  CHECK(server.requests_ == 0);
  CHECK(server.ServesOthers());
}

TEST_CASE("a head that is too long is refused, whole or not")
{
  const std::string end = GENERATE("", "\r\n\r\n");
  SmallServer server;
  CallerSocket caller = server.Connect();
  caller.Send("GET /p HTTP/1.1\r\nA: " + std::string(2000, 'a') + end);
  CHECK(caller.ReadAll().starts_with("HTTP/1.1 431"));
  CHECK(server.requests_ == 0);
  CHECK(server.ServesOthers());
}

TEST_CASE("trailers that are too long are refused")
{
  SmallServer server;
  CallerSocket caller = server.Connect();
  caller.Send(kPost + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: " +
              std::string(2000, 'a') + "\r\n");
  CHECK(caller.ReadAll().starts_with("HTTP/1.1 431"));
  CHECK(server.requests_ == 0);
}

TEST_CASE("a body that has stalled is refused when another needs its memory")
{
  SmallServer server;
  CallerSocket stalled = server.Connect();
  stalled.Send(kPost + Length(kBodyLimit) + std::string(kBodyLimit - 1, 'x'));
  // Both do not fit.
  std::this_thread::sleep_for(CallerLimits::kStallTime + 200ms);
  CallerSocket other = server.Connect();
  std::thread sender([&] {
    other.Send(kPost + kClose + Length(kBodyLimit) +
               std::string(kBodyLimit, 'y'));
  });
  const std::string answer = other.ReadAll();
  sender.join();
  CHECK(answer.starts_with("HTTP/1.1 200"));
  const std::string refusal = ReadUntil(stalled, "nothing was run");
  CHECK(refusal.starts_with("HTTP/1.1 503"));
  CHECK(refusal.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(server.requests_ == 1);
  // Its rest is no part of the next request.
  stalled.Send("x" + kPost + kClose + Length(4) + "mine");
  CHECK(stalled.ReadAll().ends_with("\r\n\r\nmine"));
  CHECK(server.requests_ == 2);
}

TEST_CASE("a body without room is refused before it is sent")
{
  SmallServer server;
  CallerSocket first = server.Connect();
  first.Send("POST /p?hold HTTP/1.1\r\n" + Length(kBodyLimit) +
             std::string(kBodyLimit, 'x'));
  while (server.requests_ == 0) {
    std::this_thread::yield();
  }
  CallerSocket second = server.Connect();
  second.Send(kPost + Length(kBodyLimit));
  CHECK(ReadUntil(second, "nothing was run").starts_with("HTTP/1.1 503"));
  CHECK(server.ServesOthers());
  server.AnswerHeld();
  CHECK(ReadUntil(first, "held").starts_with("HTTP/1.1 200"));
}

TEST_CASE("connections beyond the share close those that sent nothing")
{
  SmallServer server;
  std::vector<CallerSocket> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(server.Connect());
    crowd.back().Send("POST /p HTTP/1.1\r\n");
  }
  CHECK(server.ServesOthers());
  CHECK(crowd.front().Read().empty());
  CHECK(crowd.front().Closed());
  CHECK(server.Metrics().find(
          "caller_connections_closed_total{why=\"descriptors\"}") !=
        std::string::npos);
}

TEST_CASE("a head that is not completed in its time ends its connection")
{
  SmallServer server({ 100ms, 1h });
  CallerSocket caller = server.Connect();
  caller.Send("GET /p HTTP/1.1\r\n");
  CHECK(caller.ReadAll().empty());
  CHECK(caller.Closed());
  CHECK(server.Metrics().find(
          "caller_connections_closed_total{why=\"header_timeout\"} 1") !=
        std::string::npos);
}

TEST_CASE("a connection that stays idle is closed, before and after a request")
{
  const std::string request =
    GENERATE(std::string(), kPost + Length(0), kPost + Length(9) + "x");
  CAPTURE(request);
  SmallServer server({ 1h, 100ms });
  CallerSocket caller = server.Connect();
  caller.Send(request);
  static_cast<void>(caller.ReadAll());
  CHECK(caller.Closed());
}

TEST_CASE("a change of the time limits holds for open connections")
{
  SmallServer server({ 1h, 1h });
  CallerSocket caller = server.Connect();
  CHECK(server.ServesOthers());
  server.callers_->SetTimeouts({ 1h, 100ms });
  static_cast<void>(caller.ReadAll());
  CHECK(caller.Closed());
}

TEST_CASE("a response that is not read ends its connection in time")
{
  SmallServer server({ 1h, 300ms });
  CallerSocket caller = server.Connect();
  const int little = 4096;
  setsockopt(caller.Handle(), SOL_SOCKET, SO_RCVBUF, &little, sizeof(little));
  caller.Send(kPost + Length(kBodyLimit) + std::string(kBodyLimit, 'x'));
  while (server.server_->InFlight() == 0 && server.requests_ == 0) {
    std::this_thread::yield();
  }
  while (server.server_->InFlight() != 0) {
    std::this_thread::yield();
  }
  CHECK(server.ServesOthers());
}

TEST_CASE("requests that come together are handled one after the other")
{
  SmallServer server;
  CallerSocket caller = server.Connect();
  std::string bytes;
  for (int i = 0; i < 50; ++i) {
    bytes += kPost + Length(2) + std::to_string(10 + i);
  }
  bytes +=
    kPost + kClose + "Transfer-Encoding: chunked\r\n\r\n4\r\nlast\r\n0\r\n\r\n";
  caller.Send(bytes);
  const std::string answers = caller.ReadAll();
  std::size_t at = 0;
  for (int i = 0; i < 50; ++i) {
    at = answers.find("\r\n\r\n" + std::to_string(10 + i), at);
    REQUIRE(at != std::string::npos);
  }
  CHECK(answers.ends_with("\r\n\r\nlast"));
  CHECK(server.requests_ == 51);
}
