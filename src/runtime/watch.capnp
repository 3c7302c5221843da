@0xb8a2d4f0c16e7935;
# What processes ask of a relay: changes of the store's records.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct WatchAsk {
  prefix @0 :Text;
  # The last revision that is known.
  after @1 :UInt64;
  # How long the answer may be held back while there is no change.
  waitMs @2 :UInt32;
  # The sender understands deflated answers.
  inflates @3 :Bool;
}

struct WatchChanges {
  # The revision up to which the changes are whole.
  revision @0 :UInt64;
  changes @1 :List(WatchChange);
  # How long ago the store vouched for this.
  ageMs @2 :UInt32;
  # In place of the changes: a message of this kind, deflated, and its size.
  packed @3 :Data;
  unpackedBytes @4 :UInt32;
}

struct WatchChange {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  created @3 :UInt64;
  lease @4 :Int64;
  deleted @5 :Bool;
}
