@0xb8a2d4f0c16e7935;
# Requests to a relay for changes of the store's records.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct WatchAsk {
  prefix @0 :Text;
  # The last revision that the sender knows.
  after @1 :UInt64;
  # How long the relay may hold the response while there is no change.
  waitMs @2 :UInt32;
  # The sender accepts deflated responses.
  inflates @3 :Bool;
  # The sender may hold records removed after this revision; 0: as after.
  removalsAfter @4 :UInt64;
}

struct WatchChanges {
  # The changes are complete up to this revision.
  revision @0 :UInt64;
  changes @1 :List(WatchChange);
  # Time since the store last confirmed this state.
  ageMs @2 :UInt32;
  # Replaces the changes: a message of this type, deflated, and its inflated
  # size.
  packed @3 :Data;
  unpackedBytes @4 :UInt32;
  # The latest revision that the relay knows; greater than the revision if more
  # changes follow.
  latest @5 :UInt64;
}

struct WatchChange {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  created @3 :UInt64;
  lease @4 :Int64;
  deleted @5 :Bool;
}
