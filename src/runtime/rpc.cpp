#include "marjoramtally/runtime/rpc.hpp"

#include "wire/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <future>
#include <kj/async-io.h>
#include <mutex>
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

/// Serves calls by handing them to the node's handler.
class PeerServer final : public wire::Peer::Server
{
public:
  PeerServer(RpcHandler& aHandler, std::shared_ptr<Mailbox> aMailbox)
    : handler_(aHandler)
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
    auto pair = kj::newPromiseAndFulfiller<kj::Own<RpcReply>>();
    auto fulfiller =
      std::make_shared<kj::Own<kj::PromiseFulfiller<kj::Own<RpcReply>>>>(
        kj::mv(pair.fulfiller));
    handler_(std::move(call), [fulfiller, mailbox = mailbox_](RpcReply aReply) {
      mailbox->Post([fulfiller, reply = std::move(aReply)]() mutable {
        (*fulfiller)->fulfill(kj::heap<RpcReply>(std::move(reply)));
      });
    });
    return pair.promise.then([aContext](kj::Own<RpcReply> aReply) mutable {
      auto results = aContext.getResults();
      if (*aReply) {
        results.setBody(AsData(aReply->value()));
        return;
      }
      const auto kind = static_cast<std::uint16_t>(aReply->error().kind_);
      results.setError(static_cast<std::uint16_t>(kind + 1));
      results.setMessage(aReply->error().message_);
    });
  }

private:
  RpcHandler& handler_;
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
  explicit KjNode(RpcHandler aHandler)
    : handler_(std::move(aHandler))
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
        auto server = kj::heap<PeerServer>(handler_, mailbox_);
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
    kj::Promise<capnp::Response<wire::Peer::CallResults>> reply =
      request.send();
    return reply
      .exclusiveJoin(timer_->afterDelay(limit.count() * kj::MILLISECONDS)
                       .then([]() -> capnp::Response<wire::Peer::CallResults> {
                         KJ_FAIL_REQUIRE("the call took too long");
                       }))
      .then(
        [aDone](capnp::Response<wire::Peer::CallResults>&& aResults) {
          (*aDone)(Decode(aResults));
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

  static RpcReply Decode(wire::Peer::CallResults::Reader aResults)
  {
    const std::uint16_t error = aResults.getError();
    if (error == 0) {
      return AsString(aResults.getBody());
    }
    const auto last = static_cast<std::uint16_t>(ErrorKind::Internal);
    const auto kind = std::min<std::uint16_t>(error - 1, last);
    return Error{ static_cast<ErrorKind>(kind), aResults.getMessage().cStr() };
  }

  void taskFailed(kj::Exception&& /*aFailure*/) override
  {
    // Lost connections end their tasks; calls report their own failures.
  }

  RpcHandler handler_;
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
               RpcHandler aHandler)
{
  auto node = std::make_unique<KjNode>(std::move(aHandler));
  auto opened = node->Open(aAddress, aPort);
  if (!opened) {
    return opened.error();
  }
  return std::unique_ptr<RpcNode>(std::move(node));
}

} // namespace marjoramtally
