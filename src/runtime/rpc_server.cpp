#include "runtime/rpc_server.hpp"

#include "marjoramtally/runtime/log.hpp"
#include "runtime/rpc_wire.hpp"

#include <capnp/rpc-twoparty.h>

namespace marjoramtally {

namespace {

/// Passes authenticated calls to the node's handler.
class PeerServer final : public wire::Peer::Server
{
public:
  PeerServer(RpcNodeContext& aNode, std::shared_ptr<RpcMailbox> aMailbox)
    : node_(aNode)
    , mailbox_(std::move(aMailbox))
  {
  }

  kj::Promise<void> call(CallContext aContext) override
  {
    const auto params = aContext.getParams();
    RpcCall call = ReadCall(params);
    const RpcStamp stamp = ReadStamp(params);
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

  RpcNodeContext& node_;
  std::shared_ptr<RpcMailbox> mailbox_;
};

/// One accepted connection.
struct ServerLink
{
  ServerLink(kj::Own<kj::AsyncIoStream> aStream,
             capnp::Capability::Client aBootstrap)
    : stream_(kj::mv(aStream))
    , network_(*stream_, capnp::rpc::twoparty::Side::SERVER, RpcReaderLimits())
    , system_(capnp::makeRpcServer(network_, kj::mv(aBootstrap)))
  {
  }

  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
};

} // namespace

kj::Promise<void>
ServeConnection(kj::Own<kj::AsyncIoStream> aStream,
                RpcNodeContext& aNode,
                std::shared_ptr<RpcMailbox> aMailbox)
{
  auto server = kj::heap<PeerServer>(aNode, std::move(aMailbox));
  auto link =
    kj::heap<ServerLink>(kj::mv(aStream), wire::Peer::Client(kj::mv(server)));
  auto gone = link->network_.onDisconnect();
  return gone.attach(kj::mv(link));
}

} // namespace marjoramtally
