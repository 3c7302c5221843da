#include "marjoramtally/version.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1s };
constexpr std::uint32_t kTokens = 10;

StepSpec
MakeStep(std::uint64_t aStep, std::uint64_t aVersion)
{
  StepSpec spec;
  spec.step_ = StepId{ aStep };
  spec.version_ = WeightVersion{ aVersion };
  spec.groupSize_ = 2;
  spec.prompts_ = { "a", "b" };
  return spec;
}

Sample
MakeSample(const SampleId& aId, std::uint64_t aVersion)
{
  Sample sample;
  sample.id_ = aId;
  sample.tokens_ = kTokens;
  sample.spans_ = { { WeightVersion{ aVersion }, 0, kTokens } };
  return sample;
}

TakeSpec
MakeTake(std::uint64_t aStep, std::uint64_t aVersion, const char* aHeld)
{
  TakeSpec take;
  take.step_ = StepId{ aStep };
  take.version_ = WeightVersion{ aVersion };
  take.held_ = *IndexSet::Parse(aHeld);
  return take;
}

/// A ledger with a staleness bound of one version, whose trainer announced
/// `aVersion`.
TrainerLedger
MakeLedger(std::uint64_t aVersion, const char* aPolicy = "idle")
{
  TrainerLedger ledger;
  LedgerRules rules;
  rules.policy_ = FindLeadPolicy(aPolicy);
  ledger.SetRules(rules);
  ledger.Versions().Announce(WeightVersion{ aVersion }, kStart);
  return ledger;
}

/// Generates all samples that may start.
/// @returns the number of samples kept
std::uint32_t
GenerateAll(TrainerLedger& aLedger, std::uint64_t aVersion)
{
  std::uint32_t kept = 0;
  while (const auto start = aLedger.StartNext(kStart)) {
    const auto verdict =
      aLedger.OnGenerated(MakeSample(start->sample_, aVersion), kStart);
    kept += verdict == CandidateVerdict::Kept ? 1 : 0;
  }
  return kept;
}

TakeResult
TakeNow(TrainerLedger& aLedger, const TakeSpec& aTake, TimePoint aNow = kStart)
{
  REQUIRE(aLedger.Accept(aTake, aNow) == TakeVerdict::Current);
  return aLedger.Collect(aTake, aNow);
}

} // namespace

TEST_CASE("the set of samples held by the trainer decides what a take returns")
{
  TrainerLedger ledger = MakeLedger(1);
  REQUIRE(ledger.Open(MakeStep(1, 1)) == OpenVerdict::Opened);
  CHECK(GenerateAll(ledger, 1) == 4);
  CHECK(TakeNow(ledger, MakeTake(1, 1, "")).samples_.size() == 4);
  // The answer was lost: the repeated take gets the same samples.
  CHECK(TakeNow(ledger, MakeTake(1, 1, "")).samples_.size() == 4);
  const TakeResult rest = TakeNow(ledger, MakeTake(1, 1, "0-2"));
  REQUIRE(rest.samples_.size() == 1);
  CHECK(rest.samples_.front().id_ == SampleId{ StepId{ 1 }, 1, 1 });
  CHECK(rest.remaining_ == 0);
  // The trainer lost samples that it held: they are generated again.
  CHECK(TakeNow(ledger, MakeTake(1, 1, "0")).samples_.size() == 1);
  CHECK(GenerateAll(ledger, 1) == 2);
  CHECK(TakeNow(ledger, MakeTake(1, 1, "0")).samples_.size() == 3);
}

TEST_CASE("only the latest take is answered")
{
  TrainerLedger ledger = MakeLedger(1);
  TakeSpec take = MakeTake(1, 1, "");
  CHECK(ledger.Accept(take, kStart) == TakeVerdict::NotOpen);
  REQUIRE(ledger.Open(MakeStep(1, 1)) == OpenVerdict::Opened);
  take.number_ = 7;
  CHECK(ledger.Accept(take, kStart) == TakeVerdict::Current);
  CHECK(ledger.Accept(take, kStart) == TakeVerdict::Current);
  take.number_ = 6;
  CHECK(ledger.Accept(take, kStart) == TakeVerdict::Superseded);
  // A restarted trainer opens its step again and restarts its numbers.
  CHECK(ledger.Open(MakeStep(1, 1)) == OpenVerdict::Same);
  take.number_ = 1;
  CHECK(ledger.Accept(take, kStart) == TakeVerdict::Current);
  CHECK(ledger.Open(MakeStep(1, 2)) == OpenVerdict::Different);
}

TEST_CASE(
  "with complete groups requested, groups are returned only when complete")
{
  TrainerLedger ledger = MakeLedger(1);
  REQUIRE(ledger.Open(MakeStep(1, 1)) == OpenVerdict::Opened);
  TakeSpec take = MakeTake(1, 1, "");
  take.completeGroups_ = true;
  take.maxSamples_ = 1;
  for (int i = 0; i < 3; ++i) {
    const auto start = ledger.StartNext(kStart);
    REQUIRE(start.has_value());
    ledger.OnGenerated(MakeSample(start->sample_, 1), kStart);
  }
  // The group exceeds the maximum number of samples but is still returned.
  CHECK(TakeNow(ledger, take).samples_.size() == 2);
  take.held_ = *IndexSet::Parse("0-1");
  CHECK(TakeNow(ledger, take).samples_.empty());
  CHECK(GenerateAll(ledger, 1) == 1);
  CHECK(TakeNow(ledger, take).samples_.size() == 2);
}

TEST_CASE("a candidate beyond the staleness bound is generated again")
{
  TrainerLedger ledger = MakeLedger(1);
  REQUIRE(ledger.Open(MakeStep(1, 1)) == OpenVerdict::Opened);
  CHECK(GenerateAll(ledger, 1) == 4);
  CHECK(TakeNow(ledger, MakeTake(1, 3, "")).samples_.empty());
  CHECK(ledger.Tokens().stale_ == 4 * kTokens);
  CHECK(ledger.Tokens().kept_ == 0);
  const auto start = ledger.StartNext(kStart);
  REQUIRE(start.has_value());
  CHECK(start->minVersion_ == WeightVersion{ 2 });
  CHECK(ledger.OnGenerated(MakeSample(start->sample_, 1), kStart) ==
        CandidateVerdict::Stale);
}

TEST_CASE("a candidate with uncertain labels is dropped and generated again")
{
  TrainerLedger ledger = MakeLedger(3);
  REQUIRE(ledger.Open(MakeStep(1, 3)) == OpenVerdict::Opened);
  const auto start = ledger.StartNext(kStart);
  REQUIRE(start.has_value());
  Sample swapped = MakeSample(start->sample_, 3);
  // Version 2 was never announced, and 4 is newer than the announced version.
  for (const std::uint64_t version : { 2, 4 }) {
    swapped.spans_ = { { WeightVersion{ 3 }, 0, 4 },
                       { WeightVersion{ version }, 4, kTokens } };
    CHECK(ledger.OnGenerated(swapped, kStart) == CandidateVerdict::Uncertain);
    CHECK(ledger.StartNext(kStart)->sample_ == start->sample_);
  }
  swapped.spans_ = { { WeightVersion{ 3 }, 0, kTokens - 1 } };
  CHECK(ledger.OnGenerated(swapped, kStart) == CandidateVerdict::Uncertain);
  // After the announcement, a change of weights within the sample gives two
  // labelled spans.
  ledger.Versions().Announce(WeightVersion{ 4 }, kStart);
  swapped.spans_ = { { WeightVersion{ 3 }, 0, 4 },
                     { WeightVersion{ 4 }, 4, kTokens } };
  CHECK(ledger.OnGenerated(swapped, kStart) == CandidateVerdict::Kept);
  const TakeResult taken = TakeNow(ledger, MakeTake(1, 3, ""));
  REQUIRE(taken.samples_.size() == 1);
  CHECK(taken.samples_.front().spans_ == swapped.spans_);
}

TEST_CASE("the age of a version counts from when it was superseded")
{
  TrainerLedger ledger;
  LedgerRules rules;
  rules.staleness_ = { 5, 10s };
  ledger.SetRules(rules);
  ledger.Versions().AddPast(WeightVersion{ 1 });
  ledger.Versions().AddPast(WeightVersion{ 2 });
  ledger.Versions().Announce(WeightVersion{ 3 }, kStart);
  ledger.Versions().Announce(WeightVersion{ 4 }, kStart + 4s);
  const VersionHistory& versions = ledger.Versions();
  CHECK(versions.OldestWithin(10s, kStart + 10s) == WeightVersion{ 2 });
  CHECK(versions.OldestWithin(10s, kStart + 11s) == WeightVersion{ 3 });
  CHECK(versions.OldestWithin(10s, kStart + 15s) == WeightVersion{ 4 });
  REQUIRE(ledger.Open(MakeStep(1, 4)) == OpenVerdict::Opened);
  CHECK(ledger.StartNext(kStart + 5s)->minVersion_ == WeightVersion{ 2 });
  const SampleId id{ StepId{ 1 }, 0, 0 };
  CHECK(ledger.OnGenerated(MakeSample(id, 3), kStart + 5s) ==
        CandidateVerdict::Kept);
  CHECK(TakeNow(ledger, MakeTake(1, 4, ""), kStart + 14s).samples_.size() == 1);
  CHECK(TakeNow(ledger, MakeTake(1, 4, ""), kStart + 15s).samples_.empty());
}

TEST_CASE(
  "samples that would be too stale are not started, and earlier steps go first")
{
  TrainerLedger ledger = MakeLedger(1);
  REQUIRE(ledger.Open(MakeStep(2, 2)) == OpenVerdict::Opened);
  REQUIRE(ledger.Open(MakeStep(3, 3)) == OpenVerdict::Opened);
  REQUIRE(ledger.Open(MakeStep(1, 1)) == OpenVerdict::Opened);
  for (const std::uint64_t step : { 1, 1, 1, 1, 2, 2, 2, 2 }) {
    CHECK(ledger.StartNext(kStart)->sample_.step_ == StepId{ step });
  }
  // Step 3 is taken at version 3, where version 1 exceeds the bound.
  CHECK_FALSE(ledger.StartNext(kStart).has_value());
  ledger.Versions().Announce(WeightVersion{ 2 }, kStart);
  const auto start = ledger.StartNext(kStart);
  REQUIRE(start.has_value());
  CHECK(start->minVersion_ == WeightVersion{ 2 });
}

TEST_CASE("lead policies differ in how far generation runs ahead")
{
  // With a bound of two versions: the number of samples started for steps that
  // are taken one and two versions later.
  const auto early = [](const char* aPolicy) {
    TrainerLedger ledger = MakeLedger(1);
    LedgerRules rules;
    rules.staleness_.versions_ = 2;
    rules.policy_ = FindLeadPolicy(aPolicy);
    ledger.SetRules(rules);
    REQUIRE(ledger.Open(MakeStep(2, 2)) == OpenVerdict::Opened);
    REQUIRE(ledger.Open(MakeStep(3, 3)) == OpenVerdict::Opened);
    return GenerateAll(ledger, 1);
  };
  CHECK(early("idle") == 8);
  CHECK(early("freshness") == 4);
  CHECK(early("strict") == 0);
  TrainerLedger ledger = MakeLedger(2, "freshness");
  REQUIRE(ledger.Open(MakeStep(2, 2)) == OpenVerdict::Opened);
  CHECK(ledger.StartNext(kStart)->minVersion_ == WeightVersion{ 2 });
}

TEST_CASE("an unavailable scorer does not block generation")
{
  TrainerLedger ledger = MakeLedger(1);
  REQUIRE(ledger.Open(MakeStep(1, 1)) == OpenVerdict::Opened);
  const auto start = ledger.StartNext(kStart);
  REQUIRE(start.has_value());
  ledger.OnScoring(start->sample_);
  CHECK(ledger.InFlight() == 0);
  CHECK(ledger.StartNext(kStart)->sample_ != start->sample_);
  ledger.OnFailed(start->sample_);
  CHECK(ledger.StartNext(kStart)->sample_ == start->sample_);
  CHECK(ledger.Progress().front().inGeneration_ == 2);
}
