/// Detection of callers that disconnect, and the assignment of connections to
/// callers.

#include "marjoramtally/runtime.hpp"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace marjoramtally;

namespace {

/// Holds replies until the test uses them.
class HeldReplies
{
public:
  HttpHandler Handler()
  {
    return [this](const HttpRequest&, HttpReplyPtr aReply) {
      const std::lock_guard lock(mutex_);
      replies_.push_back(std::move(aReply));
      changed_.notify_all();
    };
  }

  HttpReplyPtr Take()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !replies_.empty(); });
    HttpReplyPtr reply = std::move(replies_.front());
    replies_.pop_front();
    return reply;
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<HttpReplyPtr> replies_;
};

/// Connects from a given local port and sends one request.
/// @param aPort 0 lets the kernel choose the port
int
Connect(std::uint16_t aServer, std::uint16_t aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  REQUIRE(bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
          0);
  address.sin_port = htons(aServer);
  REQUIRE(connect(handle,
                  reinterpret_cast<sockaddr*>(&address),
                  sizeof address) == 0);
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  send(handle, request.data(), request.size(), MSG_NOSIGNAL);
  return handle;
}

std::uint16_t
LocalPort(int aHandle)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(aHandle, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Closes with a reset, so that the port can be reused at once.
void
Reset(int aHandle)
{
  const linger atOnce{ 1, 0 };
  setsockopt(aHandle, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
  close(aHandle);
}

std::string
ReadAll(int aHandle)
{
  std::string bytes;
  char byte = 0;
  while (recv(aHandle, &byte, 1, 0) > 0) {
    bytes.push_back(byte);
  }
  return bytes;
}

} // namespace

TEST_CASE("an aborted stream is visibly incomplete")
{
  HeldReplies held;
  HttpServerOptions options;
  options.threads_ = 1;
  auto server = HttpServer::Start(options, held.Handler());
  const int caller = Connect(server.value()->Port(), 0);
  const HttpReplyPtr reply = held.Take();
  reply->Begin(200, {});
  reply->Chunk("part", {});
  reply->Abort();
  const std::string bytes = ReadAll(caller);
  REQUIRE(bytes.find("0\r\n\r\n") == std::string::npos);
  close(caller);
}

TEST_CASE("a reused port does not hide its new connection")
{
  HeldReplies held;
  HttpServerOptions options;
  options.pool_ = IoPool::Create(1);
  auto server = HttpServer::Start(options, held.Handler());
  const int first = Connect(server.value()->Port(), 0);
  const std::uint16_t port = LocalPort(first);
  HttpReplyPtr old = held.Take();
  Reset(first);
  const int second = Connect(server.value()->Port(), port);
  const HttpReplyPtr reply = held.Take();
  // The old connection ends only now, because its reply was still held.
  old->Abort();
  old.reset();
  reply->Begin(200, {});
  reply->Chunk("part", {});
  // Waits until the loop has closed the old connection, before the new one is
  // aborted.
  std::promise<void> ended;
  options.pool_->Post(0, [&ended] { ended.set_value(); });
  ended.get_future().get();
  reply->Abort();
  const std::string bytes = ReadAll(second);
  REQUIRE(bytes.find("200") != std::string::npos);
  REQUIRE(bytes.find("0\r\n\r\n") == std::string::npos);
  close(second);
}

TEST_CASE("accepting can be stopped from the server's own loop")
{
  std::unique_ptr<HttpServer> server;
  std::atomic<bool> closed{ false };
  HttpServerOptions options;
  options.threads_ = 1;
  auto started = HttpServer::Start(
    options, [&](const HttpRequest&, const HttpReplyPtr& aReply) {
      server->StopAccepting();
      closed = true;
      aReply->Send(HttpResponse{ 200, {}, "closed" });
    });
  server = std::move(started).value();
  const int caller = Connect(server->Port(), 0);
  REQUIRE(ReadAll(caller).find("closed") != std::string::npos);
  REQUIRE(closed);
  close(caller);
}

TEST_CASE("a caller's disconnect is detected while its request is in progress")
{
  HeldReplies held;
  HttpServerOptions options;
  options.pool_ = IoPool::Create(1);
  auto server = HttpServer::Start(options, held.Handler());
  const int caller = Connect(server.value()->Port(), 0);
  const HttpReplyPtr reply = held.Take();
  std::promise<void> gone;
  options.pool_->Post(0, [&] {
    reply->OnCallerGone([&gone] { gone.set_value(); });
    close(caller);
  });
  gone.get_future().get();
}

// Guards against an answer that is cut when a stopping process exits: it
// counted as done once it was handed to the library.
TEST_CASE("a request is in flight until its response is written")
{
  HeldReplies held;
  HttpServerOptions options;
  options.threads_ = 1;
  auto server = std::move(HttpServer::Start(options, held.Handler())).value();
  const int caller = Connect(server->Port(), 0);
  const HttpReplyPtr reply = held.Take();
  REQUIRE(server->InFlight() == 1);
  // More than the sockets of a connection buffer.
  constexpr std::size_t kBytes = 32U << 20U;
  reply->Send({ 200, {}, std::string(kBytes, 'x') });
  std::vector<char> bytes(1U << 16U);
  std::size_t received = 0;
  while (received < kBytes) {
    REQUIRE((received > kBytes / 2 || server->InFlight() == 1));
    const auto got = recv(caller, bytes.data(), bytes.size(), 0);
    REQUIRE(got > 0);
    received += static_cast<std::size_t>(got);
  }
  while (server->InFlight() != 0) {
    std::this_thread::yield();
  }
  close(caller);
}
