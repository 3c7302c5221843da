#include "marjoramtally/runtime/rpc.hpp"

#include "runtime/rpc_links.hpp"
#include "runtime/rpc_server.hpp"

#include <future>
#include <thread>

namespace marjoramtally {

namespace {

/// A node with an event loop on its own thread.
class KjNode final
  : public RpcNode
  , private kj::TaskSet::ErrorHandler
{
public:
  KjNode(RpcHandler aHandler, std::vector<std::string> aKeys)
    : context_{ std::move(aHandler), RpcMac(std::move(aKeys)), {} }
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
    mailbox_->Post([this, aPeer, call, done] {
      tasks_->add(links_->Call(aPeer, call, done));
    });
  }

private:
  void Run(const std::string& aAddress,
           std::uint16_t aPort,
           std::promise<Result<bool>>& aOpened)
  {
    auto io = kj::setupAsyncIo();
    auto& network = io.provider->getNetwork();
    kj::TaskSet tasks(*this);
    tasks_ = &tasks;
    RpcLinks links(network, io.provider->getTimer(), tasks, context_.mac_);
    links_ = &links;
    const std::string text = aAddress + ":" + std::to_string(aPort);
    try {
      Listen(network.parseAddress(text.c_str()).wait(io.waitScope), aAddress);
    } catch (const kj::Exception& failure) {
      aOpened.set_value(Error{ ErrorKind::Unavailable,
                               "cannot listen on " + text + ": " +
                                 failure.getDescription().cStr() });
      return;
    }
    aOpened.set_value(true);
    while (!stopping_) {
      auto next = mailbox_->RunPosted();
      if (!stopping_) {
        next.wait(io.waitScope);
      }
    }
  }

  void Listen(kj::Own<kj::NetworkAddress> aBound, const std::string& aAddress)
  {
    auto receiver = aBound->listen();
    port_ = static_cast<std::uint16_t>(receiver->getPort());
    context_.self_ = aAddress + ":" + std::to_string(port_);
    tasks_->add(AcceptLoop(kj::mv(receiver)));
  }

  kj::Promise<void> AcceptLoop(kj::Own<kj::ConnectionReceiver> aReceiver)
  {
    auto& receiver = *aReceiver;
    return receiver.accept()
      .then([this](kj::Own<kj::AsyncIoStream> aStream) {
        tasks_->add(ServeConnection(kj::mv(aStream), context_, mailbox_));
      })
      .then([this, receiver = kj::mv(aReceiver)]() mutable {
        return AcceptLoop(kj::mv(receiver));
      });
  }

  void taskFailed(kj::Exception&& /*aFailure*/) override
  {
    // Tasks fail when their connection is lost; calls report their own
    // failures.
  }

  RpcNodeContext context_;
  std::shared_ptr<RpcMailbox> mailbox_ = std::make_shared<RpcMailbox>();
  std::thread thread_;
  std::atomic<std::uint16_t> port_{ 0 };
  /// Used on the node's thread only.
  bool stopping_ = false;
  kj::TaskSet* tasks_ = nullptr;
  RpcLinks* links_ = nullptr;
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
