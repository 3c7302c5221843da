/// A gateway whose callers and upstreams are on sockets: requests and responses
/// that break off on their way.

#include "caller_socket.hpp"
#include "gateway_fixture.hpp"
#include "programs/gatewayd/gateway.hpp"
#include "socket_client.hpp"

#include <catch2/catch.hpp>
#include <future>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

/// One gateway on a loop of its own, as in its process, with one upstream.
struct SocketGateway : GatewayFakes
{
  struct PoolListeners final : Listeners
  {
    [[nodiscard]] Result<std::unique_ptr<HttpServer>> Serve(
      const ListenAddress& aAddress,
      std::uint64_t aMaxBodyBytes,
      HttpHandler aHandler) override
    {
      HttpServerOptions options;
      options.pool_ = pool_;
      options.maxBodyBytes_ = aMaxBodyBytes;
      auto server = HttpServer::Start(options, std::move(aHandler));
      ports_[aAddress.port_] = server.value()->Port();
      return server;
    }
    void SetTimeouts(const CallerTimeouts& aTimeouts) override
    {
      timeouts_ = aTimeouts;
    }
    std::shared_ptr<IoPool> pool_ = IoPool::Create(1);
    std::map<std::uint16_t, std::uint16_t> ports_;
    CallerTimeouts timeouts_;
  };

  PoolListeners listeners_;
  std::unique_ptr<HttpClient> live_ = HttpClient::Create(listeners_.pool_);
  GatewayContext liveContext_{ { &settings_,
                                 platform_.get(),
                                 live_.get(),
                                 &timers_,
                                 &store_,
                                 &clock_,
                                 &clock_,
                                 &clock_,
                                 &metrics_,
                                 &relays_,
                                 &peers_,
                                 "self~1" } };
  std::unique_ptr<Gateway> gateway_;

  explicit SocketGateway(const std::string& aUpstream)
  {
    settings_.zone_ = "z1";
    settings_.front_ = "127.0.0.1:1";
    settings_.ready_ = "127.0.0.1:2";
    store_.Put(
      platform_->Places().config_,
      R"({"version":1,"routes":[)"
      R"({"host":"h","prefix":"/x/","kind":"idempotent","service":"s"},)"
      R"({"host":"h","prefix":"/s/","kind":"stream","service":"s"}],)"
      R"("services":[{"name":"s"}]})");
    store_.Put(platform_->Places().upstreams_ + "e",
               R"({"service":"s","address":")" + aUpstream +
                 R"(","zone":"z1","slots":9,"state":"ready"})");
    OnLoop([this] {
      gateway_ = std::make_unique<Gateway>(liveContext_, listeners_);
      opened_ = static_cast<bool>(gateway_->Open());
      gateway_->Start();
      timers_.Advance(2s);
    });
    REQUIRE(opened_);
  }

  ~SocketGateway() { listeners_.pool_->Stop(); }
  SocketGateway(const SocketGateway&) = delete;
  SocketGateway& operator=(const SocketGateway&) = delete;

  void OnLoop(const std::function<void()>& aTask) const
  {
    std::promise<void> done;
    listeners_.pool_->Post(0, [&] {
      aTask();
      done.set_value();
    });
    done.get_future().get();
  }

  /// Replaces the configuration by one with these limits.
  void PutLimits(int aVersion, const std::string& aLimits)
  {
    OnLoop([this, aVersion, &aLimits] {
      store_.Put(platform_->Places().config_,
                 R"({"version":)" + std::to_string(aVersion) +
                   R"(,"routes":[{"host":"h","prefix":"/x/",)"
                   R"("kind":"idempotent","service":"s"}],)"
                   R"("services":[{"name":"s"}],"limits":{)" +
                   aLimits + "}}");
      timers_.Advance(100ms);
    });
  }

  /// @returns the status of the response to one request
  [[nodiscard]] std::string StatusOf(const std::string& aRequest) const
  {
    CallerSocket caller = Connect();
    caller.Send(aRequest);
    return caller.ReadAll().substr(0, std::string("HTTP/1.1 200").size());
  }

  [[nodiscard]] CallerSocket Connect() const
  {
    return CallerSocket(listeners_.ports_.at(1));
  }

  bool opened_ = false;
};

std::string
Request(const std::string& aMethod, const std::string& aPath)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n";
}

const std::string kAnswerHead =
  "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n";

/// An upstream that holds its requests until their callers leave.
struct HoldingUpstream
{
  HoldingUpstream()
  {
    HttpServerOptions options;
    options.pool_ = IoPool::Create(1);
    server_ = std::move(HttpServer::Start(
                          options,
                          [this](const HttpRequest&, HttpReplyPtr aReply) {
                            aReply->OnCallerGone([this] { left_.set_value(); });
                            held_ = std::move(aReply);
                            arrived_.set_value();
                          }))
                .value();
  }
  ~HoldingUpstream() { server_.reset(); }
  HoldingUpstream(const HoldingUpstream&) = delete;
  HoldingUpstream& operator=(const HoldingUpstream&) = delete;

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(server_->Port());
  }

  std::promise<void> arrived_;
  std::promise<void> left_;
  HttpReplyPtr held_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace

TEST_CASE("a HEAD request is answered with its upstream's head")
{
  const CuttingServer upstream(
    kAnswerHead + "Content-Length: 4\r\nA: b\r\n\r\n", "Attempt-Id");
  const SocketGateway gateway(upstream.Address());
  CallerSocket caller = gateway.Connect();
  caller.Send(Request("HEAD", "/x/1") + "\r\n" + Request("HEAD", "/none") +
              "Connection: close\r\n\r\n");
  const std::string answer = caller.ReadAll();
  CAPTURE(answer);
  const std::size_t end = answer.find("\r\n\r\n") + 4;
  CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(answer.substr(0, end).find("Content-Length: 4\r\n") !=
        std::string::npos);
  CHECK(answer.find("A: b") != std::string::npos);
  CHECK(answer.rfind("HTTP/1.1 404", end) == end);
  CHECK(answer.find("\r\n\r\n", end) + 4 == answer.size());
}

TEST_CASE("a request that is cut is not forwarded")
{
  const std::string path = GENERATE("/x/1", "/s/1");
  const std::string rest =
    GENERATE("",
             "Content-Length: 4\r\n\r\nmin",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n",
             "Content-Length: 4\r\nContent-Length: 3\r\n\r\nmine");
  CAPTURE(path, rest);
  const CuttingServer upstream(kAnswerHead + "Content-Length: 4\r\n\r\nmine",
                               "Attempt-Id");
  const SocketGateway gateway(upstream.Address());
  CallerSocket cut = gateway.Connect();
  cut.Send(Request("POST", path) + rest);
  cut.EndSending();
  CHECK(cut.ReadAll().find(" 200 ") == std::string::npos);
  CHECK(upstream.Requests() == 0);
  CallerSocket caller = gateway.Connect();
  caller.Send(Request("POST", "/x/1") +
              "Content-Length: 1\r\nConnection: close\r\n\r\nx");
  CHECK(caller.ReadAll().find("mine") != std::string::npos);
  CHECK(upstream.Requests() == 1);
}

TEST_CASE("a request that cannot be sent on as it is is refused")
{
  const std::string field =
    GENERATE("Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
             "Content-Length : 1\r\n\r\nx",
             "A b: c\r\n\r\n",
             "A : b\r\n\r\n");
  CAPTURE(field);
  const CuttingServer upstream(kAnswerHead + "Content-Length: 4\r\n\r\nmine",
                               "Attempt-Id");
  const SocketGateway gateway(upstream.Address());
  CallerSocket refused = gateway.Connect();
  refused.Send(Request("GET", "/x/1") + field);
  const std::string answer = refused.ReadAll();
  CHECK(answer.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(answer.find("Connection: close\r\n") != std::string::npos);
  CHECK(upstream.Requests() == 0);
  CallerSocket caller = gateway.Connect();
  caller.Send(Request("GET", "/x/1") + "Connection: close\r\n\r\n");
  CHECK(caller.ReadAll().find("mine") != std::string::npos);
}

// A caller that had begun its next request was not seen to leave.
TEST_CASE("a caller that leaves ends its request at the upstream")
{
  const std::string more = GENERATE("", "G", "GET /x/2 HTTP/1.1\r\n\r\n");
  const bool resets = GENERATE(false, true);
  CAPTURE(more, resets);
  HoldingUpstream upstream;
  const SocketGateway gateway(upstream.Address());
  CallerSocket caller = gateway.Connect();
  caller.Send(Request("POST", "/x/1") + "Content-Length: 1\r\n\r\nx");
  upstream.arrived_.get_future().get();
  caller.Send(more);
  if (resets) {
    caller.Reset();
  } else {
    caller.Close();
  }
  CHECK(upstream.left_.get_future().wait_for(5s) == std::future_status::ready);
}

TEST_CASE("a stream whose upstream breaks off never looks complete")
{
  const std::string rest = GENERATE("",
                                    "4\r\nid: \r\n",
                                    "f\r\nid: 1\ndata: x\n\n\r\n",
                                    "f\r\nid: 1\ndata: x\n\n\r\n0\r\n");
  const bool resets = GENERATE(false, true);
  CAPTURE(rest, resets);
  const CuttingServer upstream(kAnswerHead +
                                 "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n" +
                                 rest,
                               "Attempt-Id",
                               resets);
  const SocketGateway gateway(upstream.Address());
  CallerSocket caller = gateway.Connect();
  caller.Send(Request("POST", "/s/1") +
              "Content-Length: 1\r\nConnection: close\r\n\r\nx");
  const std::string answer = caller.ReadAll();
  CAPTURE(answer);
  CHECK((answer.find(" 200 ") == std::string::npos ||
         answer.find("0\r\n\r\n") == std::string::npos));
}

TEST_CASE("the sizes that the configuration allows are in force at once")
{
  const CuttingServer upstream(kAnswerHead + "Content-Length: 0\r\n\r\n",
                               "Attempt-Id");
  SocketGateway gateway(upstream.Address());
  const std::string close = "Connection: close\r\n";
  const std::string body =
    Request("POST", "/x/1") + close + "Content-Length: 11\r\n\r\n12345678901";
  const std::string chunks =
    Request("POST", "/x/1") + close +
    "Transfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n7\r\n5678901\r\n0\r\n\r\n";
  const std::string head =
    Request("GET", "/x/1") + close + "F: " + std::string(200, 'v') + "\r\n\r\n";
  for (const std::string& request : { body, chunks, head }) {
    CAPTURE(request);
    CHECK(gateway.StatusOf(request) == "HTTP/1.1 200");
  }
  gateway.PutLimits(2, R"("max_body_bytes":10,"max_header_bytes":200)");
  CHECK(gateway.StatusOf(body) == "HTTP/1.1 413");
  CHECK(gateway.StatusOf(chunks) == "HTTP/1.1 413");
  CHECK(gateway.StatusOf(head) == "HTTP/1.1 431");
  gateway.PutLimits(3, R"("max_body_bytes":11,"max_header_bytes":1000)");
  for (const std::string& request : { body, chunks, head }) {
    CAPTURE(request);
    CHECK(gateway.StatusOf(request) == "HTTP/1.1 200");
  }
  // A configuration that states none.
  gateway.PutLimits(4, "");
  CHECK(gateway.StatusOf(body) == "HTTP/1.1 200");
}

TEST_CASE("the times that the configuration allows are those of all listeners")
{
  SocketGateway gateway("127.0.0.1:9");
  CHECK(gateway.listeners_.timeouts_ == CallerTimeouts{});
  gateway.PutLimits(2, R"("header_timeout_ms":3000,"idle_timeout_ms":15000)");
  CHECK(gateway.listeners_.timeouts_ == CallerTimeouts{ 3s, 15s });
  gateway.PutLimits(3, R"("header_timeout_ms":4000)");
  CHECK(gateway.listeners_.timeouts_ ==
        CallerTimeouts{ 4s, CallerTimeouts{}.idle_ });
  // An older one.
  gateway.PutLimits(1, R"("header_timeout_ms":1000)");
  CHECK(gateway.listeners_.timeouts_.header_ == 4s);
}

TEST_CASE("a body that has begun keeps the limit that was in force")
{
  const CuttingServer upstream(kAnswerHead + "Content-Length: 0\r\n\r\n",
                               "Attempt-Id");
  SocketGateway gateway(upstream.Address());
  CallerSocket caller = gateway.Connect();
  caller.Send(Request("POST", "/x/1") +
              "Connection: close\r\nContent-Length: 20\r\n\r\n0123456789");
  // A later request shows that the first part was read.
  CHECK(gateway.StatusOf(Request("GET", "/x/2") +
                         "Connection: close\r\n\r\n") == "HTTP/1.1 200");
  gateway.PutLimits(2, R"("max_body_bytes":10)");
  caller.Send("0123456789");
  CHECK(caller.ReadAll().starts_with("HTTP/1.1 200"));
}
