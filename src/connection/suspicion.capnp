@0xc9b1f06f2d5a4e37;
# What entries tell each other of requests that crash upstreams.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct SuspicionUpdates {
  updates @0 :List(SuspicionUpdate);
}

struct SuspicionUpdate {
  fingerprint @0 :UInt64;
  cleared @1 :Bool;
  crashes @2 :List(CrashReport);
  # Quarantine time left; 0 is none.
  refusedForMs @3 :UInt64;
}

struct CrashReport {
  upstream @0 :Text;
  ageMs @1 :UInt64;
  ranMs @2 :UInt64;
}
