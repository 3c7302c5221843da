/// Requests that do not arrive whole, and responses that break off, at the HTTP
/// server.

#include "caller_socket.hpp"
#include "marjoramtally/runtime.hpp"
#include "socket_client.hpp"

#include <catch2/catch.hpp>
#include <mutex>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

const std::string kPost = "POST /p HTTP/1.1\r\nHost: h\r\n";
const std::string kLength = kPost + "Content-Length: 4\r\n";
const std::string kChunked = kPost + "Transfer-Encoding: chunked\r\n";
const std::string kUpgrade = "Connection: Upgrade\r\nUpgrade: x\r\n";

/// @returns requests that end before they are whole
std::vector<std::string>
CutRequests()
{
  return { "P",
           "POST",
           "POST /p",
           "POST /p HTTP/1.1",
           "POST /p HTTP/1.1\r\n",
           "GET /p HTTP/1.1\r\nHost: h\r\n",
           "GET /p HTTP/1.1\r\nHost: h\r\n\r",
           "HEAD /p HTTP/1.1\r\nHost: h\r\n",
           kPost,
           kPost + "Content-Le",
           kLength,
           kLength + "\r\n",
           kLength + "\r\nmin",
           kLength + kUpgrade + "\r\nmin",
           kLength + "Expect: 100-continue\r\n\r\n",
           "POST /p HTTP/1.0\r\nContent-Length: 4\r\n\r\nmin",
           "GET /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nmin",
           kChunked,
           kChunked + "\r\n",
           kChunked + "\r\n4",
           kChunked + "\r\n4\r\n",
           kChunked + "\r\n4\r\nmi",
           kChunked + "\r\n4\r\nmine",
           kChunked + "\r\n4\r\nmine\r\n",
           kChunked + "\r\n4\r\nmine\r\n0",
           kChunked + "\r\n4\r\nmine\r\n0\r\n",
           kChunked + "\r\n4\r\nmine\r\n0\r\nA: b",
           kChunked + "\r\n4\r\nmine\r\n0\r\nA: b\r\n",
           kChunked + kUpgrade + "\r\n4\r\nmine\r\n" };
}

/// @returns requests whose framing is contradictory or invalid
std::vector<std::string>
ContradictoryRequests()
{
  const std::string chunks = "\r\n4\r\nmine\r\n0\r\n\r\n";
  return { kLength + "Content-Length: 3\r\n\r\nmine",
           kPost + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nmine",
           kPost + "Content-Length: 4x\r\n\r\nmine",
           kPost + "Content-Length: -4\r\n\r\nmine",
           kPost + "Content-Length: +4\r\n\r\nmine",
           kPost + "Content-Length: 4, 3\r\n\r\nmine",
           kPost + "Content-Length: 4 3\r\n\r\nmine",
           kPost + "Content-Length: 0x4\r\n\r\nmine",
           kPost + "Content-Length: 99999999999999999999999\r\n\r\nmine",
           kPost + "Content-Length : 4\r\n\r\nmine",
           kPost + "Content-Length:\r\n\r\nmine",
           kLength + "Transfer-Encoding: chunked\r\n" + chunks,
           kChunked + "Content-Length: 4\r\n" + chunks,
           kChunked + "Content-Length: 0\r\n" + chunks,
           kChunked + "Transfer-Encoding: identity\r\n" + chunks,
           kPost + "Transfer-Encoding: chunked, identity\r\n" + chunks,
           kPost + "Transfer-Encoding: identity\r\n" + chunks,
           kPost + "Transfer-Encoding: xchunked\r\n" + chunks,
           kPost + "Transfer-Encoding: \vchunked\r\n" + chunks,
           kPost + "Transfer-Encoding : chunked\r\n" + chunks,
           "POST /p HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"
           "Content-Length: 4\r\n" +
             chunks,
           kChunked + "\r\nz\r\nmine\r\n0\r\n\r\n",
           kChunked + "\r\n-4\r\nmine\r\n0\r\n\r\n",
           kChunked + "\r\n3\r\nmine\r\n0\r\n\r\n",
           kChunked + "\r\n4\r\nmine0\r\n\r\n",
           kChunked + "\r\n10000000000000004\r\nmine\r\n0\r\n\r\n" };
}

/// Counts requests and answers them with their bodies.
struct EchoServer
{
  /// @param aStreams whether it sends responses in chunks
  explicit EchoServer(bool aStreams = false)
  {
    HttpServerOptions options;
    options.pool_ = IoPool::Create(1);
    server_ =
      std::move(HttpServer::Start(
                  options,
                  [this, aStreams](HttpRequest aRequest, HttpReplyPtr aReply) {
                    ++requests_;
                    std::string body = "<" + aRequest.body_ + ">";
                    if (!aStreams) {
                      aReply->Send({ 200, {}, std::move(body) });
                      return;
                    }
                    aReply->Begin(200, {});
                    aReply->Chunk(std::move(body), {});
                    aReply->End();
                  }))
        .value();
  }

  [[nodiscard]] CallerSocket Connect() const
  {
    return CallerSocket(server_->Port());
  }

  /// @returns whether a request on a new connection is answered
  [[nodiscard]] bool ServesOthers() const
  {
    CallerSocket caller = Connect();
    caller.Send(kLength + "Connection: close\r\n\r\nmine");
    return caller.ReadAll().find("<mine>") != std::string::npos;
  }

  std::atomic<int> requests_{ 0 };
  std::unique_ptr<HttpServer> server_;
};

} // namespace

TEST_CASE("a request that is cut is not taken for a whole one")
{
  const std::string bytes = GENERATE(from_range(CutRequests()));
  const bool resets = GENERATE(false, true);
  CAPTURE(bytes, resets);
  EchoServer server;
  {
    CallerSocket caller = server.Connect();
    caller.Send(bytes);
    REQUIRE(server.ServesOthers());
    REQUIRE(server.requests_ == 1);
    if (resets) {
      caller.Reset();
    } else {
      caller.EndSending();
      CHECK(caller.ReadAll().find(" 200 ") == std::string::npos);
    }
  }
  CHECK(server.ServesOthers());
  CHECK(server.requests_ == 2);
}

TEST_CASE("a request with contradictory framing is not handled")
{
  const std::string bytes = GENERATE(from_range(ContradictoryRequests()));
  CAPTURE(bytes);
  EchoServer server;
  CallerSocket caller = server.Connect();
  caller.Send(bytes);
  caller.EndSending();
  CHECK(caller.ReadAll().find(" 200 ") == std::string::npos);
  CHECK(server.requests_ == 0);
  CHECK(server.ServesOthers());
}

TEST_CASE("a whole request before one that is cut is answered once")
{
  const std::string bytes = GENERATE(from_range(CutRequests()));
  CAPTURE(bytes);
  EchoServer server;
  CallerSocket caller = server.Connect();
  caller.Send(kLength + "\r\nmine" + bytes);
  caller.EndSending();
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("<mine>") != std::string::npos);
  CHECK(answer.rfind("HTTP/1.1 200") == 0);
  CHECK(server.requests_ == 1);
  CHECK(server.ServesOthers());
}

// Ended the process.
TEST_CASE(
  "a request read together with the previous one can end the connection")
{
  HttpServerOptions options;
  const auto pool = IoPool::Create(1);
  options.pool_ = pool;
  const auto server =
    std::move(
      HttpServer::Start(
        options,
        [&pool](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
          const HttpResponse response{ 200, {}, aRequest.path_ };
          if (aRequest.path_ == "/later") {
            pool->Post(0, [aReply, response] { aReply->Send(response); });
          } else {
            aReply->Send(response);
          }
        }))
      .value();
  CallerSocket caller(server->Port());
  caller.Send("GET /later HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /now HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string answers = caller.ReadAll();
  CHECK(answers.find("/later") != std::string::npos);
  CHECK(answers.ends_with("/now"));
}

// Its body was read as the beginning of the next response.
TEST_CASE("the response to a HEAD request has no body")
{
  const bool streams = GENERATE(false, true);
  CAPTURE(streams);
  EchoServer server(streams);
  CallerSocket caller = server.Connect();
  caller.Send("HEAD /p HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string answer = caller.ReadAll();
  CAPTURE(answer);
  const std::size_t end = answer.find("\r\n\r\n");
  REQUIRE(end != std::string::npos);
  CHECK(answer.substr(end + 4).rfind("HTTP/1.1 200") == 0);
  CHECK(server.requests_ == 2);
}

TEST_CASE("the response to a HEAD request is complete without a body")
{
  const CuttingServer server("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
  const auto client = HttpClient::Create(1);
  for (const char* method : { "HEAD", "GET", "HEAD", "POST" }) {
    CAPTURE(method);
    HttpCall call;
    call.url_ = "http://" + server.Address();
    call.method_ = method;
    call.newConnection_ = true;
    const HttpResult result = SendAndWait(*client, std::move(call));
    const bool head = std::string_view(method) == "HEAD";
    CHECK(result.end_ == (head ? HttpEnd::Complete : HttpEnd::Broken));
    CHECK(result.response_.status_ == 200);
    CHECK(result.response_.body_.empty());
    CHECK(FindHeader(result.response_.headers_, "Content-Length") == "4");
  }
}
