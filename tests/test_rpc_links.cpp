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
