#include "marjoramtally/version.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

namespace {

StepSpec
MakeStep(std::uint64_t aVersion)
{
  StepSpec spec;
  spec.step_ = StepId{ 1 };
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
  sample.spans_ = { { WeightVersion{ aVersion }, 0, 10 } };
  return sample;
}

TakeSpec
MakeTake(std::uint64_t aVersion, const char* aHeld)
{
  TakeSpec take;
  take.step_ = StepId{ 1 };
  take.version_ = WeightVersion{ aVersion };
  take.held_ = *IndexSet::Parse(aHeld);
  return take;
}

} // namespace

TEST_CASE("rules files merge by name and later files override by key")
{
  const auto merged = MergeRulesFiles({
    { "20.ini", "[service a]\ndeadline = 3s\n" },
    { "10.ini", "[service a]\nkind = plain\ndeadline = 1s\n" },
  });
  REQUIRE(merged);
  const auto rules = BuildRules(merged.value());
  REQUIRE(rules);
  const ServiceRule& rule = rules.value().services_.at(ServiceId{ "a" });
  CHECK(rule.deadline_ == std::chrono::seconds(3));
  CHECK(rule.kind_ == "plain");
}

TEST_CASE("all findings of rules are reported with their places")
{
  const auto merged = MergeRulesFiles({
    { "10.ini", "[service a]\nkind = other\nspeed = 1\n" },
    { "20.ini", "[trainer t]\nservice = b\nmodel = m\nweight = 0\n" },
  });
  REQUIRE(merged);
  const auto rules = BuildRules(merged.value());
  REQUIRE_FALSE(rules);
  const std::string text = rules.error().Render();
  CHECK(text.find("10.ini:2: ") != std::string::npos);
  CHECK(text.find("10.ini:3: ") != std::string::npos);
  CHECK(text.find("20.ini:2: ") != std::string::npos);
  CHECK(text.find("20.ini:4: ") != std::string::npos);
}

TEST_CASE("a key's places are told in the order in which they override")
{
  const auto origins = ExplainKey(
    {
      { "50-night.ini", "[trainer t]\nweight = 2\n" },
      { "10-base.ini", "[trainer t]\nweight = 1\n[trainer u]\nweight = 5\n" },
    },
    "trainer t.weight");
  REQUIRE(origins.size() == 2);
  CHECK(origins.front().value_.text_ == "1");
  CHECK(origins.back().value_.place_ == SourcePlace{ "50-night.ini", 2 });
}

TEST_CASE("the trainer's set decides what a take returns")
{
  StepLedger ledger(MakeStep(1), 1);
  for (int i = 0; i < 4; ++i) {
    const auto id = ledger.StartNext();
    REQUIRE(id.has_value());
    CHECK(ledger.Generated(MakeSample(*id, 1)));
  }
  CHECK_FALSE(ledger.StartNext().has_value());
  CHECK(ledger.Take(MakeTake(1, "")).samples_.size() == 4);
  // The answer was lost: the same take again gets the same samples.
  CHECK(ledger.Take(MakeTake(1, "")).samples_.size() == 4);
  const TakeResult rest = ledger.Take(MakeTake(1, "0-2"));
  REQUIRE(rest.samples_.size() == 1);
  CHECK(rest.samples_.front().id_ == SampleId{ StepId{ 1 }, 1, 1 });
  CHECK(rest.remaining_ == 0);
}

TEST_CASE("a candidate over the staleness bound is generated anew")
{
  StepLedger ledger(MakeStep(1), 1);
  const auto id = ledger.StartNext();
  REQUIRE(id.has_value());
  CHECK(ledger.Generated(MakeSample(*id, 1)));
  CHECK(ledger.Take(MakeTake(3, "")).samples_.empty());
  const auto again = ledger.StartNext();
  REQUIRE(again.has_value());
  CHECK(*again == *id);
  CHECK_FALSE(ledger.Generated(MakeSample(*again, 1)));
}
