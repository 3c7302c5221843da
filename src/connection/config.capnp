@0xc4d2a9f1b3e60718;
# Accepted configuration between instances.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct ConfigRequest {
  revision @0 :UInt64;
  # Revision in force at the sender.
  sender @1 :Text;
  # The sender's RPC address; a receiver that lags fetches from there.
  fetch @2 :Bool;
  # Asks for the manifest and the contents that the sender lacks.
  known @3 :List(Text);
  # Hashes of the contents that the sender has.
}

struct ConfigBlob {
  hash @0 :Text;
  text @1 :Text;
}

struct ConfigReply {
  revision @0 :UInt64;
  # Revision in force at the receiver.
  manifest @1 :Text;
  blobs @2 :List(ConfigBlob);
}
