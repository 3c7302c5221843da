/// Calls and answers between processes as messages, with their proofs.
#pragma once

#include "marjoramtally/runtime/rpc.hpp"
#include "marjoramtally/runtime/rpc_mac.hpp"

#include "wire/peer.capnp.h"

#include <capnp/message.h>

namespace marjoramtally {

/// @returns bounds of the messages that either side reads
[[nodiscard]] capnp::ReaderOptions
RpcReaderLimits();

/// @returns the time that stamps are made and judged by
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

/// Writes an answer with its proof.
void
WriteReply(wire::Peer::CallResults::Builder aResults,
           const RpcReply& aReply,
           const RpcMac& aMac,
           const RpcStamp& aCall);

/// @returns an answer, if its proof holds
[[nodiscard]] RpcReply
ReadReply(wire::Peer::CallResults::Reader aResults,
          const RpcMac& aMac,
          const RpcStamp& aCall);

} // namespace marjoramtally
