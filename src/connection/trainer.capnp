@0xa8d2c4f0931b7e65;
# Messages about trainers and generations between entry and control.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramtally::wire");

struct TrainerRequest {
  trainer @0 :Text;
  union {
    open @1 :OpenStep;
    take @2 :TakeSamples;
    announce @3 :UInt64;
    close @4 :UInt64;
    progress @5 :Void;
  }
}

struct OpenStep {
  step @0 :UInt64;
  version @1 :UInt64;
  groupSize @2 :UInt32;
  maxTokens @3 :UInt32;
  prompts @4 :List(Text);
}

struct TakeSamples {
  step @0 :UInt64;
  version @1 :UInt64;
  held @2 :Text;
  most @3 :UInt32;
  waitMs @4 :UInt32;
  number @5 :UInt64;
  wholeGroups @6 :Bool;
}

struct SampleRef {
  step @0 :UInt64;
  group @1 :UInt32;
  member @2 :UInt32;
}

struct VersionSpan {
  version @0 :UInt64;
  from @1 :UInt32;
  to @2 :UInt32;
}

struct Sample {
  ref @0 :SampleRef;
  text @1 :Text;
  spans @2 :List(VersionSpan);
  reward @3 :Float64;
  upstream @4 :Text;
  tokens @5 :UInt32;
}

struct StepProgress {
  step @0 :UInt64;
  wanted @1 :UInt32;
  inGeneration @2 :UInt32;
  scoring @3 :UInt32;
  ready @4 :UInt32;
  held @5 :UInt32;
}

struct TrainerReply {
  term @0 :UInt64;
  remaining @1 :UInt32;
  samples @2 :List(Sample);
  redirect @3 :Text;
  number @4 :UInt64;
  progress @5 :List(StepProgress);
  announced @6 :UInt64;
}

struct GenerateRequest {
  trainer @0 :Text;
  service @1 :Text;
  model @2 :Text;
  sample @3 :SampleRef;
  minVersion @4 :UInt64;
  maxTokens @5 :UInt32;
  prompt @6 :Text;
}

struct GenerateReply {
  text @0 :Text;
  tokens @1 :UInt32;
  spans @2 :List(VersionSpan);
  upstream @3 :Text;
}
