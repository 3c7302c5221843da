/// Connections to peers, and the calls sent over them.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/runtime/rpc.hpp"
#include "marjoramtally/runtime/rpc_mac.hpp"

#include <kj/async-io.h>
#include <unordered_map>

namespace marjoramtally {

struct RpcLink;

/// Connections to the peers that a node calls; used on the node's thread only.
/// Pending tasks may outlive this object if they are not run any more.
class RpcLinks
{
public:
  using CallPtr = std::shared_ptr<RpcCall>;
  using DonePtr = std::shared_ptr<RpcDone>;

  /// @param aNetwork must outlive this object, as must the other parameters
  RpcLinks(kj::Network& aNetwork,
           kj::Timer& aTimer,
           kj::TaskSet& aTasks,
           RpcMac& aMac);

  /// Calls a peer, over a new connection if there is none yet.
  [[nodiscard]] kj::Promise<void> Call(std::string aPeer,
                                       CallPtr aCall,
                                       DonePtr aDone);

private:
  using LinkPtr = std::shared_ptr<RpcLink>;

  [[nodiscard]] kj::Promise<kj::Own<kj::AsyncIoStream>> Connect(
    const std::string& aPeer,
    Duration aLimit);
  /// Adds a new connection.
  /// @returns the link to use: an existing one if another call has connected
  /// meanwhile
  LinkPtr AddLink(const std::string& aPeer, kj::Own<kj::AsyncIoStream> aStream);
  /// Removes a link when its connection is lost.
  void WatchLink(const std::string& aPeer, const LinkPtr& aLink);
  [[nodiscard]] kj::Promise<void> SendCall(const std::string& aPeer,
                                           LinkPtr aLink,
                                           const CallPtr& aCall,
                                           DonePtr aDone);
  void Drop(const std::string& aPeer, const LinkPtr& aLink);

  kj::Network& network_;
  kj::Timer& timer_;
  kj::TaskSet& tasks_;
  RpcMac& mac_;
  Random nonces_;
  std::unordered_map<std::string, LinkPtr> links_;
};

} // namespace marjoramtally
