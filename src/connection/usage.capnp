@0xc6d18e0b7a5f2943;
# Usage queries from the holder of the reporting duty to gateways.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct UsageAsk {
  # True time of the request, in microseconds since the Unix epoch.
  trueMicros @0 :Int64;
  windowMicros @1 :Int64;
  # Addresses of gateways that the receiver queries as well.
  others @2 :List(Text);
}

struct UsageAnswer {
  gateways @0 :List(GatewayUsage);
}

struct GatewayUsage {
  incarnation @0 :Text;
  # How far the wall clock of the gateway is ahead of the true time.
  aheadMicros @1 :Int64;
  windows @2 :List(WindowUsage);
  demand @3 :List(Demand);
  runs @4 :List(UpstreamRuns);
  models @5 :List(ModelDemand);
}

# Upstream slots needed by the items of a model.
struct ModelDemand {
  model @0 :Text;
  places @1 :UInt64;
}

# Number of long item runs in progress at an upstream.
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
