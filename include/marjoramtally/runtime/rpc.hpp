/// Calls between our own processes, over Cap'n Proto RPC.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marjoramtally {

/// Which part of a process a call is for. Numbers are fixed on the wire.
enum class RpcTopic : std::uint16_t
{
  /// Entry to control: one trainer operation.
  Trainer = 1,
  /// Control to entry: generate one candidate.
  Generate = 2,
  /// Any to any: membership probe and digest.
  Gossip = 3,
  /// Any to any: fetch configuration.
  Config = 4,
  /// Entry to entry: claims and quarantine.
  Claim = 5,
  /// Any to a relay: changes of the store's records.
  Watch = 6,
  /// Any to a job's owner: its results.
  Job = 7,
  /// Gateway to gateway: requests that crash upstreams.
  Suspicion = 8,
  /// Any to a job's owner: the body of an item.
  JobBody = 9,
  /// Gateway to gateway: a submission to accept and own.
  JobHandOn = 10,
  /// Holder of the duty of reports to a gateway: counts of customers' use.
  Usage = 11,
};

/// One call; its body is an encoded message of the topic's schema.
struct RpcCall
{
  RpcTopic topic_ = RpcTopic::Gossip;
  Duration timeout_ = std::chrono::seconds(5);
  /// W3C trace context, or empty.
  std::string traceparent_;
  std::string body_;
};

using RpcReply = Result<std::string>;
using RpcDone = std::function<void(RpcReply)>;
/// Answers a call, at once or later, from any thread, exactly once.
using RpcHandler = std::function<void(RpcCall, RpcDone)>;

/// Serves and makes calls on one thread of its own.
class RpcNode
{
public:
  /// @param aAddress IP number to listen on
  /// @param aPort 0 takes a port from the kernel
  /// @param aKeys shared keys, as `RpcMac` takes them; none: no proofs
  [[nodiscard]] static Result<std::unique_ptr<RpcNode>> Start(
    const std::string& aAddress,
    std::uint16_t aPort,
    RpcHandler aHandler,
    std::vector<std::string> aKeys = {});

  virtual ~RpcNode() = default;
  [[nodiscard]] virtual std::uint16_t Port() const noexcept = 0;
  /// Calls a peer; `aDone` is called once on the node's thread, or not at
  /// all if the node is destroyed before the answer.
  /// `Unavailable` means that the call was not sent.
  virtual void Call(const std::string& aPeer, RpcCall aCall, RpcDone aDone) = 0;
};

} // namespace marjoramtally
