@0xa3f7c1e95b2d8064;
# Requests from other processes to the owner of a job.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct JobAsk {
  job @0 :Text;
  # Results from this position on are requested.
  after @1 :UInt64;
  # Maximum time that the owner waits for such a result (long polling).
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

# Asks the receiver to accept a submission and to own the job.
struct JobHandOn {
  job @0 :Text;
  # The submission in its stored format.
  submission @1 :Data;
}

struct JobHandOnAnswer {
  # Value of the enum `AcceptOutcome`.
  end @0 :UInt8;
}

struct JobAnswer {
  # The results in their stored format.
  results @0 :Data;
}
