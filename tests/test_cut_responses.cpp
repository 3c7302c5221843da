/// Responses whose connection closes before they are complete, received by the
/// real HTTP client.

#include "gateway_fixture.hpp"
#include "socket_client.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kProof = "Attempt-Id: {id}\r\nResponse-Signature: s\r\n";

/// @returns responses that end within their heads
std::vector<std::string>
CutHeads()
{
  return { kOk,
           kOk + "Attempt-Id: {id}\r\n",
           kOk + kProof,
           kOk + kProof + "Content-Le",
           kOk + kProof + "Connection: close\r\n",
           kOk + kProof + "Content-Type: text/event-stream\r\n",
           kOk + kProof + "Content-Length: 2\r\n",
           kOk + kProof + "Transfer-Encoding: chunked\r\n",
           kOk + kProof + "Content-Length: 0\r\n",
           "HTTP/1.1 500 Internal Server Error\r\n",
           "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\n",
           "HTTP/1.1 204 No Content\r\n" + kProof,
           "HTTP/1.1 304 Not Modified\r\n" + kProof,
           "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\n"
           "Not-Executed: 1\r\n",
           "HTTP/1.1 100 Continue\r\n",
           "HTTP/1.1 100 Continue\r\n\r\n",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + kProof,
           "HTTP/1.1 20",
           "H" };
}

/// Forwards requests to upstreams on sockets.
struct Fixture : GatewayFakes
{
  SocketClient socket_;
  GatewayContext live_{ { &settings_,
                          platform_.get(),
                          &socket_,
                          &timers_,
                          &store_,
                          &clock_,
                          &clock_,
                          &clock_,
                          &metrics_,
                          &relays_,
                          &peers_,
                          "self~1" } };
  Forwarder forwarder_{ live_, upstreamTable_ };
  std::shared_ptr<FakeReply> reply_ = std::make_shared<FakeReply>();
  std::optional<ForwardOutcome> outcome_;

  void AddServer(const std::string& aId, const CuttingServer& aServer)
  {
    UpstreamEntry entry;
    entry.id_ = UpstreamId{ aId };
    entry.service_ = ServiceId{ "svc" };
    entry.address_ = aServer.Address();
    entry.zone_ = ZoneId{ "z1" };
    entry.slots_ = 4;
    upstreamTable_.OnEntry(std::move(entry));
  }

  /// Forwards one request and waits for its outcome.
  const ForwardOutcome& Forward(RouteKind aKind, bool aResumable = false)
  {
    ForwardRequest request;
    request.attempt_ = "id1";
    request.method_ = "POST";
    request.target_ = "/p";
    request.headers_ = { { platform_->Names().attempt_, "id1" } };
    request.body_ = "x";
    request.service_ = ServiceId{ "svc" };
    request.kind_ = aKind;
    request.maxAttempts_ = 3;
    request.resumable_ = aResumable;
    request.limit_ = 10s;
    if (aKind == RouteKind::Stream) {
      request.reply_ = reply_;
    }
    socket_.Run([&] {
      forwarder_.Start(std::move(request), [this](ForwardOutcome aOutcome) {
        outcome_ = std::move(aOutcome);
      });
    });
    REQUIRE(socket_.WaitFor([this] { return outcome_.has_value(); }));
    return *outcome_;
  }
};

} // namespace

// A head that is cut was taken for a response of 200 with an empty body.
TEST_CASE("a response that is cut within its head is broken, with no status")
{
  const bool post = GENERATE(true, false);
  const std::string bytes = GENERATE(from_range(CutHeads()));
  CAPTURE(post, bytes);
  const CuttingServer server(bytes);
  const auto client = HttpClient::Create(1);
  HttpCall call;
  call.url_ = "http://" + server.Address();
  if (post) {
    call.method_ = "POST";
    call.body_ = "x";
  }
  int heads = 0;
  call.onHead_ = [&heads](int, const HttpHeaders&) {
    ++heads;
    return true;
  };
  const HttpResult result = SendAndWait(*client, std::move(call));
  CHECK(result.end_ == HttpEnd::Broken);
  CHECK(result.response_.status_ == 0);
  CHECK(result.response_.headers_.empty());
  CHECK_FALSE(result.message_.empty());
  CHECK(heads == 0);
}

TEST_CASE("a response that is cut within its head is no answer to a caller")
{
  const RouteKind kind =
    GENERATE(RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream);
  const std::string bytes = GENERATE(from_range(CutHeads()));
  CAPTURE(static_cast<int>(kind), bytes);
  const CuttingServer cutting(bytes, "Attempt-Id");
  Fixture fix;
  fix.AddServer("a", cutting);
  const ForwardOutcome& outcome = fix.Forward(kind);
  CHECK(cutting.Requests() == 1);
  CHECK_FALSE(outcome.answered_);
  CHECK_FALSE(outcome.notRun_);
  CHECK(outcome.response_.status_ == 502);
  CHECK(fix.reply_->beginCalls_ == 0);
}

TEST_CASE("a request is repeated after half a head only if it may be")
{
  const RouteKind kind = GENERATE(RouteKind::Idempotent, RouteKind::AtMostOnce);
  const std::string bytes = GENERATE(from_range(CutHeads()));
  CAPTURE(static_cast<int>(kind), bytes);
  const CuttingServer cutting(bytes, "Attempt-Id");
  const CuttingServer complete(kOk + kProof + "Content-Length: 4\r\n\r\nmine",
                               "Attempt-Id");
  Fixture fix;
  fix.AddServer("a", cutting);
  fix.AddServer("b", complete);
  const ForwardOutcome& outcome = fix.Forward(kind);
  const bool repeated = kind == RouteKind::Idempotent;
  CHECK(cutting.Requests() == 1);
  CHECK(complete.Requests() == (repeated ? 1 : 0));
  CHECK(outcome.answered_ == repeated);
  CHECK(outcome.response_.status_ == (repeated ? 200 : 502));
  CHECK((outcome.response_.body_ == "mine") == repeated);
}

TEST_CASE("a complete head alone does not complete a response: its body is cut")
{
  const std::string framing =
    GENERATE("Content-Length: 4\r\n\r\nmin",
             "Content-Length: 4\r\n\r\n",
             "Transfer-Encoding: chunked\r\n\r\n",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\nA: b",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\nA: b\r\n");
  CAPTURE(framing);
  const CuttingServer cutting(kOk + kProof + framing, "Attempt-Id");
  Fixture fix;
  fix.AddServer("a", cutting);
  const ForwardOutcome& outcome = fix.Forward(RouteKind::Idempotent);
  CHECK_FALSE(outcome.answered_);
  CHECK(outcome.response_.status_ == 502);
}

// RFC 9112, 8: without a length, an orderly end of the connection completes it.
TEST_CASE(
  "a body without a length is complete at the connection's end, but not "
  "at its reset")
{
  const bool resets = GENERATE(false, true);
  CAPTURE(resets);
  const CuttingServer server(kOk + kProof + "\r\nmine", "Attempt-Id", resets);
  Fixture fix;
  fix.AddServer("a", server);
  const ForwardOutcome& outcome = fix.Forward(RouteKind::Idempotent);
  CHECK(outcome.answered_ != resets);
  CHECK(outcome.response_.status_ == (resets ? 502 : 200));
  CHECK((outcome.response_.body_ == "mine") != resets);
}

TEST_CASE("fields after the body are not fields of the head")
{
  const CuttingServer server(
    kOk + "Attempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\nmine\r\n0\r\nResponse-Signature: s\r\n\r\n",
    "Attempt-Id");
  const auto client = HttpClient::Create(1);
  HttpCall call;
  call.url_ = "http://" + server.Address();
  const HttpResult result = SendAndWait(*client, std::move(call));
  CHECK(result.end_ == HttpEnd::Complete);
  CHECK(result.response_.body_ == "mine");
  CHECK_FALSE(FindHeader(result.response_.headers_, "Response-Signature"));
}

TEST_CASE("a head that holds a second status line is not a complete head")
{
  const std::string second =
    GENERATE("HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 x\r\n");
  const std::string first =
    GENERATE("HTTP/1.1 500 x\r\n", "HTTP/1.1 200 OK\r\n");
  const CuttingServer server(first + "Attempt-Id: {id}\r\n" + second + kProof +
                               "Content-Length: 4\r\n\r\nmine",
                             "Attempt-Id");
  Fixture fix;
  fix.AddServer("a", server);
  const ForwardOutcome& outcome = fix.Forward(RouteKind::Idempotent);
  CHECK_FALSE(outcome.answered_);
  CHECK(outcome.response_.status_ == 502);
}

TEST_CASE("a head that does not tell where its body ends is no complete head")
{
  const std::string framing =
    GENERATE("Content-Length: 3\r\nContent-Length: 4\r\n\r\nmine",
             "Content-Length: 3\r\nContent-Length: 4\r\n\r\nmin",
             "Content-Length: 2x\r\n\r\nmine",
             "Content-Length: 99999999999999999999999\r\n\r\nmine",
             "Content-Length:\r\n\r\nmine",
             "Content-Length : 50\r\n\r\nmine",
             "Content-Length:\r\n 50\r\n\r\nmine",
             "Transfer-Encoding:\r\n chunked\r\n\r\n5\r\nmi",
             "Content-Length: 9\r\nHTTP/x: 1\r\nContent-Length: 4\r\n\r\nmine",
             " \r\nContent-Length: 50\r\n\r\nmine",
             "A: x\rContent-Length: 50\r\n\r\nmine",
             "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nmine\r\n0\r\n\r\n");
  CAPTURE(framing);
  const CuttingServer server(kOk + kProof + framing, "Attempt-Id");
  Fixture fix;
  fix.AddServer("a", server);
  const ForwardOutcome& outcome = fix.Forward(RouteKind::Idempotent);
  CHECK_FALSE(outcome.answered_);
  CHECK(outcome.response_.status_ == 502);
}

TEST_CASE("bytes of an upgraded connection are no body of a response")
{
  const CuttingServer server("HTTP/1.1 101 x\r\nUpgrade: y\r\n\r\nmine");
  const auto client = HttpClient::Create(1);
  HttpCall call;
  call.url_ = "http://" + server.Address();
  std::string received;
  call.onData_ = [&received](std::string_view aBytes) {
    received += aBytes;
    return true;
  };
  const HttpResult result = SendAndWait(*client, std::move(call));
  CHECK(result.end_ != HttpEnd::Complete);
  CHECK(result.response_.status_ == 0);
  CHECK(received.empty());
}

TEST_CASE("a continuation that is cut within its head does not end a stream")
{
  const std::string half = GENERATE(from_range(CutHeads()));
  CAPTURE(half);
  const std::string stream = kOk + kProof +
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
  const CuttingServer first(stream + "f\r\nid: 1\ndata: a\n\n\r\n",
                            "Attempt-Id");
  const CuttingServer cutting(half, "Attempt-Id");
  const CuttingServer last(stream + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
                           "Attempt-Id");
  Fixture fix;
  fix.AddServer("a", first);
  fix.AddServer("b", cutting);
  fix.AddServer("c", last);
  const ForwardOutcome& outcome = fix.Forward(RouteKind::Stream, true);
  CHECK(first.Requests() == 1);
  CHECK(cutting.Requests() == 1);
  CHECK(last.Requests() == 1);
  CHECK(outcome.answered_);
  CHECK(outcome.headSent_);
  CHECK(fix.reply_->beginCalls_ == 1);
  CHECK(fix.reply_->body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("a field that ends with a tab is read without it")
{
  const CuttingServer server(
    kOk + "Attempt-Id: {id}\t\r\nResponse-Signature:\ts\t\r\n"
          "Content-Length: 4 \t\r\n\r\nmine",
    "Attempt-Id");
  Fixture fix;
  fix.AddServer("a", server);
  const ForwardOutcome& outcome = fix.Forward(RouteKind::Idempotent);
  CHECK(outcome.answered_);
  CHECK(outcome.response_.body_ == "mine");
}

TEST_CASE("a line of blanks does not complete a head that is cut after it")
{
  const std::string blanks = GENERATE(" ", "\t", "  \t ");
  const CuttingServer server(kOk + kProof + blanks + "\r\n", "Attempt-Id");
  const auto client = HttpClient::Create(1);
  HttpCall call;
  call.url_ = "http://" + server.Address();
  int heads = 0;
  call.onHead_ = [&heads](int, const HttpHeaders&) {
    ++heads;
    return true;
  };
  const HttpResult result = SendAndWait(*client, std::move(call));
  CHECK(result.end_ == HttpEnd::Cancelled);
  CHECK(result.response_.status_ == 0);
  CHECK(heads == 0);
  Fixture fix;
  fix.AddServer("a", server);
  const ForwardOutcome& outcome = fix.Forward(RouteKind::Idempotent);
  CHECK_FALSE(outcome.answered_);
  CHECK(outcome.response_.status_ == 502);
}
