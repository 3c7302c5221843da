@0xc4d2a9f1b3e60718;
# Distribution of the accepted configuration between instances.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct ConfigRequest {
  revision @0 :UInt64;
  # Revision in force at the sender.
  sender @1 :Text;
  # RPC address of the sender. A receiver with an older revision fetches the
  # configuration from it.
  fetch @2 :Bool;
  # Requests the manifest and all contents that are not listed in `known`.
  known @3 :List(Text);
  # Hashes of the contents that the sender already has.
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
