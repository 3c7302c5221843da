/// Serves the calls that come over accepted connections.
#pragma once

#include "marjoramtally/runtime/rpc.hpp"
#include "marjoramtally/runtime/rpc_mac.hpp"
#include "runtime/rpc_mailbox.hpp"

#include <kj/async-io.h>

namespace marjoramtally {

/// What all connections of a node share; used on the node's thread.
struct RpcNodeContext
{
  RpcHandler handler_;
  RpcMac mac_;
  /// The address that peers call.
  std::string self_;
};

/// Serves one connection.
/// @param aNode outlives the promise
/// @param aMailbox takes answers that come on other threads
/// @returns a promise that is kept once the connection is lost
[[nodiscard]] kj::Promise<void>
ServeConnection(kj::Own<kj::AsyncIoStream> aStream,
                RpcNodeContext& aNode,
                std::shared_ptr<RpcMailbox> aMailbox);

} // namespace marjoramtally
