#include "runtime/rpc_links.hpp"

#include "runtime/rpc_wire.hpp"

#include <capnp/rpc-twoparty.h>
#include <random>

namespace marjoramtally {

/// A connection to one peer.
struct RpcLink
{
  explicit RpcLink(kj::Own<kj::AsyncIoStream> aStream)
    : stream_(kj::mv(aStream))
    , network_(*stream_, capnp::rpc::twoparty::Side::CLIENT, RpcReaderLimits())
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

namespace {

using CallResponse = capnp::Response<wire::Peer::CallResults>;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return (std::uint64_t{ device() } << kHalf) | device();
}

/// Reading throws where the message is not a valid one.
RpcReply
ReadReplyOrFail(const CallResponse& aResults,
                const RpcMac& aMac,
                const RpcStamp& aCall)
{
  try {
    return ReadReply(aResults, aMac, aCall);
  } catch (const kj::Exception& failure) {
    return Error{ ErrorKind::Timeout,
                  std::string("the answer is unreadable: ") +
                    failure.getDescription().cStr() };
  }
}

} // namespace

RpcLinks::RpcLinks(kj::Network& aNetwork,
                   kj::Timer& aTimer,
                   kj::TaskSet& aTasks,
                   RpcMac& aMac)
  : network_(aNetwork)
  , timer_(aTimer)
  , tasks_(aTasks)
  , mac_(aMac)
  , nonces_(RandomSeed())
{
}

kj::Promise<void>
RpcLinks::Call(std::string aPeer, CallPtr aCall, DonePtr aDone)
{
  const auto known = links_.find(aPeer);
  if (known != links_.end()) {
    return SendCall(aPeer, known->second, aCall, aDone);
  }
  return Connect(aPeer, aCall->timeout_)
    .then(
      [this, aPeer, aCall, aDone](kj::Own<kj::AsyncIoStream> aStream) {
        return SendCall(aPeer, AddLink(aPeer, kj::mv(aStream)), aCall, aDone);
      },
      [aPeer, aDone](kj::Exception&& aFailure) -> kj::Promise<void> {
        (*aDone)(Error{ ErrorKind::Unavailable,
                        "cannot reach " + aPeer + ": " +
                          aFailure.getDescription().cStr() });
        return kj::READY_NOW;
      });
}

kj::Promise<kj::Own<kj::AsyncIoStream>>
RpcLinks::Connect(const std::string& aPeer, Duration aLimit)
{
  const auto limit =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLimit);
  return network_.parseAddress(aPeer.c_str())
    .then([](kj::Own<kj::NetworkAddress> aAddress) {
      auto connected = aAddress->connect();
      return connected.attach(kj::mv(aAddress));
    })
    .exclusiveJoin(timer_.afterDelay(limit.count() * kj::MILLISECONDS)
                     .then([]() -> kj::Own<kj::AsyncIoStream> {
                       KJ_FAIL_REQUIRE("connecting took too long");
                     }));
}

RpcLinks::LinkPtr
RpcLinks::AddLink(const std::string& aPeer, kj::Own<kj::AsyncIoStream> aStream)
{
  auto link = std::make_shared<RpcLink>(kj::mv(aStream));
  const auto [it, added] = links_.emplace(aPeer, link);
  if (added) {
    WatchLink(aPeer, link);
  }
  return it->second;
}

void
RpcLinks::WatchLink(const std::string& aPeer, const LinkPtr& aLink)
{
  std::weak_ptr<RpcLink> weak = aLink;
  tasks_.add(aLink->network_.onDisconnect().then([this, aPeer, weak] {
    const auto it = links_.find(aPeer);
    if (it != links_.end() && it->second == weak.lock()) {
      links_.erase(it);
    }
  }));
}

kj::Promise<void>
RpcLinks::SendCall(const std::string& aPeer,
                   LinkPtr aLink,
                   const CallPtr& aCall,
                   DonePtr aDone)
{
  const auto limit =
    std::chrono::ceil<std::chrono::milliseconds>(aCall->timeout_);
  const RpcStamp stamp = mac_.Stamp(
    { static_cast<std::uint16_t>(aCall->topic_), aPeer, aCall->body_ },
    WallMillis(),
    nonces_.Next());
  auto request = aLink->peer_.callRequest();
  WriteCall(request, *aCall, stamp);
  kj::Promise<CallResponse> reply = request.send();
  return reply
    .exclusiveJoin(timer_.afterDelay(limit.count() * kj::MILLISECONDS)
                     .then([]() -> CallResponse {
                       KJ_FAIL_REQUIRE("the call took too long");
                     }))
    .then(
      [this, aDone, stamp](CallResponse&& aResults) {
        (*aDone)(ReadReplyOrFail(aResults, mac_, stamp));
      },
      [this, aPeer, aLink, aDone](kj::Exception&& aFailure) {
        Drop(aPeer, aLink);
        (*aDone)(Error{ ErrorKind::Timeout,
                        "call to " + aPeer +
                          " failed: " + aFailure.getDescription().cStr() });
      })
    .attach(std::move(aLink));
}

/// Removes a link after a failed call, so that the next call opens a new
/// connection; calls in progress keep the old one. A timed-out call counts as
/// failed, because a connection may stop delivering data without being closed.
void
RpcLinks::Drop(const std::string& aPeer, const LinkPtr& aLink)
{
  const auto it = links_.find(aPeer);
  if (it != links_.end() && it->second == aLink) {
    links_.erase(it);
  }
}

} // namespace marjoramtally
