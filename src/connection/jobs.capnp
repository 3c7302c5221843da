@0xa3f7c1e95b2d8064;
# What processes ask of a job's owner.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct JobAsk {
  job @0 :Text;
  # Position from which results are wanted.
  after @1 :UInt64;
}

struct JobAnswer {
  # Results in the form in which the store keeps them.
  results @0 :Data;
}
