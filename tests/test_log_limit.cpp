/// Limits on logging.

#include "log_capture.hpp"
#include "marjoramtally/runtime/log_limit.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

TEST_CASE("lines beyond the rate are dropped and counted")
{
  LogLimit limit;
  const TimePoint start{ 1s };
  int admitted = 0;
  for (int i = 0; i < 3000; ++i) {
    admitted += limit.Admit(start) ? 1 : 0;
  }
  REQUIRE(admitted == static_cast<int>(LogLimit::kBurstLines));
  REQUIRE(limit.TakeDroppedCount(start) == 0);
  REQUIRE(limit.TakeDroppedCount(start + 1s) == 2000);
  REQUIRE(limit.TakeDroppedCount(start + 1s) == 0);
  REQUIRE(limit.Admit(start + 1s));
}

TEST_CASE("a flood of one event hides no other event")
{
  LogLimit limit;
  TimePoint now{ 1s };
  int flood = 0;
  for (int second = 0; second < 10; ++second) {
    for (int i = 0; i < 5000; ++i) {
      flood += limit.Admit(now, "attempt_failed") ? 1 : 0;
    }
    REQUIRE(limit.Admit(now, "suspect"));
    REQUIRE(limit.Admit(now, "upstream_vanished"));
    now = now + 1s;
  }
  constexpr double kWithoutReserve =
    LogLimit::kBurstLines + 9 * LogLimit::kLinesPerSecond;
  REQUIRE(flood <= static_cast<int>(kWithoutReserve));
  // The reserve is bounded as well.
  int seldom = 0;
  for (int i = 0; i < 5000; ++i) {
    seldom += limit.Admit(now, "event" + std::to_string(i)) ? 1 : 0;
  }
  REQUIRE(seldom <= static_cast<int>(LogLimit::kLinesPerSecond +
                                     LogLimit::kReserveBurst));
}

TEST_CASE("a reader that accepts nothing uses a bounded buffer")
{
  LogBuffer buffer;
  const std::string line(1000, 'x');
  std::size_t held = 0;
  while (buffer.Put(line)) {
    held += line.size();
  }
  REQUIRE(held <= LogBuffer::kMaxBytes);
  REQUIRE(buffer.Front().size() == held);
  buffer.Consume(1500);
  REQUIRE(buffer.Front().size() == held - 1500);
  REQUIRE(buffer.Put(line));
  buffer.Consume(held);
  REQUIRE(buffer.empty());
}

// An error quotes what another process wrote, up to megabytes.
TEST_CASE("a value longer than the buffer of lines does not hide its event")
{
  const LogCapture log;
  LogEvent(LogLevel::Error,
           "upstream_unreadable",
           { { "error", "unknown state " + std::string(1U << 20U, 'x') },
             { "key", "servers/odd" } });
  LogBuffer buffer;
  REQUIRE(buffer.Put(log.Lines()));
  CHECK(log.Contains("event=upstream_unreadable error=\"unknown state xxx"));
  CHECK(log.Contains("xxx...\" key=servers/odd\n"));
}

TEST_CASE("control characters in a value neither end nor hide a line")
{
  const LogCapture log;
  using namespace std::string_literals;
  LogEvent(LogLevel::Error,
           "upstream_unreadable",
           { { "key", "servers/a\0b\x1b[2J\x7f\nevent=x"s } });
  CHECK(log.Contains(
    "event=upstream_unreadable key=\"servers/a b [2J  event=x\"\n"));
}
