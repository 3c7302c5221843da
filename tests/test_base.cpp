#include "marjoramtally/base.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace marjoramtally;

TEST_CASE("durations and numbers are parsed with their units and bounds")
{
  CHECK(ParseDuration("250ms") == std::chrono::milliseconds(250));
  CHECK(ParseDuration("16min") == std::chrono::minutes(16));
  CHECK(ParseDuration("3 s") == std::chrono::seconds(3));
  CHECK_FALSE(ParseDuration("3").has_value());
  CHECK_FALSE(ParseDuration("s").has_value());
  CHECK_FALSE(ParseDuration("99999999999999h").has_value());
  CHECK_FALSE(ParseNumber("12x", 0, 100).has_value());
  CHECK_FALSE(ParseNumber("101", 0, 100).has_value());
  CHECK(FormatDuration(std::chrono::milliseconds(1500)) == "1500ms");
}

TEST_CASE("index sets are parsed and formatted as ranges")
{
  const auto set = IndexSet::Parse("0-3,8,10-11");
  REQUIRE(set.has_value());
  CHECK(set->size() == 7);
  CHECK(set->Contains(8));
  CHECK_FALSE(set->Contains(9));
  CHECK(set->Format() == "0-3,8,10-11");
  for (const char* bad : { "3-1", "1,1", "a", "1,", "-", "0-99999999" }) {
    CHECK_FALSE(IndexSet::Parse(bad).has_value());
  }
}

TEST_CASE("all INI findings are reported together with their lines")
{
  const auto parsed = ParseIni("a.ini", "[s]\nk=1\nk=2\n[t]\nj=1\nj=1\n");
  REQUIRE_FALSE(parsed);
  const std::string text = parsed.error().Render();
  CHECK(text.find("a.ini:3: ") != std::string::npos);
  CHECK(text.find("a.ini:6: ") != std::string::npos);
}

TEST_CASE("an invalid INI line is a finding")
{
  const auto parsed = ParseIni("b.ini", "[s]\nnonsense\n");
  REQUIRE_FALSE(parsed);
  CHECK(parsed.error().Render().find("b.ini:2: ") != std::string::npos);
}

TEST_CASE("the manual clock advances only explicitly")
{
  ManualClock clock;
  const TimePoint start = clock.Now();
  CHECK(clock.Now() == start);
  clock.Advance(std::chrono::seconds(2));
  CHECK(clock.Now() - start == std::chrono::seconds(2));
}

TEST_CASE("JSON text is parsed up to a depth, brackets in strings not counted")
{
  const auto nest = [](std::size_t aDepth, const std::string& aInner) {
    return std::string(aDepth, '[') + aInner + std::string(aDepth, ']');
  };
  const std::string brackets =
    '"' + std::string(kMaxJsonDepth, '[') + R"(\"[{\\")";
  CHECK_NOTHROW(ParseJson(nest(kMaxJsonDepth, brackets)));
  CHECK_NOTHROW(ParseJson(R"([[],[],{"a":{}},"]"])"));
  CHECK_THROWS_AS(ParseJson(nest(kMaxJsonDepth + 1, brackets)),
                  nlohmann::json::exception);
  CHECK_THROWS_AS(ParseJson("]]]]" + nest(kMaxJsonDepth, "")),
                  nlohmann::json::exception);
  CHECK_THROWS_AS(ParseJson("\"\\"), nlohmann::json::exception);
  CHECK(ParseJsonOrDiscarded("{").is_discarded());
  CHECK(ParseJsonOrDiscarded(nest(kMaxJsonDepth + 1, "")).is_discarded());
  CHECK(ParseJsonOrDiscarded(nest(kMaxJsonDepth, "7")).is_array());
}
