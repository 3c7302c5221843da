@0xc9b1f06f2d5a4e37;
# Exchanged between entries: requests that are suspected of crashing upstreams.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct SuspicionUpdates {
  updates @0 :List(SuspicionUpdate);
}

struct SuspicionUpdate {
  fingerprint @0 :UInt64;
  cleared @1 :Bool;
  crashes @2 :List(CrashReport);
  # Remaining quarantine time; 0 if the request is not in quarantine.
  refusedForMs @3 :UInt64;
}

struct CrashReport {
  upstream @0 :Text;
  ageMs @1 :UInt64;
  ranMs @2 :UInt64;
  # The connection broke, but the end of the registration is not known yet.
  unproven @3 :Bool;
}
