#include "marjoramtally/runtime/rpc.hpp"

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/runtime/log.hpp"
#include "marjoramtally/runtime/rpc_mac.hpp"

#include "wire/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <future>
#include <kj/async-io.h>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>
#include <vector>

namespace marjoramtally {

namespace {

/// Largest message either side reads, in words of eight bytes.
constexpr std::uint64_t kMaxMessageWords = 8U * 1024U * 1024U;

capnp::ReaderOptions
ReaderLimits()
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

capnp::Data::Reader
AsData(const std::string& aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

std::string
AsString(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

std::uint64_t
WallMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Tasks handed to the event loop's thread from others.
class Mailbox
{
public:
  void Post(std::function<void()> aTask)
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(aTask));
    if (wake_.get() != nullptr) {
      wake_->fulfill();
      wake_ = nullptr;
    }
  }

  /// Runs the tasks posted so far, then arms the next wake-up.
  kj::Promise<void> Next()
  {
    std::vector<std::function<void()>> tasks;
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
      wake_ = kj::mv(pair.fulfiller);
    }
    for (auto& task : tasks) {
      task();
    }
    return kj::mv(pair.promise);
  }

private:
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_;
};

/// What all connections of a node share; used on the node's thread.
struct NodeContext
{
  RpcHandler handler_;
  RpcMac mac_;
  /// The address that peers call.
  std::string self_;
};

/// Writes an answer with its proof.
void
WriteReply(wire::Peer::CallResults::Builder aResults,
           const RpcReply& aReply,
           const RpcMac& aMac,
           const RpcStamp& aCall)
{
  std::uint16_t error = 0;
  if (aReply) {
    aResults.setBody(AsData(aReply.value()));
  } else {
    error = static_cast<std::uint16_t>(
      static_cast<std::uint16_t>(aReply.error().kind_) + 1);
    aResults.setError(error);
    aResults.setMessage(aReply.error().message_);
  }
  const std::string& covered =
    aReply ? aReply.value() : aReply.error().message_;
  aResults.setMac(AsData(aMac.SignReply(aCall, error, covered)));
}

/// Serves calls by handing them to the node's handler.
class PeerServer final : public wire::Peer::Server
{
public:
  PeerServer(NodeContext& aNode, std::shared_ptr<Mailbox> aMailbox)
    : node_(aNode)
    , mailbox_(std::move(aMailbox))
  {
  }

  kj::Promise<void> call(CallContext aContext) override
  {
    const auto params = aContext.getParams();
    RpcCall call;
    call.topic_ = static_cast<RpcTopic>(params.getTopic());
    call.timeout_ = std::chrono::milliseconds(params.getTimeoutMs());
    call.traceparent_ = params.getTraceparent().cStr();
    call.body_ = AsString(params.getBody());
    const RpcStamp stamp{ params.getSentMs(),
                          params.getNonce(),
                          AsString(params.getMac()) };
    const RpcVerdict verdict = node_.mac_.Accept(
      { params.getTopic(), node_.self_, call.body_ }, stamp, WallMillis());
    if (verdict != RpcVerdict::Accepted) {
      Refuse(aContext, verdict, stamp);
      return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<kj::Own<RpcReply>>();
    auto fulfiller =
      std::make_shared<kj::Own<kj::PromiseFulfiller<kj::Own<RpcReply>>>>(
        kj::mv(pair.fulfiller));
    node_.handler_(
      std::move(call), [fulfiller, mailbox = mailbox_](RpcReply aReply) {
        mailbox->Post([fulfiller, reply = std::move(aReply)]() mutable {
          (*fulfiller)->fulfill(kj::heap<RpcReply>(std::move(reply)));
        });
      });
    return pair.promise.then(
      [aContext, stamp, &node = node_](kj::Own<RpcReply> aReply) mutable {
        WriteReply(aContext.getResults(), *aReply, node.mac_, stamp);
      });
  }

private:
  void Refuse(CallContext aContext,
              RpcVerdict aVerdict,
              const RpcStamp& aStamp) const
  {
    const std::string reason(ToString(aVerdict));
    LogEvent(LogLevel::Warn, "peer_call_refused", { { "reason", reason } });
    const RpcReply reply =
      Error{ ErrorKind::Refused, "the call's proof is refused: " + reason };
    WriteReply(aContext.getResults(), reply, node_.mac_, aStamp);
  }

  NodeContext& node_;
  std::shared_ptr<Mailbox> mailbox_;
};

/// A connection to one peer.
struct PeerLink
{
  explicit PeerLink(kj::Own<kj::AsyncIoStream> aStream)
    : stream_(kj::mv(aStream))
    , network_(*stream_, capnp::rpc::twoparty::Side::CLIENT, ReaderLimits())
    , system_(capnp::makeRpcClient(network_))
    , peer_(Bootstrap())
  {
  }

  wire::Peer::Client Bootstrap()
  {
    capnp::MallocMessageBuilder message;
    auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
    id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return system_.bootstrap(id).castAs<wire::Peer>();
  }

  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
  wire::Peer::Client peer_;
};

/// One accepted connection.
struct ServerLink
{
  ServerLink(kj::Own<kj::AsyncIoStream> aStream,
             capnp::Capability::Client aBootstrap)
    : stream_(kj::mv(aStream))
    , network_(*stream_, capnp::rpc::twoparty::Side::SERVER, ReaderLimits())
    , system_(capnp::makeRpcServer(network_, kj::mv(aBootstrap)))
  {
  }

  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
};

class KjNode final
  : public RpcNode
  , private kj::TaskSet::ErrorHandler
{
public:
  KjNode(RpcHandler aHandler, std::vector<std::string> aKeys)
    : context_{ std::move(aHandler), RpcMac(std::move(aKeys)), {} }
    , nonces_(RandomSeed())
  {
  }

  ~KjNode() override
  {
    if (thread_.joinable()) {
      mailbox_->Post([this] { stopping_ = true; });
      thread_.join();
    }
  }

  Result<bool> Open(const std::string& aAddress, std::uint16_t aPort)
  {
    std::promise<Result<bool>> opened;
    auto future = opened.get_future();
    thread_ = std::thread(
      [this, &opened, aAddress, aPort] { Run(aAddress, aPort, opened); });
    return future.get();
  }

  [[nodiscard]] std::uint16_t Port() const noexcept override { return port_; }

  void Call(const std::string& aPeer, RpcCall aCall, RpcDone aDone) override
  {
    auto call = std::make_shared<RpcCall>(std::move(aCall));
    auto done = std::make_shared<RpcDone>(std::move(aDone));
    mailbox_->Post(
      [this, aPeer, call, done] { tasks_->add(StartCall(aPeer, call, done)); });
  }

private:
  using CallPtr = std::shared_ptr<RpcCall>;
  using DonePtr = std::shared_ptr<RpcDone>;

  static std::uint64_t RandomSeed()
  {
    std::random_device device;
    constexpr unsigned kHalf = 32;
    return (std::uint64_t{ device() } << kHalf) | device();
  }

  void Run(const std::string& aAddress,
           std::uint16_t aPort,
           std::promise<Result<bool>>& aOpened)
  {
    auto io = kj::setupAsyncIo();
    network_ = &io.provider->getNetwork();
    timer_ = &io.provider->getTimer();
    kj::TaskSet tasks(*this);
    tasks_ = &tasks;
    try {
      const std::string text = aAddress + ":" + std::to_string(aPort);
      auto address = network_->parseAddress(text.c_str()).wait(io.waitScope);
      auto receiver = address->listen();
      port_ = static_cast<std::uint16_t>(receiver->getPort());
      context_.self_ = aAddress + ":" + std::to_string(port_);
      tasks.add(AcceptLoop(kj::mv(receiver)));
    } catch (const kj::Exception& failure) {
      aOpened.set_value(Error{ ErrorKind::Unavailable,
                               "cannot listen on " + aAddress + ":" +
                                 std::to_string(aPort) + ": " +
                                 failure.getDescription().cStr() });
      return;
    }
    aOpened.set_value(true);
    while (!stopping_) {
      auto next = mailbox_->Next();
      if (!stopping_) {
        next.wait(io.waitScope);
      }
    }
    links_.clear();
  }

  kj::Promise<void> AcceptLoop(kj::Own<kj::ConnectionReceiver> aReceiver)
  {
    auto& receiver = *aReceiver;
    return receiver.accept()
      .then([this](kj::Own<kj::AsyncIoStream> aStream) {
        auto server = kj::heap<PeerServer>(context_, mailbox_);
        auto link = kj::heap<ServerLink>(kj::mv(aStream),
                                         wire::Peer::Client(kj::mv(server)));
        auto gone = link->network_.onDisconnect();
        tasks_->add(gone.attach(kj::mv(link)));
      })
      .then([this, receiver = kj::mv(aReceiver)]() mutable {
        return AcceptLoop(kj::mv(receiver));
      });
  }

  kj::Promise<void> StartCall(std::string aPeer, CallPtr aCall, DonePtr aDone)
  {
    const auto known = links_.find(aPeer);
    if (known != links_.end()) {
      return SendCall(aPeer, known->second, aCall, aDone);
    }
    const auto limit =
      std::chrono::duration_cast<std::chrono::milliseconds>(aCall->timeout_);
    return network_->parseAddress(aPeer.c_str())
      .then([](kj::Own<kj::NetworkAddress> aAddress) {
        auto connected = aAddress->connect();
        return connected.attach(kj::mv(aAddress));
      })
      .exclusiveJoin(timer_->afterDelay(limit.count() * kj::MILLISECONDS)
                       .then([]() -> kj::Own<kj::AsyncIoStream> {
                         KJ_FAIL_REQUIRE("connecting took too long");
                       }))
      .then(
        [this, aPeer, aCall, aDone](kj::Own<kj::AsyncIoStream> aStream) {
          auto link = std::make_shared<PeerLink>(kj::mv(aStream));
          auto [it, added] = links_.emplace(aPeer, link);
          if (added) {
            WatchLink(aPeer, link);
          }
          return SendCall(aPeer, it->second, aCall, aDone);
        },
        [aPeer, aDone](kj::Exception&& aFailure) -> kj::Promise<void> {
          (*aDone)(Error{ ErrorKind::Unavailable,
                          "cannot reach " + aPeer + ": " +
                            aFailure.getDescription().cStr() });
          return kj::READY_NOW;
        });
  }

  /// Forgets a link once its connection is lost.
  void WatchLink(const std::string& aPeer,
                 const std::shared_ptr<PeerLink>& aLink)
  {
    std::weak_ptr<PeerLink> weak = aLink;
    tasks_->add(aLink->network_.onDisconnect().then([this, aPeer, weak] {
      const auto it = links_.find(aPeer);
      if (it != links_.end() && it->second == weak.lock()) {
        links_.erase(it);
      }
    }));
  }

  kj::Promise<void> SendCall(const std::string& aPeer,
                             std::shared_ptr<PeerLink> aLink,
                             CallPtr aCall,
                             DonePtr aDone)
  {
    const auto limit =
      std::chrono::ceil<std::chrono::milliseconds>(aCall->timeout_);
    auto request = aLink->peer_.callRequest();
    request.setTopic(static_cast<std::uint16_t>(aCall->topic_));
    request.setTimeoutMs(static_cast<std::uint32_t>(limit.count()));
    request.setTraceparent(aCall->traceparent_);
    request.setBody(AsData(aCall->body_));
    const RpcStamp stamp = context_.mac_.Stamp(
      { static_cast<std::uint16_t>(aCall->topic_), aPeer, aCall->body_ },
      WallMillis(),
      nonces_.Next());
    request.setSentMs(stamp.unixMillis_);
    request.setNonce(stamp.nonce_);
    request.setMac(AsData(stamp.mac_));
    kj::Promise<capnp::Response<wire::Peer::CallResults>> reply =
      request.send();
    return reply
      .exclusiveJoin(timer_->afterDelay(limit.count() * kj::MILLISECONDS)
                       .then([]() -> capnp::Response<wire::Peer::CallResults> {
                         KJ_FAIL_REQUIRE("the call took too long");
                       }))
      .then(
        [this, aDone, stamp](
          capnp::Response<wire::Peer::CallResults>&& aResults) {
          (*aDone)(Decode(aResults, stamp));
        },
        [this, aPeer, aLink, aDone](kj::Exception&& aFailure) {
          DropIfLost(aPeer, aLink, aFailure);
          (*aDone)(Error{ ErrorKind::Timeout,
                          "call to " + aPeer +
                            " failed: " + aFailure.getDescription().cStr() });
        })
      .attach(std::move(aLink));
  }

  void DropIfLost(const std::string& aPeer,
                  const std::shared_ptr<PeerLink>& aLink,
                  const kj::Exception& aFailure)
  {
    const auto it = links_.find(aPeer);
    const bool lost = aFailure.getType() == kj::Exception::Type::DISCONNECTED;
    if (lost && it != links_.end() && it->second == aLink) {
      links_.erase(it);
    }
  }

  RpcReply Decode(wire::Peer::CallResults::Reader aResults,
                  const RpcStamp& aCall) const
  {
    const std::uint16_t error = aResults.getError();
    std::string covered = error == 0
                            ? AsString(aResults.getBody())
                            : std::string(aResults.getMessage().cStr());
    const std::string mac = AsString(aResults.getMac());
    if (!context_.mac_.VerifyReply(aCall, error, covered, mac)) {
      LogEvent(LogLevel::Warn, "peer_answer_refused");
      return Error{ ErrorKind::Timeout, "the answer's proof is wrong" };
    }
    if (error == 0) {
      return covered;
    }
    const auto last = static_cast<std::uint16_t>(ErrorKind::Internal);
    const auto kind = std::min<std::uint16_t>(error - 1, last);
    return Error{ static_cast<ErrorKind>(kind), std::move(covered) };
  }

  void taskFailed(kj::Exception&& /*aFailure*/) override
  {
    // Lost connections end their tasks; calls report their own failures.
  }

  NodeContext context_;
  Random nonces_;
  std::shared_ptr<Mailbox> mailbox_ = std::make_shared<Mailbox>();
  std::thread thread_;
  std::atomic<std::uint16_t> port_{ 0 };
  /// Used on the node's thread only.
  bool stopping_ = false;
  kj::Network* network_ = nullptr;
  kj::Timer* timer_ = nullptr;
  kj::TaskSet* tasks_ = nullptr;
  std::unordered_map<std::string, std::shared_ptr<PeerLink>> links_;
};

} // namespace

Result<std::unique_ptr<RpcNode>>
RpcNode::Start(const std::string& aAddress,
               std::uint16_t aPort,
               RpcHandler aHandler,
               std::vector<std::string> aKeys)
{
  auto node = std::make_unique<KjNode>(std::move(aHandler), std::move(aKeys));
  auto opened = node->Open(aAddress, aPort);
  if (!opened) {
    return opened.error();
  }
  return std::unique_ptr<RpcNode>(std::move(node));
}

} // namespace marjoramtally
