/// Calls to peers whose connections fall silent.

#include "marjoramtally/runtime/rpc.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace marjoramtally;

namespace {

/// Accepts connections and never answers on them.
class SilentPeer
{
public:
  SilentPeer()
    : listener_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    listen(listener_, 8);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    thread_ = std::thread([this] {
      for (int connection = accept(listener_, nullptr, nullptr);
           connection >= 0;
           connection = accept(listener_, nullptr, nullptr)) {
        ++accepted_;
        open_.push_back(connection);
      }
    });
  }

  ~SilentPeer()
  {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
    for (const int connection : open_) {
      close(connection);
    }
  }

  std::string address_;
  std::atomic<int> accepted_{ 0 };

private:
  int listener_;
  std::vector<int> open_;
  std::thread thread_;
};

} // namespace

TEST_CASE("after a call that took too long the next opens a new connection")
{
  SilentPeer peer;
  auto node = RpcNode::Start(
    "127.0.0.1", 0, [](const RpcCall&, const RpcDone& aDone) { aDone(""); });
  REQUIRE(node);
  for (int i = 1; i <= 2; ++i) {
    std::promise<ErrorKind> failed;
    RpcCall call;
    call.topic_ = RpcTopic::Watch;
    call.timeout_ = std::chrono::milliseconds(50);
    node.value()->Call(
      peer.address_, std::move(call), [&failed](const RpcReply& aReply) {
        failed.set_value(aReply ? ErrorKind::Internal : aReply.error().kind_);
      });
    REQUIRE(failed.get_future().get() == ErrorKind::Timeout);
    REQUIRE(peer.accepted_ == i);
  }
}
