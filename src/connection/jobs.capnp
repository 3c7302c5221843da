@0xa3f7c1e95b2d8064;
# What processes ask of a job's owner.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct JobAsk {
  job @0 :Text;
  # Position from which results are wanted.
  after @1 :UInt64;
  # How long the owner may hold the question until there is such a result.
  waitMs @2 :UInt32;
}

struct JobBodyAsk {
  job @0 :Text;
  item @1 :Text;
}

struct JobBodyAnswer {
  # Whether the job has the item.
  found @0 :Bool;
  body @1 :Data;
}

# A submission that the asked process is to accept and own.
struct JobHandOn {
  job @0 :Text;
  # The submission in the form in which the store keeps it.
  submission @1 :Data;
}

struct JobHandOnAnswer {
  # AcceptOutcome.
  end @0 :UInt8;
}

struct JobAnswer {
  # Results in the form in which the store keeps them.
  results @0 :Data;
}
