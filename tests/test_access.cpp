#include "daemon/access.hpp"
#include "daemon/manifest.hpp"
#include "marjoramtally/runtime/rpc_mac.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

namespace {

constexpr std::uint64_t kNow = 1'000'000;

HttpHeaders
Bearer(const std::string& aToken)
{
  return { { "Authorization", "Bearer " + aToken } };
}

} // namespace

TEST_CASE("calls between instances are refused unless fresh and unchanged")
{
  const RpcMac sender({ "key one" });
  RpcMac receiver({ "key two", "key one" });
  const RpcSigned call{ 4, "10.0.0.1:70", "body" };
  const RpcStamp stamp = sender.Stamp(call, kNow, 7);
  CHECK(receiver.Accept({ 5, call.target_, call.body_ }, stamp, kNow) ==
        RpcVerdict::BadMac);
  CHECK(receiver.Accept({ 4, "10.0.0.2:70", call.body_ }, stamp, kNow) ==
        RpcVerdict::BadMac);
  CHECK(receiver.Accept({ 4, call.target_, "other" }, stamp, kNow) ==
        RpcVerdict::BadMac);
  RpcStamp later = stamp;
  later.unixMillis_ += 1;
  CHECK(receiver.Accept(call, later, kNow) == RpcVerdict::BadMac);
  CHECK(receiver.Accept(call, stamp, kNow + kRpcWindowMillis + 1) ==
        RpcVerdict::OutOfTime);
  CHECK(receiver.Accept(call, stamp, kNow) == RpcVerdict::Accepted);
  CHECK(receiver.Accept(call, stamp, kNow) == RpcVerdict::Replayed);
  RpcMac stranger({ "key three" });
  CHECK(stranger.Accept(call, stamp, kNow) == RpcVerdict::BadMac);
  CHECK(receiver.Accept(call, RpcStamp{}, kNow) == RpcVerdict::BadMac);
}

TEST_CASE("a replay is refused while its time stamp is in the window")
{
  // The sender's clock is ahead by the full window.
  RpcMac mac({ "key" });
  const RpcSigned call{ 4, "a", "b" };
  const RpcStamp stamp = mac.Stamp(call, kNow + kRpcWindowMillis, 1);
  CHECK(mac.Accept(call, stamp, kNow) == RpcVerdict::Accepted);
  CHECK(mac.Accept(call, stamp, kNow + 2 * kRpcWindowMillis) ==
        RpcVerdict::Replayed);
  CHECK(mac.Accept(call, stamp, kNow + 2 * kRpcWindowMillis + 1) ==
        RpcVerdict::OutOfTime);
}

TEST_CASE("a reply signature is valid only for its call")
{
  const RpcMac mac({ "key" });
  const RpcSigned call{ 4, "a", "b" };
  const RpcStamp first = mac.Stamp(call, kNow, 1);
  const RpcStamp second = mac.Stamp(call, kNow, 2);
  const std::string proof = mac.SignReply(first, 0, "answer");
  CHECK(mac.VerifyReply(first, 0, "answer", proof));
  CHECK_FALSE(mac.VerifyReply(second, 0, "answer", proof));
  CHECK_FALSE(mac.VerifyReply(first, 1, "answer", proof));
  CHECK_FALSE(mac.VerifyReply(first, 0, "other", proof));
}

TEST_CASE("a token is required if the rules contain its hash")
{
  const auto merged = MergeRulesFiles(
    { { "10.ini",
        "[service s]\nkind = engine\n[trainer open]\nservice = s\nmodel = m\n"
        "[trainer closed]\nservice = s\nmodel = m\ntoken-sha256 = " +
          ContentHash("secret") + "\n[operator kari]\ntoken-sha256 = " +
          ContentHash("phone") + "\n" } });
  REQUIRE(merged);
  const auto rules = BuildRules(merged.value());
  REQUIRE(rules);
  const Rules& known = rules.value();
  const TrainerId closed{ "closed" };
  CHECK(CheckTrainerAccess(known, TrainerId{ "open" }, {}));
  CHECK(CheckTrainerAccess(known, closed, Bearer("secret")));
  CHECK_FALSE(CheckTrainerAccess(known, closed, {}));
  CHECK_FALSE(CheckTrainerAccess(known, closed, Bearer("phone")));
  const auto kari = CheckOperatorAccess(known, Bearer("phone"));
  REQUIRE(kari);
  CHECK(kari.value() == OperatorId{ "kari" });
  CHECK_FALSE(CheckOperatorAccess(known, Bearer("secret")));
  CHECK_FALSE(CheckOperatorAccess(Rules{}, {}));
}

TEST_CASE("a token in place of its hash is a finding that does not contain it")
{
  const auto merged =
    MergeRulesFiles({ { "10.ini", "[operator k]\ntoken-sha256 = hunter2\n" } });
  REQUIRE(merged);
  const auto rules = BuildRules(merged.value());
  REQUIRE_FALSE(rules);
  CHECK(rules.error().Items().front().place_ == SourcePlace{ "10.ini", 2 });
  CHECK(rules.error().Render().find("hunter2") == std::string::npos);
}
