/// Which connections are admitted, and which give way when memory, descriptors
/// or time run out.

#include "marjoramtally/process/caller_limits.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kKilobyte = 1U << 10U;
constexpr std::uint64_t kMegabyte = 1U << 20U;

/// Limits with few connections and little memory, and a clock.
struct SmallMachine
{
  explicit SmallMachine(CallerShares aShares = { 4, kMegabyte, 4 * kMegabyte })
    : limits_(aShares)
  {
    limits_.SetTimeouts({ 3s, 15s });
  }

  CallerId Open()
  {
    const CallerId id{ ++last_ };
    REQUIRE(limits_.OnOpened(id, now_));
    return id;
  }

  [[nodiscard]] bool Receive(CallerId aCaller, std::uint64_t aHeld)
  {
    return limits_.OnBody(aCaller, aHeld, now_);
  }

  /// A connection whose request was handed on.
  CallerId OpenRunning(std::uint64_t aHeld = 0)
  {
    const CallerId id = Open();
    limits_.OnRequest(id, aHeld);
    return id;
  }

  std::vector<CallerId> Evicted()
  {
    std::vector<CallerId> ids;
    for (const Eviction& eviction : limits_.TakeEvictions()) {
      ids.push_back(eviction.caller_);
    }
    return ids;
  }

  void Pass(Duration aTime) { now_ = now_ + aTime; }

  CallerLimits limits_;
  TimePoint now_{ 100s };
  std::uint64_t last_ = 0;
};

} // namespace

TEST_CASE("connections up to the share are admitted")
{
  SmallMachine machine;
  for (int i = 0; i < 4; ++i) {
    machine.OpenRunning();
  }
  CHECK(machine.limits_.Connections() == 4);
  CHECK_FALSE(machine.limits_.OnOpened(CallerId{ 99 }, machine.now_));
  CHECK(machine.Evicted().empty());
  CHECK(machine.limits_.Connections() == 4);
}

TEST_CASE("the connections without any request close before idle ones")
{
  SmallMachine machine;
  const CallerId idle = machine.Open();
  machine.limits_.OnRequest(idle, 0);
  machine.limits_.OnAnswered(idle, machine.now_);
  machine.Pass(1s);
  const CallerId first = machine.Open();
  machine.Pass(1s);
  const CallerId second = machine.Open();
  machine.OpenRunning();
  machine.Open();
  CHECK(machine.Evicted() == std::vector{ first });
  CHECK(machine.limits_.OnHead(second, 100, machine.now_));
  machine.OpenRunning();
  machine.OpenRunning();
  CHECK(machine.Evicted().front() == second);
  machine.OpenRunning();
  CHECK(machine.Evicted() == std::vector{ idle });
}

TEST_CASE("a connection that has to close is reported once and frees its place")
{
  SmallMachine machine({ 1, kMegabyte, kMegabyte });
  machine.Open();
  machine.Open();
  const auto evictions = machine.limits_.TakeEvictions();
  REQUIRE(evictions.size() == 1);
  CHECK(evictions.front().caller_ == CallerId{ 1 });
  CHECK(evictions.front().cause_ == EvictionCause::Descriptors);
  CHECK_FALSE(evictions.front().refuse_);
  CHECK(machine.limits_.Connections() == 1);
  machine.limits_.OnClosed(CallerId{ 1 });
  CHECK(machine.limits_.Connections() == 1);
}

TEST_CASE("a body that makes progress keeps its memory")
{
  SmallMachine machine;
  const CallerId first = machine.Open();
  const CallerId second = machine.Open();
  REQUIRE(machine.Receive(first, 3 * kMegabyte));
  machine.Pass(500ms);
  CHECK_FALSE(machine.Receive(second, 2 * kMegabyte));
  CHECK(machine.Evicted().empty());
  CHECK(machine.Receive(first, 4 * kMegabyte));
}

TEST_CASE("a body that has stalled gives way to another one")
{
  SmallMachine machine;
  const CallerId stalled = machine.Open();
  REQUIRE(machine.Receive(stalled, 3 * kMegabyte));
  machine.Pass(CallerLimits::kStallTime);
  const CallerId other = machine.Open();
  CHECK(machine.Receive(other, 2 * kMegabyte));
  const auto evictions = machine.limits_.TakeEvictions();
  REQUIRE(evictions.size() == 1);
  CHECK(evictions.front().caller_ == stalled);
  CHECK(evictions.front().cause_ == EvictionCause::Memory);
  // Nothing of it was run, so it is answered with a refusal.
  CHECK(evictions.front().refuse_);
  CHECK(machine.limits_.Connections() == 2);
}

TEST_CASE("a body that trickles gives way although it never stalls")
{
  SmallMachine machine;
  const CallerId slow = machine.Open();
  std::uint64_t held = 3 * kMegabyte;
  REQUIRE(machine.Receive(slow, held));
  // What it has sent at first buys it time, but not for ever.
  const auto paid =
    std::chrono::seconds(held / CallerLimits::kPaceBytesPerSecond);
  for (auto passed = 0ms; passed < paid + CallerLimits::kPaceGrace;
       passed += 500ms) {
    machine.Pass(500ms);
    REQUIRE(machine.Receive(slow, ++held));
  }
  CHECK(machine.Receive(machine.Open(), 2 * kMegabyte));
  CHECK(machine.Evicted() == std::vector{ slow });
}

TEST_CASE("the body that is furthest behind gives way first")
{
  SmallMachine machine({ 9, kMegabyte, 4 * kMegabyte });
  const CallerId older = machine.Open();
  const CallerId newer = machine.Open();
  REQUIRE(machine.Receive(older, kMegabyte));
  machine.Pass(500ms);
  REQUIRE(machine.Receive(newer, kMegabyte));
  machine.Pass(2s);
  CHECK(machine.Receive(machine.Open(), 3 * kMegabyte));
  CHECK(machine.Evicted() == std::vector{ older });
  CHECK(machine.Receive(machine.Open(), kMegabyte));
  CHECK(machine.Evicted() == std::vector{ newer });
}

TEST_CASE("a request that was handed on never gives way")
{
  SmallMachine machine;
  machine.OpenRunning(4 * kMegabyte);
  machine.Pass(1h);
  CHECK_FALSE(machine.Receive(machine.Open(), 2 * kMegabyte));
  CHECK(machine.limits_.Expire(machine.now_) != kNever);
  CHECK(machine.Evicted().empty());
}

TEST_CASE("large bodies take no memory from small requests")
{
  SmallMachine machine;
  machine.OpenRunning(4 * kMegabyte);
  const CallerId small = machine.Open();
  CHECK(machine.limits_.OnHead(small, 2 * kKilobyte, machine.now_));
  CHECK(machine.Receive(small, CallerLimits::kSmallBytes));
  CHECK_FALSE(machine.Receive(small, CallerLimits::kSmallBytes + kMegabyte));
}

TEST_CASE("a body is refused beforehand if there is no room for all of it")
{
  SmallMachine machine;
  CHECK(machine.limits_.HasRoomFor(4 * kMegabyte, machine.now_));
  CHECK_FALSE(machine.limits_.HasRoomFor(5 * kMegabyte, machine.now_));
  const CallerId other = machine.Open();
  REQUIRE(machine.Receive(other, 3 * kMegabyte));
  CHECK_FALSE(machine.limits_.HasRoomFor(2 * kMegabyte, machine.now_));
  CHECK(machine.limits_.HasRoomFor(kKilobyte, machine.now_));
  // The other one would give way.
  machine.Pass(CallerLimits::kStallTime);
  CHECK(machine.limits_.HasRoomFor(2 * kMegabyte, machine.now_));
  CHECK(machine.Evicted().empty());
}

TEST_CASE("a response that is not read gives way, one that is read does not")
{
  SmallMachine machine({ 9, kMegabyte, 4 * kMegabyte });
  const CallerId reader = machine.OpenRunning();
  const CallerId idler = machine.OpenRunning();
  machine.limits_.OnResponse(reader, 2 * kMegabyte, machine.now_);
  machine.limits_.OnResponse(idler, 2 * kMegabyte, machine.now_);
  machine.Pass(CallerLimits::kStallTime);
  machine.limits_.OnProgress(reader, machine.now_);
  CHECK(machine.limits_.Reserve(kMegabyte, machine.now_));
  const auto evictions = machine.limits_.TakeEvictions();
  REQUIRE(evictions.size() == 1);
  CHECK(evictions.front().caller_ == idler);
  CHECK_FALSE(evictions.front().refuse_);
}

TEST_CASE("a response counts even if there is no room for it")
{
  SmallMachine machine;
  const CallerId first = machine.OpenRunning();
  machine.limits_.OnResponse(first, 6 * kMegabyte, machine.now_);
  CHECK_FALSE(machine.limits_.Reserve(1, machine.now_));
  CHECK_FALSE(machine.Receive(machine.Open(), kMegabyte));
  machine.limits_.OnAnswered(first, machine.now_);
  CHECK(machine.limits_.Reserve(kMegabyte, machine.now_));
  machine.limits_.Release(kMegabyte);
  CHECK(machine.limits_.HeldBytes() == 2 * CallerLimits::kConnectionBytes);
}

TEST_CASE("a connection closes when its time is up")
{
  SmallMachine machine({ 9, kMegabyte, kMegabyte });
  const CallerId idle = machine.Open();
  const CallerId head = machine.Open();
  const CallerId body = machine.Open();
  const CallerId running = machine.OpenRunning();
  const CallerId unread = machine.OpenRunning();
  machine.limits_.OnResponse(unread, 10, machine.now_);
  machine.Pass(1s);
  REQUIRE(machine.limits_.OnHead(head, 10, machine.now_));
  REQUIRE(machine.Receive(body, 10));
  CHECK(machine.limits_.Expire(machine.now_) == machine.now_ + 3s);
  machine.Pass(2s);
  // More of a head does not extend its time.
  REQUIRE(machine.limits_.OnHead(head, 20, machine.now_));
  machine.Pass(1s);
  static_cast<void>(machine.limits_.Expire(machine.now_));
  CHECK(machine.Evicted() == std::vector{ head });
  machine.Pass(11s);
  static_cast<void>(machine.limits_.Expire(machine.now_));
  auto expired = machine.Evicted();
  std::sort(expired.begin(), expired.end());
  CHECK(expired == std::vector{ idle, unread });
  machine.Pass(1s);
  static_cast<void>(machine.limits_.Expire(machine.now_));
  CHECK(machine.Evicted() == std::vector{ body });
  machine.Pass(1h);
  CHECK(machine.limits_.Expire(machine.now_) == kNever);
  CHECK(machine.limits_.Connections() == 1);
  static_cast<void>(running);
}

TEST_CASE("connections follow a change of the time limits")
{
  SmallMachine machine;
  const CallerId idle = machine.Open();
  machine.Pass(5s);
  CHECK(machine.limits_.Expire(machine.now_) == machine.now_ + 10s);
  machine.limits_.SetTimeouts({ 1s, 5s });
  static_cast<void>(machine.limits_.Expire(machine.now_));
  CHECK(machine.Evicted() == std::vector{ idle });
}

TEST_CASE("the shares of a machine leave memory and descriptors for the rest")
{
  const auto memory = GENERATE(std::uint64_t{ 120'000'000 },
                               std::uint64_t{ 160'000'000 },
                               std::uint64_t{ 512'000'000 });
  const auto descriptors = GENERATE(
    std::uint64_t{ 512 }, std::uint64_t{ 4100 }, std::uint64_t{ 8192 });
  const CallerShares shares = CallerSharesOf(memory, descriptors);
  CHECK(shares.smallBytes_ + shares.largeBytes_ <= memory * 6 / 10);
  CHECK(shares.connections_ * CallerLimits::kConnectionBytes <=
        shares.smallBytes_ / 2);
  CHECK(shares.connections_ + 200 <= descriptors / 2 + 100);
  CHECK(shares.connections_ >= 100);
}

TEST_CASE("two bodies of the largest size fit a small machine")
{
  const CallerShares shares = CallerSharesOf(160'000'000, 4100);
  CallerLimits limits(shares);
  const TimePoint now;
  for (const CallerId id : { CallerId{ 1 }, CallerId{ 2 } }) {
    REQUIRE(limits.OnOpened(id, now));
    CHECK(limits.HasRoomFor(32 * kMegabyte, now));
    CHECK(limits.OnBody(id, 32 * kMegabyte, now));
  }
  CHECK(limits.TakeEvictions().empty());
}

TEST_CASE("of 10,000 connections with bodies that stay, a newcomer is served")
{
  constexpr std::uint64_t kCrowd = 10'000;
  const CallerShares shares = CallerSharesOf(160'000'000, 4100);
  CallerLimits limits(shares);
  TimePoint now;
  std::size_t evicted = 0;
  const auto answerRefused = [&] {
    for (const Eviction& eviction : limits.TakeEvictions()) {
      ++evicted;
      if (eviction.refuse_) {
        limits.OnAnswered(eviction.caller_, now);
      }
    }
  };
  for (std::uint64_t i = 1; i <= kCrowd; ++i) {
    const CallerId id{ i };
    if (limits.OnOpened(id, now)) {
      static_cast<void>(limits.OnHead(id, kKilobyte, now));
      static_cast<void>(limits.OnBody(id, 4 * kMegabyte, now));
    }
    answerRefused();
    now = now + 1ms;
    REQUIRE(limits.Connections() <= shares.connections_);
    REQUIRE(limits.HeldBytes() <= shares.smallBytes_ + shares.largeBytes_);
  }
  CHECK(evicted > 0);
  now = now + 1s;
  const CallerId newcomer{ kCrowd + 1 };
  CHECK(limits.OnOpened(newcomer, now));
  CHECK(limits.OnHead(newcomer, kKilobyte, now));
  CHECK(limits.OnBody(newcomer, 8 * kMegabyte, now));
  answerRefused();
  now = now + 1h;
  static_cast<void>(limits.Expire(now));
  CHECK(limits.Connections() == 0);
  CHECK(limits.HeldBytes() == 0);
}
