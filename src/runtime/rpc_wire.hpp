/// Encodes and decodes calls and replies between processes, with their
/// authentication.
#pragma once

#include "marjoramtally/runtime/rpc.hpp"
#include "marjoramtally/runtime/rpc_mac.hpp"

#include "wire/peer.capnp.h"

#include <capnp/message.h>

namespace marjoramtally {

/// @returns the size limits for messages that either side reads
[[nodiscard]] capnp::ReaderOptions
RpcReaderLimits();

/// @returns the wall-clock time in milliseconds, by which stamps are made and
/// checked
[[nodiscard]] std::uint64_t
WallMillis();

void
WriteCall(wire::Peer::CallParams::Builder aParams,
          const RpcCall& aCall,
          const RpcStamp& aStamp);

[[nodiscard]] RpcCall
ReadCall(wire::Peer::CallParams::Reader aParams);

[[nodiscard]] RpcStamp
ReadStamp(wire::Peer::CallParams::Reader aParams);

/// Writes a reply with its authentication code.
void
WriteReply(wire::Peer::CallResults::Builder aResults,
           const RpcReply& aReply,
           const RpcMac& aMac,
           const RpcStamp& aCall);

/// @returns the reply, or a `Timeout` error if its authentication code is wrong
[[nodiscard]] RpcReply
ReadReply(wire::Peer::CallResults::Reader aResults,
          const RpcMac& aMac,
          const RpcStamp& aCall);

} // namespace marjoramtally
