#include "marjoramtally/request.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

namespace {

/// Event of a stand-in engine with one token.
std::string
Token(std::uint32_t aOffset, const std::string& aText, int aVersion = 1)
{
  return FormatEvent(R"({"choices":[{"text":")" + aText +
                     R"(","finish_reason":null}],"offset":)" +
                     std::to_string(aOffset) + R"(,"tokens":1,)" +
                     R"("weight_version":)" + std::to_string(aVersion) + "}");
}

std::string
Last(std::uint32_t aOffset)
{
  return FormatEvent(
    R"({"choices":[{"text":"","finish_reason":"stop"}],"offset":)" +
    std::to_string(aOffset) + R"(,"tokens":0,"weight_versions":[]})");
}

const std::string kDone = FormatEvent("[DONE]");

} // namespace

TEST_CASE("events are parsed wherever their bytes are split")
{
  const std::string bytes = ": comment\r\ndata: a\r\ndata: b\r\n\r\ndata:c\n\n";
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    EventStreamParser parser;
    auto events = parser.Feed(bytes.substr(0, cut)).value();
    const auto more = parser.Feed(bytes.substr(cut)).value();
    events.insert(events.end(), more.begin(), more.end());
    CHECK(events == std::vector<std::string>{ "a\nb", "c" });
    CHECK_FALSE(parser.Partial());
  }
  EventStreamParser parser;
  CHECK_FALSE(
    parser.Feed(std::string(EventStreamParser::kMaxEventBytes + 1, 'x')));
}

// Guards against a stream of bytes that are no event and do not end.
TEST_CASE("a stream without an event for too long is an error")
{
  const std::string line =
    GENERATE(": comment\n", "\n", "unknown: field\n", "id: 1\n");
  EventStreamParser parser;
  std::size_t bytes = 0;
  while (bytes <= 2 * EventStreamParser::kMaxEventBytes && parser.Feed(line)) {
    bytes += line.size();
  }
  CHECK(bytes <= EventStreamParser::kMaxEventBytes);
  EventStreamParser other;
  for (std::size_t i = 0; i < EventStreamParser::kMaxEventBytes; ++i) {
    REQUIRE(other.Feed("data: x\n\n").value().size() == 1);
  }
}

TEST_CASE("a stream is complete only with finish reason and final event")
{
  CompletionStream stream;
  stream.StartAttempt();
  const std::string first = Token(0, "ab");
  CHECK(stream.Feed(first).value() == first);
  CHECK_FALSE(stream.IsComplete());
  SECTION("complete")
  {
    CHECK(stream.Feed(Last(1) + kDone));
    CHECK(stream.IsComplete());
  }
  SECTION("no finish reason")
  {
    CHECK_FALSE(stream.Feed(kDone));
    CHECK_FALSE(stream.IsComplete());
  }
  SECTION("a token is missing")
  {
    CHECK_FALSE(stream.Feed(Token(2, "c")));
  }
  SECTION("not a completion")
  {
    CHECK_FALSE(stream.Feed(FormatEvent("[]")));
  }
}

TEST_CASE("a broken stream is resumed or repeated without duplicate text")
{
  CompletionStream stream;
  stream.StartAttempt();
  REQUIRE(stream.Feed(Token(0, "ab") + Token(1, "cd") + "data: {\"cho"));
  CHECK(stream.Tokens() == 2);
  stream.StartAttempt();
  SECTION("the retry resumes")
  {
    REQUIRE(stream.Feed(Token(2, "ef", 2)));
    const auto last = stream.Feed(Last(3) + kDone);
    REQUIRE(last);
    CHECK(stream.IsComplete());
    CHECK(stream.Text() == "abcdef");
    // The spans contain the weight versions of both attempts.
    CHECK(last.value().find(R"({"from":0,"to":2,"version":1})") !=
          std::string::npos);
    CHECK(last.value().find(R"({"from":2,"to":3,"version":2})") !=
          std::string::npos);
  }
  SECTION("the retry starts over with the same text")
  {
    CHECK(stream.Feed(Token(0, "ab")).value().empty());
    // Token boundaries may differ from the first attempt.
    const auto passed = stream.Feed(Token(1, "c") + Token(2, "def"));
    REQUIRE(passed);
    CHECK(passed.value().find(R"("text":"ef")") != std::string::npos);
    REQUIRE(stream.Feed(Last(3) + kDone));
    CHECK(stream.IsComplete());
    CHECK(stream.Text() == "abcdef");
  }
  SECTION("the retry differs")
  {
    CHECK_FALSE(stream.Feed(Token(0, "ax")));
    CHECK(stream.Contradicted());
    CHECK_FALSE(stream.IsComplete());
  }
  SECTION("the retry is shorter")
  {
    REQUIRE(stream.Feed(Token(0, "ab") + Last(1)));
    CHECK_FALSE(stream.Feed(kDone));
    CHECK(stream.Contradicted());
  }
}

TEST_CASE("events before a malformed event are sent to the caller")
{
  CompletionStream stream;
  stream.StartAttempt();
  std::string received =
    stream.Feed(Token(0, "a") + FormatEvent("garbled")).value();
  CHECK(received == Token(0, "a"));
  CHECK(stream.Fault());
  CHECK_FALSE(stream.Feed(Token(1, "b")));
  stream.StartAttempt();
  CHECK_FALSE(stream.Fault());
  received +=
    stream.Feed(Token(stream.Tokens(), "b") + Last(2) + kDone).value();
  CHECK(received.starts_with(Token(0, "a") + Token(1, "b")));
  CHECK(received.ends_with(kDone));
  CHECK(stream.IsComplete());
}
