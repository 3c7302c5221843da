/// Calls between instances whose bytes, or those of their answers, do not
/// arrive whole.

#include "caller_socket.hpp"
#include "loopback_listener.hpp"
#include "marjoramtally/runtime/rpc.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstring>
#include <future>
#include <optional>
#include <poll.h>
#include <thread>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

/// What becomes of an answer's bytes on the way to the caller.
struct Damage
{
  enum class Kind
  {
    None,
    Closes,
    Resets,
    Alters,
  };
  Kind kind_ = Kind::None;
  /// Index of the first byte that does not arrive as it was sent.
  std::size_t at_ = 0;
};

/// Passes one connection after the other on to a node, and records its bytes.
class DamagingProxy
{
public:
  explicit DamagingProxy(std::uint16_t aNode)
    : node_(aNode)
    , listener_(ListenOnLoopback(8))
    , thread_([this] { PassAll(); })
  {
  }
  ~DamagingProxy()
  {
    stopping_ = true;
    shutdown(listener_.socket_, SHUT_RDWR);
    thread_.join();
    close(listener_.socket_);
  }
  DamagingProxy(const DamagingProxy&) = delete;
  DamagingProxy& operator=(const DamagingProxy&) = delete;

  [[nodiscard]] std::string Address() const { return listener_.Address(); }

  /// Set only while no call is in progress.
  Damage damage_;
  std::string sent_;
  std::string answered_;

private:
  void PassAll()
  {
    int caller = 0;
    while ((caller = accept(listener_.socket_, nullptr, nullptr)) >= 0) {
      CallerSocket node(node_);
      sent_.clear();
      answered_.clear();
      PassUntilEnd(caller, node);
      if (damage_.kind_ == Damage::Kind::Resets) {
        const linger atOnce{ 1, 0 };
        setsockopt(caller, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
      }
      close(caller);
    }
  }

  void PassUntilEnd(int aCaller, CallerSocket& aNode)
  {
    std::array<char, 4096> part{};
    while (!stopping_) {
      std::array<pollfd, 2> ready{ pollfd{ aCaller, POLLIN, 0 },
                                   pollfd{ aNode.Handle(), POLLIN, 0 } };
      constexpr int kLookEveryMillis = 20;
      poll(ready.data(), ready.size(), kLookEveryMillis);
      if (ready[0].revents != 0) {
        const ssize_t got = recv(aCaller, part.data(), part.size(), 0);
        if (got <= 0) {
          return;
        }
        sent_.append(part.data(), static_cast<std::size_t>(got));
        aNode.Send({ part.data(), static_cast<std::size_t>(got) });
      }
      if (ready[1].revents != 0) {
        const std::string bytes = aNode.Read();
        if (bytes.empty() || !Answer(aCaller, bytes)) {
          return;
        }
      }
    }
  }

  /// @returns whether the connection goes on
  bool Answer(int aCaller, std::string aBytes)
  {
    const std::size_t begin = answered_.size();
    answered_ += aBytes;
    const bool reached =
      damage_.kind_ != Damage::Kind::None && answered_.size() > damage_.at_;
    const bool cuts = reached && damage_.kind_ != Damage::Kind::Alters;
    if (cuts) {
      aBytes.resize(damage_.at_ - begin);
    } else if (reached && damage_.at_ >= begin) {
      aBytes[damage_.at_ - begin] ^= static_cast<char>(0xff);
    }
    static_cast<void>(
      send(aCaller, aBytes.data(), aBytes.size(), MSG_NOSIGNAL));
    return !cuts;
  }

  std::uint16_t node_;
  LoopbackListener listener_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

/// A node that counts the calls that it runs.
struct CountingNode
{
  CountingNode()
    : node_(
        std::move(RpcNode::Start("127.0.0.1",
                                 0,
                                 [this](const RpcCall&, const RpcDone& aDone) {
                                   ++calls_;
                                   aDone(std::string("the whole answer"));
                                 }))
          .value())
  {
  }
  std::atomic<int> calls_{ 0 };
  std::unique_ptr<RpcNode> node_;
};

/// Calls with a node of its own, so that each call has a connection of its own.
/// @returns nothing if the call does not end
std::optional<RpcReply>
TryCall(const std::string& aPeer, Duration aLimit)
{
  auto node = std::move(RpcNode::Start("127.0.0.1",
                                       0,
                                       [](const RpcCall&,
                                          const RpcDone& aDone) { aDone(""); }))
                .value();
  auto answered = std::make_shared<std::promise<RpcReply>>();
  auto future = answered->get_future();
  RpcCall call;
  call.topic_ = RpcTopic::JobHandOn;
  call.body_ = "body";
  call.timeout_ = aLimit;
  node->Call(aPeer, std::move(call), [answered](RpcReply aReply) {
    answered->set_value(std::move(aReply));
  });
  if (future.wait_for(10s) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

RpcReply
CallOnce(const std::string& aPeer, Duration aLimit)
{
  auto reply = TryCall(aPeer, aLimit);
  REQUIRE(reply);
  return std::move(*reply);
}

/// @returns where a message of a stream ends (Cap'n Proto's stream framing:
/// number of segments less one, their sizes in words, padding, segments)
std::size_t
EndOfMessage(const std::string& aBytes, std::size_t aBegin)
{
  const auto number = [&](std::size_t aIndex) {
    std::uint32_t value = 0;
    std::memcpy(&value, &aBytes.at(aBegin + 4 * aIndex), sizeof(value));
    return std::size_t{ value };
  };
  const std::size_t segments = number(0) + 1;
  std::size_t words = segments / 2 + 1;
  for (std::size_t i = 1; i <= segments; ++i) {
    words += number(i);
  }
  return aBegin + 8 * words;
}

std::string
AddressOf(const CountingNode& aNode)
{
  return "127.0.0.1:" + std::to_string(aNode.node_->Port());
}

} // namespace

TEST_CASE("an answer of a peer that is cut is an unknown outcome")
{
  CountingNode node;
  DamagingProxy proxy(node.node_->Port());
  REQUIRE(CallOnce(proxy.Address(), 5s).value() == "the whole answer");
  const std::size_t size = proxy.answered_.size();
  const auto kind = GENERATE(Damage::Kind::Closes, Damage::Kind::Resets);
  int made = 1;
  for (std::size_t at = 0; at < size; at += 3) {
    CAPTURE(static_cast<int>(kind), at, size);
    proxy.damage_ = { kind, at };
    const RpcReply reply = CallOnce(proxy.Address(), 2s);
    const bool whole = reply && reply.value() == "the whole answer";
    CHECK((whole || (!reply && reply.error().kind_ == ErrorKind::Timeout)));
    ++made;
  }
  CHECK(CallOnce(AddressOf(node), 5s).value() == "the whole answer");
  CHECK(node.calls_ <= made + 1);
}

// A call whose answer could not be read never ended.
TEST_CASE("a call whose answer is damaged ends")
{
  CountingNode node;
  DamagingProxy proxy(node.node_->Port());
  REQUIRE(CallOnce(proxy.Address(), 5s).value() == "the whole answer");
  const std::size_t size = proxy.answered_.size();
  for (std::size_t at = 0; at < size; ++at) {
    CAPTURE(at, size);
    proxy.damage_ = { Damage::Kind::Alters, at };
    CHECK(TryCall(proxy.Address(), 30ms));
  }
}

TEST_CASE("a call of a peer that is cut is not run")
{
  CountingNode node;
  std::string whole;
  {
    DamagingProxy proxy(node.node_->Port());
    REQUIRE(CallOnce(proxy.Address(), 5s));
    whole = proxy.sent_;
  }
  REQUIRE(node.calls_ == 1);
  const bool resets = GENERATE(false, true);
  CAPTURE(resets);
  // The call is the second message, after the one that opens the connection.
  const std::size_t end = EndOfMessage(whole, EndOfMessage(whole, 0));
  REQUIRE(end <= whole.size());
  for (std::size_t size = 0; size < end; ++size) {
    CallerSocket caller(node.node_->Port());
    caller.Send(std::string_view(whole).substr(0, size));
    if (resets) {
      caller.Reset();
    } else {
      caller.EndSending();
      caller.ReadAll();
    }
  }
  CHECK(CallOnce(AddressOf(node), 5s).value() == "the whole answer");
  CHECK(node.calls_ == 2);
}

TEST_CASE("a damaged call ends its connection, not the instance")
{
  CountingNode node;
  std::string whole;
  {
    DamagingProxy proxy(node.node_->Port());
    REQUIRE(CallOnce(proxy.Address(), 5s));
    whole = proxy.sent_;
  }
  for (std::size_t at = 0; at < whole.size(); ++at) {
    CAPTURE(at, whole.size());
    std::string damaged = whole;
    damaged[at] ^= static_cast<char>(0xff);
    CallerSocket caller(node.node_->Port());
    caller.Send(damaged + "odd");
    caller.EndSending();
    caller.ReadAll();
  }
  CHECK(CallOnce(AddressOf(node), 5s).value() == "the whole answer");
}
