#include "marjoramtally/version.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

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

TEST_CASE("all findings of rules are reported with their locations")
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

TEST_CASE(
  "the assignments of a key are listed in the order in which they override")
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
