@0xc6d18e0b7a5f2943;
# What the holder of the duty of reports asks gateways.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct UsageAsk {
  # True time of the question, in microseconds since the Unix epoch.
  trueMicros @0 :Int64;
  windowMicros @1 :Int64;
  # Gateways that the asked one is to ask as well.
  others @2 :List(Text);
}

struct UsageAnswer {
  gateways @0 :List(GatewayUsage);
}

struct GatewayUsage {
  incarnation @0 :Text;
  # How far its time of day is ahead of the true time of the question.
  aheadMicros @1 :Int64;
  windows @2 :List(WindowUsage);
  demand @3 :List(Demand);
  runs @4 :List(UpstreamRuns);
  models @5 :List(ModelDemand);
}

# Places that items of a model want.
struct ModelDemand {
  model @0 :Text;
  places @1 :UInt64;
}

# Long runs of items in progress at an upstream.
struct UpstreamRuns {
  upstream @0 :Text;
  runs @1 :UInt32;
}

struct WindowUsage {
  window @0 :UInt64;
  counts @1 :List(CustomerCount);
}

struct CustomerCount {
  customer @0 :Text;
  count @1 :UInt64;
}

struct Demand {
  service @0 :Text;
  places @1 :UInt64;
}
