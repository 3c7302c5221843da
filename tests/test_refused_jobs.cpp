/// Promises of refusals of jobs, with the real clients of the store and HTTP.

#include "job_gateway.hpp"
#include "store_server.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

/// Three gateways, the last of which owns the jobs of a model, with one store.
struct Fleet : GatewayFakes
{
  StoreServer server_;
  AnswerQueue answers_;
  SocketStore stores_[3] = { { store_, timers_, answers_, server_.Address() },
                             { store_, timers_, answers_, server_.Address() },
                             { store_, timers_, answers_, server_.Address() } };
  JobGateway gateways_[3] = { { *this, stores_[0], "one~1" },
                              { *this, stores_[1], "two~1" },
                              { *this, stores_[2], "three~1" } };
  std::string model_;

  Fleet()
  {
    const std::array<std::string, 3> addresses{ "a:1", "a:2", "a:3" };
    const std::array<std::string, 3> names{ "one~1", "two~1", "three~1" };
    for (std::size_t i = 0; i < 3; ++i) {
      for (std::size_t j = 0; j < 3; ++j) {
        gateways_[i].peers_.others_[addresses.at(j)] = &gateways_[j].peers_;
      }
      gateways_[i].directory_.Start();
    }
    answers_.Drain();
    timers_.Advance(20ms);
    for (std::size_t i = 0; i < 3; ++i) {
      store_.Put(job_keys::Liveness(names.at(i)),
                 WriteLivenessRecord({ ZoneId{ "z" }, addresses.at(i) }));
    }
    timers_.Advance(20ms);
    for (int i = 0; i < 100 && model_.empty(); ++i) {
      const std::string candidate = "m" + std::to_string(i);
      if (gateways_[0].directory_.OwnerFor(candidate) == "a:3") {
        model_ = candidate;
      }
    }
    REQUIRE_FALSE(model_.empty());
    KeepConnections();
  }

  /// Leaves each gateway with an open connection to the store.
  void KeepConnections()
  {
    for (SocketStore& store : stores_) {
      store.Read("none",
                 [](const Result<StoreRange>& aRange) { REQUIRE(aRange); });
      answers_.Drain();
    }
  }

  std::shared_ptr<FakeReply> Begin(std::size_t aGateway,
                                   const std::string& aJob)
  {
    auto reply = std::make_shared<FakeReply>();
    HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/i/" + aJob;
    request.headers_ = { { "Host", "h" },
                         { platform_->Names().attempt_, aJob } };
    request.body_ = R"({"model":")" + model_ +
                    R"(","items":[{"id":"a1","path":"/i/a1","headers":{},)"
                    R"("body":"aGk=","tokens":1}]})";
    gateways_[aGateway].jobs_.Submit(
      std::move(request), ConfigRevision{ 1 }, reply);
    return reply;
  }

  int Submit(std::size_t aGateway, const std::string& aJob)
  {
    const auto reply = Begin(aGateway, aJob);
    answers_.Drain();
    return reply->status_;
  }

  bool IsStored(const std::string& aJob)
  {
    return server_.Has(job_keys::Owner(JobId{ aJob }));
  }
};

} // namespace

// The store executes a write and closes its connection as an outage begins.
TEST_CASE("a job that was refused at every gateway is not in the store")
{
  const bool closes = GENERATE(true, false);
  const int status = GENERATE(503, 429, 0);
  CAPTURE(closes, status);
  Fleet fleet;
  for (const std::string job : { "j1", "j2", "j3" }) {
    fleet.server_.GoDownAtNextWrite({ closes, status });
    std::vector<int> answers;
    for (std::size_t gateway = 0; gateway < 3; ++gateway) {
      answers.push_back(fleet.Submit(gateway, job));
    }
    CAPTURE(job, answers);
    REQUIRE(fleet.IsStored(job));
    CHECK(answers != std::vector<int>{ 503, 503, 503 });
    fleet.server_.Return();
    CHECK(fleet.Submit(0, job) == 202);
    fleet.KeepConnections();
  }
}

// Each gateway hands the job to its owner, which may have accepted it before.
TEST_CASE("a job is not refused after a submission that may be accepted")
{
  const bool closes = GENERATE(true, false);
  CAPTURE(closes);
  Fleet fleet;
  fleet.server_.GoDownAtNextWrite({ closes, 503 });
  for (std::size_t gateway = 0; gateway < 3; ++gateway) {
    CHECK(fleet.Submit(gateway, "j1") == 504);
  }
}

// Trainers submit at the same moments, so that one outage meets several jobs.
TEST_CASE(
  "of several jobs in one outage, none that was refused is in the store")
{
  const bool closes = GENERATE(true, false);
  Fleet fleet;
  for (int outage = 0; outage < 3; ++outage) {
    fleet.server_.GoDownAtNextWrite({ closes, 503 });
    std::map<std::string, std::shared_ptr<FakeReply>> replies;
    for (int i = 0; i < 4; ++i) {
      const std::string job =
        "j" + std::to_string(outage) + "-" + std::to_string(i);
      replies[job] = fleet.Begin(static_cast<std::size_t>(i) % 3, job);
    }
    fleet.answers_.Drain();
    std::size_t stored = 0;
    for (const auto& [job, reply] : replies) {
      CAPTURE(job, reply->status_);
      CHECK((reply->status_ == 503 || reply->status_ == 504));
      CHECK_FALSE((reply->status_ == 503 && fleet.IsStored(job)));
      stored += fleet.IsStored(job) ? 1 : 0;
    }
    CHECK(stored == 1);
    fleet.server_.Return();
    fleet.KeepConnections();
  }
}

TEST_CASE("a job is refused while the store refuses every call")
{
  Fleet fleet;
  fleet.server_.GoDownAtNextWrite({});
  REQUIRE(fleet.Submit(0, "other") == 504);
  for (std::size_t gateway = 0; gateway < 3; ++gateway) {
    REQUIRE(fleet.Submit(gateway, "j1") == 503);
  }
  REQUIRE_FALSE(fleet.IsStored("j1"));
}

// The owner ends between its write and its answer, and starts again without its
// memory.
TEST_CASE(
  "a job whose owner was killed after its write is not refused everywhere")
{
  const bool restarted = GENERATE(false, true);
  const bool closes = GENERATE(true, false);
  CAPTURE(restarted, closes);
  Fleet fleet;
  JobGateway next{ fleet, fleet.stores_[2], "three~2" };
  fleet.server_.GoDownAtNextWrite({ closes, 503 });
  fleet.gateways_[0].peers_.losesAnswers_ = true;
  std::vector<int> answers{ fleet.Submit(0, "j1") };
  fleet.gateways_[0].peers_.losesAnswers_ = false;
  for (std::size_t gateway = 0; gateway < 2; ++gateway) {
    auto& peers = fleet.gateways_[gateway].peers_.others_;
    peers.erase("a:3");
    if (restarted) {
      peers["a:3"] = &next.peers_;
    }
  }
  answers.push_back(fleet.Submit(1, "j1"));
  answers.push_back(fleet.Submit(0, "j1"));
  CAPTURE(answers);
  REQUIRE(fleet.IsStored("j1"));
  CHECK(answers != std::vector<int>{ 503, 503, 503 });
  CHECK(answers.front() == 504);
}
