@0xb3a1c7d2e4f50617;
# Calls between the system's own processes. Each topic has its own schema; the
# body holds one encoded message of it.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

interface Peer {
  call @0 (topic :UInt16, timeoutMs :UInt32, traceparent :Text, body :Data,
           sentMs :UInt64, nonce :UInt64, mac :Data)
    -> (error :UInt16, message :Text, body :Data, mac :Data);
  # mac: message authentication code by a shared key, empty without a key; see
  # rpc_mac.hpp.
  # error: 0 for none, else 1 + the number of the error kind.
}
