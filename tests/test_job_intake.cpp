/// Jobs submitted at one gateway and owned by another, and how each answers
/// requests about the other's jobs.

#include "gateway_pair.hpp"
#include "marjoramtally/process.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

OwnerPlan
MakeOwnerPlan(const std::string& aSelf, int aInstances)
{
  OwnerPlan plan(aSelf);
  for (int i = 0; i < aInstances; ++i) {
    const std::string name = "p" + std::to_string(i);
    plan.OnAlive(name + "~1", name + ":1");
  }
  return plan;
}

} // namespace

TEST_CASE("all processes choose the same owner for a trainer's jobs")
{
  const OwnerPlan plan = MakeOwnerPlan("p0~1", 50);
  int own = 0;
  for (int trainer = 0; trainer < 200; ++trainer) {
    const std::string model = "m" + std::to_string(trainer);
    const std::string owner = plan.OwnerOf(model);
    own += owner.empty() ? 1 : 0;
    for (int other = 1; other < 50; ++other) {
      const std::string name = "p" + std::to_string(other);
      const std::string seen = MakeOwnerPlan(name + "~1", 50).OwnerOf(model);
      const std::string expected = owner.empty() ? "p0:1" : owner;
      REQUIRE((seen.empty() ? name + ":1" : seen) == expected);
    }
  }
  // Owners are distributed evenly: the share of one process is 4 of 200.
  REQUIRE(own >= 1);
  REQUIRE(own <= 12);
}

TEST_CASE(
  "a dead process's trainers move to other owners, but a restart moves none")
{
  OwnerPlan plan = MakeOwnerPlan("p0~1", 20);
  std::map<std::string, std::string> before;
  for (int i = 0; i < 100; ++i) {
    const std::string model = "m" + std::to_string(i);
    before[model] = plan.OwnerOf(model);
  }
  plan.OnAlive("p3~2", "p3:1");
  // The lease of the previous run expires later.
  plan.OnGone("p3~1");
  for (const auto& [model, owner] : before) {
    REQUIRE(plan.OwnerOf(model) == owner);
  }
  plan.OnGone("p7~1");
  for (const auto& [model, owner] : before) {
    if (owner != "p7:1") {
      REQUIRE(plan.OwnerOf(model) == owner);
    } else {
      REQUIRE(plan.OwnerOf(model) != "p7:1");
    }
  }
}

namespace {

constexpr Capacity kSmall{ 90 };
constexpr Capacity kMedium{ 300 };
constexpr Capacity kLarge{ 500 };

/// A plan of uneven instances: few large ones, some medium, most small.
OwnerPlan
MakeUnevenPlan(const std::string& aSelf, std::set<std::string> aTrainers)
{
  OwnerPlan plan(aSelf);
  for (int i = 0; i < 73; ++i) {
    const std::string name = "p" + std::to_string(i);
    const Capacity capacity = i < 6 ? kLarge : i < 23 ? kMedium : kSmall;
    plan.OnAlive(name + "~1", name + ":1", capacity);
  }
  plan.SetTrainers(std::move(aTrainers));
  return plan;
}

/// @returns the number in the owner's name
int
OwnerNumber(const OwnerPlan& aPlan, const std::string& aTrainer)
{
  const std::string owner = aPlan.OwnerOf(aTrainer);
  return std::stoi(owner.substr(1));
}

} // namespace

TEST_CASE("trainers share the capacity of uneven instances")
{
  const OwnerPlan few = MakeUnevenPlan("p72~1", { "m1", "m2", "m3" });
  std::set<int> owners;
  for (const char* trainer : { "m1", "m2", "m3" }) {
    REQUIRE(OwnerNumber(few, trainer) < 6);
    owners.insert(OwnerNumber(few, trainer));
  }
  REQUIRE(owners.size() == 3);

  std::set<std::string> trainers;
  for (int i = 0; i < 40; ++i) {
    trainers.insert("m" + std::to_string(i));
  }
  const OwnerPlan many = MakeUnevenPlan("p72~1", trainers);
  std::map<int, int> shares;
  for (const std::string& trainer : trainers) {
    ++shares[OwnerNumber(many, trainer)];
  }
  for (const auto& [number, count] : shares) {
    REQUIRE(number < 23);
    REQUIRE(count <= (number < 6 ? 4 : 2));
  }
}

TEST_CASE("all processes assign trainers to uneven instances alike, and the "
          "death of an owner moves few")
{
  std::set<std::string> trainers;
  for (int i = 0; i < 12; ++i) {
    trainers.insert("m" + std::to_string(i));
  }
  OwnerPlan one = MakeUnevenPlan("p71~1", trainers);
  const OwnerPlan other = MakeUnevenPlan("p72~1", trainers);
  std::map<std::string, std::string> before;
  for (const std::string& trainer : trainers) {
    before[trainer] = one.OwnerOf(trainer);
    REQUIRE(other.OwnerOf(trainer) == before[trainer]);
  }
  const std::string dead = before.at("m0");
  one.OnGone(dead.substr(0, dead.find(':')) + "~1");
  int moved = 0;
  for (const std::string& trainer : trainers) {
    REQUIRE(one.OwnerOf(trainer) != dead);
    moved += one.OwnerOf(trainer) != before[trainer] ? 1 : 0;
  }
  REQUIRE(moved >= 1);
  REQUIRE(moved <= 6);
}

TEST_CASE("a trainer that no configuration names gets an owner")
{
  const OwnerPlan plan = MakeUnevenPlan("p72~1", { "m1" });
  REQUIRE(OwnerNumber(plan, "unknown") < 6);
  REQUIRE(plan.OwnerOf("unknown") != plan.OwnerOf("m1"));
}

TEST_CASE("a process without an address is not chosen as owner")
{
  OwnerPlan plan("self~1");
  REQUIRE(plan.OwnerOf("m").empty());
  plan.OnAlive("other~1", "");
  REQUIRE(plan.OwnerOf("m").empty());
}

TEST_CASE("a job is owned by the process that owns its trainer's jobs")
{
  GatewayPair pair;
  REQUIRE(pair.Submit("j1")->status_ == 202);
  REQUIRE(pair.OwnerOf("j1") == "two~1");
  REQUIRE(pair.second_.runner_.Owns(JobId{ "j1" }));
  REQUIRE_FALSE(pair.first_.runner_.Owns(JobId{ "j1" }));
  // A retry, as after a lost answer.
  REQUIRE(pair.Submit("j1")->status_ == 202);
  REQUIRE(pair.OwnerOf("j1") == "two~1");
}

TEST_CASE("an accepted job records the slots that its model wants")
{
  GatewayPair pair;
  const std::string key = kBurstPrefix + pair.model_;
  SECTION("the holder of the order duty does not poll")
  {
    REQUIRE(pair.Submit("j1")->status_ == 202);
    REQUIRE(pair.store_.records_.at(key).value_ == "1");
    // Two open jobs want twice as many.
    REQUIRE(pair.Submit("j2")->status_ == 202);
    REQUIRE(pair.store_.records_.at(key).value_ == "2");
    const std::uint64_t revision = pair.store_.records_.at(key).modRevision_;
    pair.second_.jobs_.Stop(0s);
    REQUIRE(pair.store_.records_.at(key).modRevision_ == revision);
  }
  SECTION("it polls the gateways")
  {
    pair.settings_.dutyCalls_ = "c:1";
    REQUIRE(pair.Submit("j1")->status_ == 202);
    REQUIRE_FALSE(pair.store_.records_.contains(key));
  }
  SECTION("the job is refused")
  {
    pair.store_.refusals_ = 2;
    REQUIRE(pair.Submit("j1")->status_ == 503);
    REQUIRE_FALSE(pair.store_.records_.contains(key));
    REQUIRE(pair.Submit("j2")->status_ == 202);
    REQUIRE(pair.store_.records_.at(key).value_ == "1");
  }
}

TEST_CASE("a job whose owner is unreachable or stopping is owned here")
{
  GatewayPair pair;
  SECTION("it cannot be reached")
  {
    pair.first_.peers_.cut_ = true;
  }
  SECTION("it stops")
  {
    pair.second_.jobs_.Stop(8s);
  }
  REQUIRE(pair.Submit("j1")->status_ == 202);
  REQUIRE(pair.OwnerOf("j1") == "one~1");
  REQUIRE(pair.first_.runner_.Owns(JobId{ "j1" }));
}

TEST_CASE("a job is accepted once although the other process's answer is lost")
{
  GatewayPair pair;
  pair.first_.peers_.losesAnswers_ = true;
  REQUIRE(pair.Submit("j1")->status_ == 202);
  const bool first = pair.first_.runner_.Owns(JobId{ "j1" });
  const bool second = pair.second_.runner_.Owns(JobId{ "j1" });
  REQUIRE(first != second);
}

TEST_CASE("an item's body comes from the job's owner, else from the store")
{
  GatewayPair pair;
  REQUIRE(pair.Submit("j1")->status_ == 202);
  pair.timers_.Advance(1s);
  const std::size_t reads = pair.store_.reads_;
  auto reply = pair.QueryFirst("j1", JobQuery::Verb::Body, "a1");
  REQUIRE(reply->status_ == 200);
  REQUIRE(reply->body_ == "hi");
  REQUIRE(pair.QueryFirst("j1", JobQuery::Verb::Body, "a9")->status_ == 404);
  REQUIRE(pair.store_.reads_ == reads);
  pair.first_.peers_.cut_ = true;
  reply = pair.QueryFirst("j1", JobQuery::Verb::Body, "a1");
  REQUIRE(reply->body_ == "hi");
  REQUIRE(pair.store_.reads_ == reads + 1);
}

TEST_CASE("a read at another process is answered as soon as a result is listed")
{
  GatewayPair pair;
  pair.AddTo(pair.second_.upstreamTable_);
  REQUIRE(pair.Submit("j1")->status_ == 202);
  pair.timers_.Advance(1s);
  const auto reply = pair.ReadFirst("j1", 1000);
  pair.timers_.Advance(300ms);
  REQUIRE_FALSE(reply->ended_);
  pair.AnswerItem();
  // The result is written, and no other wait is added.
  pair.timers_.Advance(60ms);
  REQUIRE(reply->status_ == 200);
  REQUIRE(reply->body_.find("a1") != std::string::npos);
}

TEST_CASE("a read that waits at an owner without a result is answered in time")
{
  GatewayPair pair;
  REQUIRE(pair.Submit("j1")->status_ == 202);
  pair.timers_.Advance(1s);
  SECTION("the owner lives")
  {
    const auto reply = pair.ReadFirst("j1", 1000);
    pair.timers_.Advance(1s);
    REQUIRE(reply->status_ == 200);
    REQUIRE(reply->body_.find("a1") == std::string::npos);
  }
  SECTION("the owner loses the job")
  {
    const auto reply = pair.ReadFirst("j1", 1000);
    pair.second_.runner_.Drop(JobId{ "j1" });
    pair.timers_.Advance(50ms);
    // The answer comes from the store.
    REQUIRE(reply->status_ == 200);
  }
}

TEST_CASE("a forwarded submission that cannot be read is refused")
{
  GatewayPair pair;
  std::optional<AcceptOutcome> end;
  const std::string text = GENERATE("", "no submission");
  RpcCall call;
  call.topic_ = RpcTopic::JobHandOn;
  call.body_ = EncodeJobHandover({ "j1", text });
  pair.second_.peers_.handlers_.at(RpcTopic::JobHandOn)(
    call, [&end](const RpcReply& aReply) {
      end = static_cast<AcceptOutcome>(
        DecodeJobHandoverReply(aReply.value()).value());
    });
  pair.timers_.Advance(50ms);
  REQUIRE(end == AcceptOutcome::Refused);
  REQUIRE_FALSE(pair.store_.records_.contains(job_keys::Owner(JobId{ "j1" })));
}

// Guards against a request that is smuggled in a field of an item: an upstream
// ran what followed a line break in a header as a request of its own.
TEST_CASE("a submission whose item is more than one request is rejected")
{
  const std::string item = GENERATE(
    R"("id":"a1","path":"/i/a1","headers":{"X":"1\r\nY: 2"})",
    R"("id":"a1","path":"/i/a1","headers":{"X":"1\nY: 2"})",
    R"("id":"a1","path":"/i/a1","headers":{"X: 1\r\nY":"2"})",
    R"("id":"a1","path":"/i/a1","headers":{"X:":"2"})",
    R"("id":"a1","path":"/i/a1","headers":{"":"2"})",
    R"("id":"a1","path":"/i/a1 HTTP/1.1\r\nY: 2","headers":{})",
    R"("id":"a1","path":"@evil/","headers":{})",
    R"("id":"a1\r\nY: 2","path":"/i/a1","headers":{})",
    R"("id":"a1","path":"/i/a1","scorer_url":{"id":"s","host":"h\r\nY: 2",)"
    R"("path":"/s","body":""})",
    R"("id":"a1","path":"/i/a1","scorer_url":{"id":"s\n","host":"h",)"
    R"("path":"/s","body":""})",
    R"("id":"a1","path":"/i/a1","scorer_url":{"id":"s","host":"h",)"
    R"("path":"/s x","body":""})");
  GatewayPair pair;
  HttpRequest request;
  request.method_ = "POST";
  request.path_ = "/i/j1";
  request.headers_ = { { "Host", "h" },
                       { pair.platform_->Names().attempt_, "j1" } };
  request.body_ = R"({"items":[{"id":"a0","path":"/i/a0"},{)" + item +
                  R"(,"body":"","tokens":1}]})";
  const auto reply = std::make_shared<FakeReply>();
  pair.first_.jobs_.Submit(std::move(request), ConfigRevision{ 1 }, reply);
  pair.timers_.Advance(50ms);
  REQUIRE(reply->status_ == 400);
  REQUIRE(reply->body_.find("items[1]") != std::string::npos);
  REQUIRE_FALSE(pair.store_.records_.contains(job_keys::Owner(JobId{ "j1" })));
}

TEST_CASE("messages about jobs are decoded as they were encoded")
{
  const std::string bytes("a\0b", 3);
  const auto read =
    DecodeJobResultsRequest(EncodeJobResultsRequest({ "j", 7, 800ms })).value();
  REQUIRE(read.after_ == 7);
  REQUIRE(read.wait_ == 800ms);
  const auto ask =
    DecodeJobBodyRequest(EncodeJobBodyRequest({ "j", "i" })).value();
  REQUIRE(ask.job_ == "j");
  REQUIRE(ask.item_ == "i");
  REQUIRE(DecodeJobBodyReply(EncodeJobBodyReply(bytes)).value() == bytes);
  REQUIRE_FALSE(DecodeJobBodyReply(EncodeJobBodyReply({})).value());
  const auto handOn =
    DecodeJobHandover(EncodeJobHandover({ "j", bytes })).value();
  REQUIRE(handOn.job_ == "j");
  REQUIRE(handOn.submission_ == bytes);
  REQUIRE(DecodeJobHandoverReply(EncodeJobHandoverReply(3)).value() == 3);
  REQUIRE_FALSE(DecodeJobHandover("short"));
}
