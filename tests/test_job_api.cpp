/// Jobs over HTTP on fakes, and what a process that is stopped does with
/// them.

#include "gateway_fixture.hpp"
#include "programs/gatewayd/job_api.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const JobId kJob{ "7c41e0" };

struct Fixture : GatewayFakes
{
  RouteTable routes_;
  Forwarder forwarder_{ context_, board_ };
  JobStore store_{ context_ };
  JobDirectory directory_{ context_, store_ };
  JobRunner runner_{ context_, routes_, board_, forwarder_, store_ };
  JobApi jobs_{ context_, store_, directory_, runner_ };

  Fixture()
  {
    RoutingConfig config;
    config.revision_ = ConfigRevision{ 1 };
    Route route;
    route.host_ = "h";
    route.prefix_ = "/i/";
    route.kind_ = RouteKind::Rollout;
    route.maxQueue_ = 40s;
    route.services_ = { { ServiceId{ "lm" }, 1 } };
    config.routes_ = { route };
    routes_.Apply(config);
    AddUpstream("e0", "lm", 5);
    GatewayFakes::store_.Put(job_keys::Life("self~1"),
                             WriteLifeRecord({ ZoneId{ "z" }, "a:1" }));
    directory_.Start();
    timers_.Advance(10ms);
  }

  /// @returns the status of the answer
  int Submit(const JobId& aJob)
  {
    const auto reply = std::make_shared<FakeReply>();
    HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/i/" + aJob.Get();
    request.headers_ = { { "Host", "h" },
                         { platform_->Names().attempt_, aJob.Get() } };
    request.body_ = R"({"model":"m","items":[{"id":"a1","path":"/i/a1",)"
                    R"("headers":{"Model":"m"},"body":"","tokens":1}]})";
    jobs_.Submit(std::move(request), ConfigRevision{ 1 }, reply);
    timers_.Advance(20ms);
    return reply->status_;
  }

  /// As the gateway does it.
  void Stop(Duration aGrace)
  {
    directory_.StopClaiming();
    jobs_.Stop(aGrace);
  }

  std::string Owner(const JobId& aJob)
  {
    const auto& record =
      GatewayFakes::store_.records_.at(job_keys::Owner(aJob));
    return ReadOwnerRecord(record.value_).value().owner_;
  }

  void AnswerItem()
  {
    const SentCall call = client_.Oldest();
    HttpResponse response = Answer(call, 200, "id: 1\ndata: x\n\n");
    response.headers_.push_back({ platform_->Names().versions_, "5" });
    client_.Answer(call, std::move(response));
  }
};

} // namespace

TEST_CASE("a process that is stopped finishes the jobs that it has")
{
  Fixture fix;
  REQUIRE(fix.Submit(kJob) == 202);
  fix.Stop(8s);
  fix.timers_.Advance(2s);
  REQUIRE_FALSE(fix.jobs_.Idle());
  REQUIRE(fix.client_.cancelled_ == 0);
  REQUIRE(fix.Owner(kJob) == "self~1");
  fix.AnswerItem();
  fix.timers_.Advance(300ms);
  REQUIRE(fix.runner_.Find(kJob)->Done());
  REQUIRE(fix.jobs_.Idle());
}

TEST_CASE("a process that is stopped takes in no more jobs")
{
  Fixture fix;
  fix.Stop(8s);
  REQUIRE(fix.Submit(kJob) == 503);
  REQUIRE(fix.jobs_.Idle());
}

TEST_CASE("jobs that do not end in time are given back before the forced end")
{
  Fixture fix;
  REQUIRE(fix.Submit(kJob) == 202);
  fix.Stop(8s);
  fix.timers_.Advance(4700ms);
  REQUIRE(fix.Owner(kJob) == "self~1");
  fix.timers_.Advance(200ms);
  REQUIRE(fix.Owner(kJob).empty());
  REQUIRE(fix.client_.open_.empty());
  REQUIRE(fix.jobs_.Idle());
}

TEST_CASE("a grace that is too short for any job gives all back at once")
{
  Fixture fix;
  REQUIRE(fix.Submit(kJob) == 202);
  fix.Stop(1s);
  fix.timers_.Advance(100ms);
  REQUIRE(fix.Owner(kJob).empty());
  REQUIRE(fix.jobs_.Idle());
}
