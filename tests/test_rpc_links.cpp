/// Calls to peers that stop answering on an open connection.

#include "loopback_listener.hpp"
#include "marjoramtally/runtime/rpc.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

/// Accepts connections and never answers on them.
class UnresponsivePeer
{
public:
  UnresponsivePeer()
  {
    const LoopbackListener listener = ListenOnLoopback(8);
    listener_ = listener.socket_;
    address_ = listener.Address();
    thread_ = std::thread([this] {
      for (int connection = accept(listener_, nullptr, nullptr);
           connection >= 0;
           connection = accept(listener_, nullptr, nullptr)) {
        ++accepted_;
        open_.push_back(connection);
      }
    });
  }

  ~UnresponsivePeer()
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
  int listener_ = -1;
  std::vector<int> open_;
  std::thread thread_;
};

} // namespace

TEST_CASE("after a timed-out call the next one opens a new connection")
{
  UnresponsivePeer peer;
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

// Addresses come from records that any writer may leave.
TEST_CASE("a call to a peer with an odd address fails and harms no other call")
{
  using namespace std::string_literals;
  UnresponsivePeer peer;
  auto node = RpcNode::Start(
    "127.0.0.1", 0, [](const RpcCall&, const RpcDone& aDone) { aDone("own"); });
  REQUIRE(node);
  const auto call = [&](const std::string& aAddress) {
    std::promise<RpcReply> reply;
    RpcCall sent;
    sent.topic_ = RpcTopic::Watch;
    sent.timeout_ = std::chrono::milliseconds(500);
    node.value()->Call(
      aAddress, std::move(sent), [&reply](const RpcReply& aReply) {
        reply.set_value(aReply);
      });
    return reply.get_future().get();
  };
  for (const std::string& odd : { ""s,
                                  ":"s,
                                  ":80"s,
                                  "127.0.0.1"s,
                                  "127.0.0.1:"s,
                                  "127.0.0.1:0"s,
                                  "127.0.0.1:-1"s,
                                  "127.0.0.1:65536"s,
                                  "127.0.0.1:70000"s,
                                  "127.0.0.1:99999999999999999999"s,
                                  "127.0.0.1:x"s,
                                  "127.0.0.1:1\0x"s,
                                  "[::1"s,
                                  "[::1]:0"s,
                                  "\r\n:80"s,
                                  "\xff\xfe:80"s,
                                  "unix:"s,
                                  "unix:/nowhere/at/all"s,
                                  std::string(1U << 20U, 'a') + ":80" }) {
    INFO(odd.substr(0, 60));
    CHECK_FALSE(call(odd));
  }
  CHECK(call("127.0.0.1:" + std::to_string(node.value()->Port())));
}
