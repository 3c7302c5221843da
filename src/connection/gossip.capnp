@0xc7b1de92a04f6e13;
# Messages of the membership protocol between all daemons.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct GossipMember {
  id @0 :Text;
  incarnation @1 :UInt64;
  refutation @2 :UInt32;
  state @3 :UInt8;
  leaving @4 :Bool;
  role @5 :Text;
  zone @6 :Text;
  http @7 :Text;
  rpc @8 :Text;
}

struct GossipItem {
  kind @0 :UInt16;
  zoneOnly @1 :Bool;
  ageMs @2 :UInt32;
  ttlMs @3 :UInt32;
  version @4 :UInt64;
  key @5 :Text;
  payload @6 :Data;
}

struct GossipZoneHash {
  zone @0 :Text;
  hash @1 :UInt64;
}

struct GossipMessage {
  kind @0 :UInt8;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
  tableHash @3 :UInt64;
  from @4 :Text;
  target @5 :Text;
  cursor @6 :Text;
  zoneHashes @7 :List(GossipZoneHash);
  updates @8 :List(GossipMember);
  items @9 :List(GossipItem);
}
