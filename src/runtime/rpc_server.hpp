/// Serves calls received over accepted connections.
#pragma once

#include "marjoramtally/runtime/rpc.hpp"
#include "marjoramtally/runtime/rpc_mac.hpp"
#include "runtime/rpc_mailbox.hpp"

#include <kj/async-io.h>

namespace marjoramtally {

/// State shared by all connections of a node; used on the node's thread only.
struct RpcNodeContext
{
  RpcHandler handler_;
  RpcMac mac_;
  /// The address that peers call.
  std::string self_;
};

/// Serves one connection.
/// @param aNode must outlive the promise
/// @param aMailbox receives replies that are given on other threads
/// @returns a promise that is fulfilled when the connection is lost
[[nodiscard]] kj::Promise<void>
ServeConnection(kj::Own<kj::AsyncIoStream> aStream,
                RpcNodeContext& aNode,
                std::shared_ptr<RpcMailbox> aMailbox);

} // namespace marjoramtally
