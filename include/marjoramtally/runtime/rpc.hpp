/// Calls between the system's processes, over Cap'n Proto RPC.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marjoramtally {

/// Selects the part of a process that handles a call. Numbers are fixed on the
/// wire.
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
  /// Holder of the reporting duty to a gateway: request counts of customers.
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
/// Handles a call; replies exactly once, at once or later, from any thread.
using RpcHandler = std::function<void(RpcCall, RpcDone)>;

/// Serves and makes calls on its own thread.
class RpcNode
{
public:
  /// @param aAddress IP address to listen on
  /// @param aPort 0 lets the kernel choose a port
  /// @param aKeys shared keys, as `RpcMac` takes them; calls are not
  /// authenticated if empty
  [[nodiscard]] static Result<std::unique_ptr<RpcNode>> Start(
    const std::string& aAddress,
    std::uint16_t aPort,
    RpcHandler aHandler,
    std::vector<std::string> aKeys = {});

  virtual ~RpcNode() = default;
  [[nodiscard]] virtual std::uint16_t Port() const noexcept = 0;
  /// Calls a peer. `aDone` is called once on the node's thread, or not at all
  /// if the node is destroyed before the reply. `Unavailable` means that the
  /// call was not sent.
  virtual void Call(const std::string& aPeer, RpcCall aCall, RpcDone aDone) = 0;
};

} // namespace marjoramtally
