#include "loopback_listener.hpp"
#include "marjoramtally/runtime.hpp"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <unistd.h>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

const std::string kCompleteResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A listener whose connections are served by a script on one thread.
class RawServer
{
public:
  using Script = std::function<void(RawServer&)>;

  explicit RawServer(Script aScript)
  {
    const LoopbackListener listener = ListenOnLoopback(8);
    listener_ = listener.socket_;
    url_ = "http://" + listener.Address();
    thread_ = std::thread([this, script = std::move(aScript)] {
      script(*this);
      StopListening();
    });
  }

  ~RawServer() { Join(); }

  /// Waits for the end of the script.
  void Join()
  {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  int Accept() { return accept(listener_, nullptr, nullptr); }

  /// Reads one request, whose body is `x`.
  void Read(int aConnection)
  {
    std::string bytes;
    char byte = 0;
    while (!bytes.ends_with("\r\n\r\nx") && read(aConnection, &byte, 1) == 1) {
      bytes.push_back(byte);
    }
    requests_ += bytes.empty() ? 0 : 1;
  }

  static void Write(int aConnection, const std::string& aBytes)
  {
    send(aConnection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  void StopListening()
  {
    if (listener_ >= 0) {
      close(listener_);
      listener_ = -1;
    }
  }

  std::string url_;
  std::atomic<int> requests_{ 0 };

private:
  int listener_ = -1;
  std::thread thread_;
};

/// An address that, like one behind a partition, never takes a connection: a
/// listener whose queue is full, so that the kernel drops further ones.
class SilentAddress
{
public:
  SilentAddress()
    : listener_(ListenOnLoopback(0))
  {
    for (int& waiting : waiting_) {
      waiting = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      connect(waiting,
              reinterpret_cast<const sockaddr*>(&listener_.address_),
              sizeof(listener_.address_));
    }
  }

  ~SilentAddress()
  {
    for (const int waiting : waiting_) {
      close(waiting);
    }
    close(listener_.socket_);
  }

  SilentAddress(const SilentAddress&) = delete;
  SilentAddress& operator=(const SilentAddress&) = delete;

  /// @returns a call that gives up the connection soon
  [[nodiscard]] HttpCall Call() const
  {
    HttpCall call;
    call.url_ = "http://" + listener_.Address();
    call.connectTimeout_ = std::chrono::milliseconds(50);
    return call;
  }

private:
  LoopbackListener listener_;
  /// More than the queue holds.
  std::array<int, 3> waiting_{};
};

HttpCall
Post(const RawServer& aServer, bool aAtMostOnce = false)
{
  HttpCall call;
  call.method_ = "POST";
  call.url_ = aServer.url_;
  call.body_ = "x";
  call.atMostOnce_ = aAtMostOnce;
  call.timeout_ = std::chrono::seconds(5);
  return call;
}

/// Answers one request with bytes and closes.
RawServer::Script
AnswerOnce(std::string aBytes)
{
  return [bytes = std::move(aBytes)](RawServer& aServer) {
    const int connection = aServer.Accept();
    aServer.Read(connection);
    RawServer::Write(connection, bytes);
    close(connection);
  };
}

/// Answers a first request and keeps the connection, then reads a second
/// one and closes without an answer.
int
AnswerThenClose(RawServer& aServer)
{
  const int connection = aServer.Accept();
  aServer.Read(connection);
  RawServer::Write(connection, kCompleteResponse);
  return connection;
}

} // namespace

TEST_CASE("only a refused connection proves that nothing was sent")
{
  const auto client = HttpClient::Create(1);
  std::string url;
  {
    RawServer server([](RawServer&) {});
    url = server.url_;
  }
  HttpCall call;
  call.url_ = url;
  CHECK(SendAndWait(*client, call).end_ == HttpEnd::NotSent);
}

TEST_CASE("an answer that its protocol does not prove whole is broken")
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const auto bytes = GENERATE_COPY(
    std::string(),
    head + "Content-Length: 10\r\n\r\nshort",
    head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
    head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n");
  const auto client = HttpClient::Create(1);
  RawServer server(AnswerOnce(bytes));
  CHECK(SendAndWait(*client, Post(server)).end_ == HttpEnd::Broken);
}

TEST_CASE("what was sent on a dead connection is never called unsent")
{
  const auto client = HttpClient::Create(1);
  RawServer server([](RawServer& aServer) {
    const int connection = AnswerThenClose(aServer);
    // The library's own second try then meets a refused connection.
    aServer.StopListening();
    aServer.Read(connection);
    close(connection);
  });
  CHECK(SendAndWait(*client, Post(server)).end_ == HttpEnd::Whole);
  CHECK(SendAndWait(*client, Post(server)).end_ == HttpEnd::Broken);
  CHECK(server.requests_ == 2);
}

TEST_CASE("the library sends twice on a dead connection, but not at most once")
{
  const bool atMostOnce = GENERATE(false, true);
  const auto client = HttpClient::Create(1);
  RawServer server([&](RawServer& aServer) {
    const int kept = AnswerThenClose(aServer);
    const int second = atMostOnce ? aServer.Accept() : kept;
    aServer.Read(second);
    close(second);
    if (atMostOnce) {
      close(kept);
      return;
    }
    const int third = aServer.Accept();
    aServer.Read(third);
    RawServer::Write(third, kCompleteResponse);
    close(third);
  });
  CHECK(SendAndWait(*client, Post(server)).end_ == HttpEnd::Whole);
  const HttpResult result = SendAndWait(*client, Post(server, atMostOnce));
  CHECK(result.end_ == (atMostOnce ? HttpEnd::Broken : HttpEnd::Whole));
  CHECK(server.requests_ == (atMostOnce ? 2 : 3));
}

TEST_CASE("a paused answer waits for its reader and comes whole")
{
  const std::string body(100'000, 'b');
  const auto client = HttpClient::Create(1);
  RawServer server(AnswerOnce("HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body));
  std::atomic<int> pauses{ 0 };
  std::atomic<HttpCallId> id{ 0 };
  std::string received;
  HttpCall call = Post(server);
  call.mayReceive_ = [&] {
    if (pauses >= 3) {
      return true;
    }
    ++pauses;
    // The sender's thread resumes: its order comes after the pause.
    while (id == 0) {
      std::this_thread::yield();
    }
    client->Resume(id);
    return false;
  };
  call.onData_ = [&](std::string_view aBytes) {
    received += aBytes;
    return true;
  };
  std::promise<HttpResult> ended;
  id = client->Send(std::move(call), [&ended](HttpResult aResult) {
    ended.set_value(std::move(aResult));
  });
  CHECK(ended.get_future().get().end_ == HttpEnd::Whole);
  CHECK(pauses == 3);
  CHECK(received == body);
}

TEST_CASE("a call that was given up leaves nothing to arrive later")
{
  // What a closed connection had not yet delivered is sent again and again by
  // the kernel, and arrives once a partition is over; a reset drops it.
  std::atomic<int> error{ 0 };
  RawServer server([&error](RawServer& aServer) {
    const int connection = aServer.Accept();
    aServer.Read(connection);
    char byte = 0;
    while (read(connection, &byte, 1) > 0) {
    }
    error = errno;
    close(connection);
  });
  const auto client = HttpClient::Create(1);
  HttpCall call = Post(server);
  call.timeout_ = std::chrono::milliseconds(100);
  const HttpResult result = SendAndWait(*client, std::move(call));
  REQUIRE(result.end_ == HttpEnd::TimedOut);
  server.Join();
  REQUIRE(error == ECONNRESET);
}

// The story: a second answer to an earlier call was taken for a later call's
// (test_forwarder.cpp). Its receiver refused the next ones for their id, but
// each came whole, so the connection stayed in use, one answer behind.
TEST_CASE("a connection whose answer was not believed is not used again")
{
  std::atomic<bool> usedAgain{ false };
  RawServer server([&usedAgain](RawServer& aServer) {
    const int first = aServer.Accept();
    aServer.Read(first);
    RawServer::Write(first, kCompleteResponse);
    // Ends with the connection or with a second request on it.
    aServer.Read(first);
    usedAgain = aServer.requests_ == 2;
    const int second = usedAgain ? first : aServer.Accept();
    if (!usedAgain) {
      aServer.Read(second);
    }
    RawServer::Write(second, kCompleteResponse);
    close(second);
  });
  const auto client = HttpClient::Create(1);
  HttpCall call = Post(server);
  call.onHead_ = [](int, const HttpHeaders&) { return false; };
  const HttpResult doubted = SendAndWait(*client, std::move(call));
  CHECK(doubted.end_ == HttpEnd::Cancelled);
  REQUIRE(SendAndWait(*client, Post(server)).end_ == HttpEnd::Whole);
  REQUIRE_FALSE(usedAgain);
}

TEST_CASE("an interim head is not that of the answer")
{
  const auto client = HttpClient::Create(1);
  RawServer server(
    AnswerOnce("HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" + kCompleteResponse));
  std::vector<int> heads;
  HttpCall call = Post(server);
  call.onHead_ = [&heads](int aStatus, const HttpHeaders& aHeaders) {
    heads.push_back(aStatus);
    return !FindHeader(aHeaders, "A");
  };
  const HttpResult result = SendAndWait(*client, std::move(call));
  CHECK(result.end_ == HttpEnd::Whole);
  CHECK(heads == std::vector<int>{ 200 });
}

TEST_CASE("a call that asks for a new connection gets one")
{
  const bool wanted = GENERATE(false, true);
  const auto client = HttpClient::Create(1);
  RawServer server([wanted](RawServer& aServer) {
    const int first = AnswerThenClose(aServer);
    const int second = wanted ? aServer.Accept() : first;
    aServer.Read(second);
    RawServer::Write(second, kCompleteResponse);
    close(second);
    if (wanted) {
      close(first);
    }
  });
  CHECK(SendAndWait(*client, Post(server)).opened_);
  HttpCall call = Post(server);
  call.newConnection_ = wanted;
  const HttpResult result = SendAndWait(*client, std::move(call));
  CHECK(result.end_ == HttpEnd::Whole);
  CHECK(result.opened_ == wanted);
  CHECK(result.localPort_ != 0);
}

// The story: callers of a route that had been added got 404 at a gateway 2.2 s
// after the change had been accepted. The gateway had been cut off from the
// store; for up to four seconds after the cut its watches of the configuration
// were silent, one connection after the other, while its other calls to the
// store were answered.
// Cause: a connection that cannot be opened is closed without a word to the
// loop, which went on to count its socket's number as watched. The registration
// of the next socket with that number failed, unlogged, so that its answers
// were read only when a time limit came. Evidence: with the failure logged,
// each silent watch follows one at the same gateway; the answers came after 0.5
// s or 1.3 s, the limits of a connection and of a watch.
TEST_CASE("a connection after one that could not be opened is heard")
{
  const SilentAddress silent;
  RawServer server([](RawServer& aServer) {
    const int connection = aServer.Accept();
    for (int i = 0; i < 2; ++i) {
      aServer.Read(connection);
      // So that the client has to wait for the answer.
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      RawServer::Write(connection, kCompleteResponse);
    }
    close(connection);
  });
  const auto client = HttpClient::Create(1);
  REQUIRE(SendAndWait(*client, silent.Call()).end_ == HttpEnd::NotSent);
  HttpCall call = Post(server);
  call.connectTimeout_ = 2 * call.timeout_;
  CHECK(SendAndWait(*client, call).end_ == HttpEnd::Whole);
  CHECK(SendAndWait(*client, call).end_ == HttpEnd::Whole);
}

TEST_CASE("an answer that keeps coming is not given up, one that stops is")
{
  const bool stops = GENERATE(false, true);
  RawServer server([stops](RawServer& aServer) {
    const int connection = aServer.Accept();
    aServer.Read(connection);
    RawServer::Write(connection,
                     "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
    for (int i = 0; i < (stops ? 3 : 6); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      RawServer::Write(connection, "x");
    }
    if (stops) {
      // Ends with the connection.
      aServer.Read(connection);
    }
    close(connection);
  });
  const auto client = HttpClient::Create(1);
  HttpCall call = Post(server);
  call.timeout_ = std::chrono::seconds(20);
  call.idleTimeout_ = std::chrono::seconds(1);
  const HttpResult result = SendAndWait(*client, std::move(call));
  if (stops) {
    CHECK(result.end_ == HttpEnd::TimedOut);
  } else {
    CHECK(result.end_ == HttpEnd::Whole);
    CHECK(result.response_.body_ == "xxxxxx");
  }
}

TEST_CASE("a call without an answer ends when its silence is over")
{
  RawServer server([](RawServer& aServer) {
    const int connection = aServer.Accept();
    aServer.Read(connection);
    aServer.Read(connection);
    close(connection);
  });
  const auto client = HttpClient::Create(1);
  HttpCall call = Post(server);
  call.timeout_ = std::chrono::seconds(20);
  call.idleTimeout_ = std::chrono::milliseconds(100);
  CHECK(SendAndWait(*client, std::move(call)).end_ == HttpEnd::TimedOut);
}
