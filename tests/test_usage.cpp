/// Tests of usage reports: requests are counted by windows of true time, each
/// window is settled once, and its report is the same no matter how often and
/// by which holder it is sent.

#include "log_capture.hpp"
#include "usage_fixture.hpp"

#include "marjoramtally/base/random.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const CustomerId kNorth{ "north" };
const CustomerId kSouth{ "south" };

TrueTime
At(Duration aTime)
{
  return TrueTime{ aTime };
}

GatewayUsage
UsageOf(const std::string& aGateway, UsageCounts aCounts)
{
  GatewayUsage usage;
  usage.incarnation_ = aGateway;
  usage.counts_ = std::move(aCounts);
  return usage;
}

} // namespace

TEST_CASE("requests count in the window of true time in which they began")
{
  UsageMeter meter;
  meter.OnRequestStarted(kNorth, TimePoint{ 100s });
  meter.OnRequestStarted(kNorth, TimePoint{ 100s + 990ms });
  meter.OnRequestStarted(kSouth, TimePoint{ 101s + 10ms });
  // 103 s on the monotonic clock are 1003 s of true time. Windows end at
  // multiples of 5 s of true time, so one ends at 1000 s, or 100 s on the
  // monotonic clock.
  const auto counts = meter.Counts(TimePoint{ 103s }, At(1003s), 5s);
  REQUIRE(counts.size() == 1);
  REQUIRE(counts.at(200).at(kNorth) == 2);
  REQUIRE(counts.at(200).at(kSouth) == 1);
  // With a different true time, the same instants fall into two windows.
  const auto moved = meter.Counts(TimePoint{ 103s }, At(1002s), 5s);
  REQUIRE(moved.at(199).at(kNorth) == 2);
  REQUIRE(moved.at(200).at(kSouth) == 1);
}

TEST_CASE("counts are removed once they can no longer be requested")
{
  UsageMeter meter;
  meter.OnRequestStarted(kNorth, TimePoint{ 100s });
  meter.OnRequestStarted(kSouth, TimePoint{ 161s });
  const auto counts = meter.Counts(TimePoint{ 161s }, At(161s), 5s);
  REQUIRE(counts.size() == 1);
  REQUIRE(counts.at(32).at(kSouth) == 1);
}

TEST_CASE("the true time is the median of the clocks")
{
  REQUIRE(MedianClockAhead({}) == 0s);
  REQUIRE(MedianClockAhead({ 1ms, 2s, -1ms, 0ms, 2s, 2ms, -5s }) == 1ms);
}

TEST_CASE("usage messages survive encoding and decoding")
{
  GatewayUsage usage;
  usage.incarnation_ = "g-1~7";
  usage.clockAhead_ = -3ms;
  usage.counts_ = { { 7, { { kNorth, 2 } } } };
  usage.demand_[ServiceId{ "lm" }] = 128;
  usage.modelDemand_["m"] = 120;
  usage.longRuns_[UpstreamId{ "u1" }] = 2;
  const auto back = DecodeUsageReply(EncodeUsageReply({ usage, {} }));
  REQUIRE(back);
  REQUIRE(back.value().size() == 2);
  const GatewayUsage& read = back.value().front();
  REQUIRE(read.incarnation_ == "g-1~7");
  REQUIRE(read.clockAhead_ == -3ms);
  REQUIRE(read.counts_ == usage.counts_);
  REQUIRE(read.demand_ == usage.demand_);
  REQUIRE(read.modelDemand_ == usage.modelDemand_);
  REQUIRE(read.longRuns_ == usage.longRuns_);
  const auto request =
    DecodeUsageRequest(EncodeUsageRequest({ At(12s), 5s, { "a:1", "b:2" } }));
  REQUIRE(request);
  REQUIRE(request.value().now_ == At(12s));
  REQUIRE(request.value().others_ == std::vector<std::string>{ "a:1", "b:2" });
  REQUIRE_FALSE(DecodeUsageRequest(EncodeUsageRequest({ At(12s), 0s, {} })));
  REQUIRE_FALSE(DecodeUsageRequest(EncodeUsageRequest({ At(-1s), 5s, {} })));
  REQUIRE_FALSE(DecodeUsageRequest("x"));
}

TEST_CASE("settled windows survive writing and reading")
{
  const SettledWindow window{ { { kNorth, 3 }, { kSouth, 1 } }, true };
  const auto back = ReadSettledWindow(WriteSettledWindow(window));
  REQUIRE(back);
  REQUIRE(back.value().counts_ == window.counts_);
  REQUIRE(back.value().sent_);
  REQUIRE_FALSE(ReadSettledWindow("{}"));
  REQUIRE_FALSE(ReadSettledWindow("{"));
}

TEST_CASE("a window is settled when all gateways have reported its requests")
{
  UsageLedger ledger({ 5s, 10s, 2s, 0.7 });
  ledger.Begin({}, At(101s));
  const std::set<std::string> both{ "g1", "g2" };
  ledger.OnUsage(UsageOf("g1", { { 20, { { kNorth, 2 } } } }), At(107s));
  REQUIRE_FALSE(ledger.NextDue(At(106s), both));
  // g2 was polled too early: more requests may have started since.
  ledger.OnUsage(UsageOf("g2", { { 20, { { kNorth, 1 } } } }), At(106s));
  REQUIRE_FALSE(ledger.NextDue(At(108s), both));
  ledger.OnUsage(UsageOf("g2", { { 20, { { kNorth, 4 } } } }), At(107s));
  REQUIRE(ledger.NextDue(At(108s), both) == 20U);
  REQUIRE(ledger.CountsOf(20) == CustomerCounts{ { kNorth, 6 } });
  ledger.OnSettled(20, { ledger.CountsOf(20), false });
  REQUIRE_FALSE(ledger.NextDue(At(108s), both));
  REQUIRE(ledger.NextToSend() == 20U);
  ledger.OnSent(20);
  REQUIRE_FALSE(ledger.NextToSend());
}

TEST_CASE("a gateway that has left counts with its last report")
{
  UsageLedger ledger({ 5s, 10s, 2s, 0.7 });
  ledger.Begin({}, At(101s));
  ledger.OnUsage(UsageOf("g1", { { 20, { { kNorth, 2 } } } }), At(104s));
  ledger.OnUsage(UsageOf("g1-again", { { 20, { { kNorth, 1 } } } }), At(107s));
  REQUIRE(ledger.NextDue(At(107s), { "g1-again" }) == 20U);
  REQUIRE(ledger.CountsOf(20) == CustomerCounts{ { kNorth, 3 } });
}

TEST_CASE("an unresponsive gateway delays a window only for a limited time")
{
  UsageLedger ledger({ 5s, 10s, 2s, 0.7 });
  ledger.Begin({}, At(101s));
  const std::set<std::string> both{ "g1", "silent" };
  ledger.OnUsage(UsageOf("g1", {}), At(110s));
  REQUIRE_FALSE(ledger.NextDue(At(111900ms), both));
  REQUIRE(ledger.NextDue(At(112s), both) == 20U);
}

TEST_CASE("a later holder continues after the windows settled before it")
{
  UsageLedger ledger({ 5s, 10s, 2s, 0.7 });
  ledger.Begin({ { 18, { { { kNorth, 1 } }, true } },
                 { 19, { { { kNorth, 2 } }, false } } },
               At(113s));
  REQUIRE(ledger.NextToSend() == 19U);
  // Windows 20 and 21 ended while there was no holder.
  ledger.OnUsage(UsageOf("g1", { { 20, { { kSouth, 1 } } } }), At(113s));
  REQUIRE(ledger.NextDue(At(113s), { "g1" }) == 20U);
  ledger.OnSettled(20, { ledger.CountsOf(20), false });
  REQUIRE(ledger.Settled().at(20).counts_ == CustomerCounts{ { kSouth, 1 } });
}

TEST_CASE("a holder after a long gap skips windows that no gateway counted")
{
  UsageLedger ledger({ 5s, 10s, 2s, 0.7 });
  ledger.Begin({ { 18, { {}, true } } }, At(1003s));
  REQUIRE(ledger.NextDue(At(1003s), {}) == 188U);
}

TEST_CASE("obsolete windows are removed once they were sent")
{
  UsageLedger ledger({ 5s, 10s, 2s, 0.7 });
  ledger.Begin({}, At(0s));
  for (UsageWindow window = 0; window < 15; ++window) {
    ledger.OnSettled(window, {});
  }
  REQUIRE(ledger.TakeObsolete().empty());
  ledger.OnSent(0);
  ledger.OnSent(1);
  REQUIRE(ledger.TakeObsolete() == std::vector<UsageWindow>{ 0, 1 });
}

TEST_CASE("each window is reported once, in time, with one write")
{
  UsageFixture fix;
  Holder holder(fix, "o1~1");
  holder.lease_.Start();
  const UsageWindow first = fix.CurrentWindow();
  holder.gateway_.usage_.counts_ = { { first, { { kNorth, 3 } } } };
  fix.Run(holder, 9s);
  REQUIRE(fix.receiver_.accepted_.size() == 1);
  const std::size_t commits = fix.store_.commits_;
  fix.Run(holder, 20s);
  REQUIRE(fix.receiver_.accepted_.size() == 5);
  REQUIRE(fix.store_.commits_ - commits == 4);
  REQUIRE(fix.receiver_.accepted_.begin()->second.find(R"("north":3)") !=
          std::string::npos);
}

// Windows are settled from the newest record on.
TEST_CASE("an odd record of a usage window does not end the reports")
{
  const auto [key, value] = GENERATE(table<std::string, std::string>({
    { "18446744073709551615", R"({"sent":true,"counts":{}})" },
    { "9223372036854775808", R"({"sent":true,"counts":{}})" },
    { "999999999999", R"({"sent":true,"counts":{}})" },
    { "999999999999", R"({"sent":false,"counts":{"north":1}})" },
    { "1e400", R"({"sent":true,"counts":{}})" },
    { "-1", R"({"sent":true,"counts":{}})" },
    { "", R"({"sent":true,"counts":{}})" },
    { "000000000001", R"({"sent":true,"counts":{"north":-1}})" },
    { "000000000001", R"({"sent":1,"counts":{}})" },
    { "000000000001", "" },
  }));
  INFO(key << " " << value);
  UsageFixture fix;
  fix.store_.Put("mt/usage/" + key, value);
  const LogCapture log;
  Holder holder(fix, "o1~1");
  holder.lease_.Start();
  const UsageWindow first = fix.CurrentWindow();
  holder.gateway_.usage_.counts_ = { { first, { { kNorth, 3 } } } };
  fix.Run(holder, 19s);
  CHECK(log.Contains("event=record_unreadable key=mt/usage/" + key));
  CHECK(fix.receiver_.accepted_.size() == 3);
}

// Guards against two counts for one window: the first holder settles a window
// and sends its report, gets no reply and loses its lease, while the gateway
// counts one more request. The second holder reports the window, then the first
// call arrives.
TEST_CASE("a late call and a later holder report the same counts")
{
  UsageFixture fix;
  Holder first(fix, "o1~1");
  Holder second(fix, "o2~1");
  first.lease_.Start();
  const UsageWindow window = fix.CurrentWindow();
  first.gateway_.usage_.counts_ = { { window, { { kNorth, 3 } } } };
  second.gateway_.usage_.counts_ = { { window, { { kNorth, 4 } } } };
  fix.timers_.Advance(9s);
  REQUIRE(first.client_.open_.size() == 1);
  const HttpCall late = first.client_.Oldest().call_;
  first.lease_.Stop();
  second.lease_.Start();
  fix.Run(second, 3s);
  REQUIRE(fix.receiver_.accepted_.size() == 1);
  REQUIRE(fix.receiver_.accepted_.begin()->second.find(R"("north":3)") !=
          std::string::npos);
  // Refused by its fencing number; otherwise its counts would have to be equal.
  REQUIRE(fix.receiver_.Receive(late) == 409);
}

TEST_CASE("a settling write whose reply is lost is read back before its report")
{
  UsageFixture fix;
  Holder holder(fix, "o1~1");
  holder.lease_.Start();
  const UsageWindow window = fix.CurrentWindow();
  holder.gateway_.usage_.counts_ = { { window, { { kNorth, 3 } } } };
  fix.Run(holder, 8200ms);
  fix.store_.fault_ = StoreFault::LosesAnswers;
  fix.timers_.Advance(100ms);
  REQUIRE(fix.store_.records_.contains("mt/usage/" + [&] {
    std::string number = std::to_string(window);
    return std::string(12 - number.size(), '0') + number;
  }()));
  REQUIRE(holder.client_.sent_ == 0);
  fix.store_.fault_ = StoreFault::None;
  holder.gateway_.usage_.counts_ = { { window, { { kNorth, 5 } } } };
  fix.Run(holder, 3s);
  REQUIRE(fix.receiver_.accepted_.begin()->second.find(R"("north":3)") !=
          std::string::npos);
}

TEST_CASE("a report without a reply is sent again unchanged")
{
  UsageFixture fix;
  Holder holder(fix, "o1~1");
  holder.lease_.Start();
  fix.timers_.Advance(9s);
  REQUIRE(holder.client_.open_.size() == 1);
  const std::string body = holder.client_.Oldest().call_.body_;
  holder.client_.Fail(holder.client_.Oldest(), HttpEnd::TimedOut);
  fix.timers_.Advance(1100ms);
  REQUIRE(holder.client_.open_.size() == 1);
  REQUIRE(holder.client_.Oldest().call_.body_ == body);
}

TEST_CASE("a holder refused for a higher fencing number abandons the lease")
{
  UsageFixture fix;
  Holder holder(fix, "o1~1");
  holder.lease_.Start();
  fix.timers_.Advance(9s);
  REQUIRE(holder.client_.open_.size() == 1);
  holder.client_.Answer(holder.client_.Oldest(), JsonResponse(409, "{}"));
  REQUIRE_FALSE(holder.lease_.Active());
  fix.timers_.Advance(1s);
  REQUIRE(holder.client_.open_.empty());
}

TEST_CASE("no window is settled by the holder's own clock alone")
{
  UsageFixture fix;
  Holder holder(fix, "o1~1");
  holder.gateway_.unresponsive_ = true;
  holder.lease_.Start();
  fix.timers_.Advance(20s);
  REQUIRE(holder.client_.sent_ == 0);
  // The holder's clock is 2 s ahead of the gateways' clocks.
  holder.gateway_.unresponsive_ = false;
  holder.gateway_.clockOffset_ = -2s;
  fix.Run(holder, 1500ms);
  REQUIRE(holder.poll_.Now() ==
          At(fix.clock_.Now() - TimePoint{} - Duration{ 2s }));
}

// Guards against a window that is reported with two counts: in seeded runs
// holders change at any time, calls arrive late and replies are lost.
TEST_CASE("seeded simulation of holders: one count for each window")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    UsageFixture fix;
    std::vector<std::unique_ptr<Holder>> holders;
    std::vector<HttpCall> delayed;
    for (int i = 0; i < 3; ++i) {
      holders.push_back(
        std::make_unique<Holder>(fix, "o" + std::to_string(i) + "~1"));
      holders.back()->lease_.Start();
    }
    std::uint64_t begun = 0;
    for (int step = 0; step < 400; ++step) {
      fix.timers_.Advance(100ms);
      begun += random.Next() % 3;
      const UsageWindow current = fix.CurrentWindow();
      for (const auto& holder : holders) {
        holder->gateway_.usage_.counts_[current][kNorth] = begun;
        holder->gateway_.unresponsive_ = random.Next() % 10 == 0;
        while (!holder->client_.open_.empty()) {
          SentCall call = holder->client_.Oldest();
          const std::uint64_t luck = random.Next() % 10;
          if (luck == 0) {
            delayed.push_back(call.call_);
            holder->client_.Fail(std::move(call), HttpEnd::TimedOut);
          } else if (luck == 1) {
            fix.receiver_.Receive(call.call_);
            holder->client_.Fail(std::move(call), HttpEnd::TimedOut);
          } else {
            const int status = fix.receiver_.Receive(call.call_);
            holder->client_.Answer(std::move(call), JsonResponse(status, "{}"));
          }
        }
      }
      if (!delayed.empty() && random.Next() % 20 == 0) {
        fix.receiver_.Receive(delayed.front());
        delayed.erase(delayed.begin());
      }
      const std::uint64_t trouble = random.Next() % 40;
      if (trouble == 0) {
        fix.store_.ExpireAllLeases();
      } else if (trouble == 1) {
        fix.store_.fault_ = StoreFault::LosesAnswers;
      } else if (trouble == 2) {
        fix.store_.fault_ = StoreFault::Refuses;
      } else if (trouble < 8) {
        fix.store_.fault_ = StoreFault::None;
      }
    }
    fix.store_.fault_ = StoreFault::None;
    for (int i = 0; i < 150; ++i) {
      fix.timers_.Advance(100ms);
      for (const auto& holder : holders) {
        holder->gateway_.unresponsive_ = false;
        fix.Serve(*holder);
      }
    }
    // All windows of the first 30 s have been reported.
    CHECK(fix.receiver_.accepted_.size() >= 6);
  }
}
