/// What callers are told of a submission whose fate the store does not confirm.

#include "gateway_pair.hpp"
#include "log_capture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

// A refusal with 503 promises that no part of the job runs. Here the other
// process accepted the job, its answer was lost, and this process's own write
// was refused: the job runs, so the answer must not be a refusal.
TEST_CASE("a job that another process may have accepted is not refused")
{
  const bool reported = GENERATE(false, true);
  GatewayPair pair;
  pair.first_.peers_.losesAnswers_ = true;
  // The first write is the other process's, the second this one's.
  pair.store_.refuseCommit_ = 2;
  pair.store_.dropsEvents_ = !reported;
  const auto reply = pair.Submit("j1");
  REQUIRE(pair.second_.runner_.Owns(JobId{ "j1" }));
  REQUIRE(reply->status_ == (reported ? 202 : 504));
}

// Guards against a refusal of a job that runs later: the refusal of a repeated
// submission proves nothing about the earlier one.
TEST_CASE("a job that this process may have accepted earlier is not refused")
{
  GatewayPair pair;
  pair.store_.fault_ = StoreFault::Unresponsive;
  REQUIRE(pair.SubmitToOwner("j1")->status_ == 504);
  pair.store_.fault_ = StoreFault::Refuses;
  REQUIRE(pair.SubmitToOwner("j1")->status_ == 504);
  REQUIRE(pair.SubmitToOwner("j2")->status_ == 503);
  // What the store holds is known only once it answers again.
  pair.timers_.Advance(61s);
  REQUIRE(pair.SubmitToOwner("j1")->status_ == 504);
  pair.timers_.Advance(61s);
  pair.store_.fault_ = StoreFault::None;
  REQUIRE(pair.SubmitToOwner("j3")->status_ == 202);
  pair.store_.fault_ = StoreFault::Refuses;
  REQUIRE(pair.SubmitToOwner("j1")->status_ == 503);
}

// The store refuses the second submission while the first has no answer yet.
TEST_CASE("a job that this process is still writing is not refused")
{
  GatewayPair pair;
  pair.store_.dropsEvents_ = true;
  pair.store_.delay_ = 1s;
  pair.store_.fault_ = StoreFault::LosesAnswers;
  const auto first = pair.SubmitToOwner("j1");
  pair.store_.delay_ = 4ms;
  pair.store_.fault_ = StoreFault::Refuses;
  const auto second = pair.SubmitToOwner("j1");
  REQUIRE_FALSE(first->ended_);
  REQUIRE(pair.store_.records_.contains(job_keys::Owner(JobId{ "j1" })));
  REQUIRE(second->status_ == 504);
  pair.timers_.Advance(3s);
  REQUIRE(first->status_ == 504);
}

// The store may still apply the write of the earlier submission.
TEST_CASE("a stopping process does not refuse a job that it may have accepted")
{
  GatewayPair pair;
  pair.store_.dropsEvents_ = true;
  pair.store_.fault_ = StoreFault::LosesAnswers;
  SECTION("it was submitted there")
  {
    REQUIRE(pair.SubmitToOwner("j1")->status_ == 504);
    pair.second_.jobs_.Stop(8s);
    REQUIRE(pair.SubmitToOwner("j1")->status_ == 504);
    REQUIRE(pair.SubmitToOwner("j2")->status_ == 503);
  }
  SECTION("it was handed on to it")
  {
    REQUIRE(pair.HandOn("j1") == AcceptOutcome::Unknown);
    pair.second_.jobs_.Stop(8s);
    REQUIRE(pair.HandOn("j1") == AcceptOutcome::Unknown);
    REQUIRE(pair.HandOn("j2") == AcceptOutcome::Refused);
  }
}

// The outcome of a submission that was handed on is remembered here, because a
// restarted owner does not know it.
TEST_CASE("a job that a restarted process may have accepted is not refused")
{
  GatewayPair pair;
  pair.store_.fault_ = StoreFault::Refuses;
  pair.first_.peers_.losesAnswers_ = true;
  REQUIRE(pair.Submit("j1")->status_ == 504);
  pair.first_.peers_.losesAnswers_ = false;
  JobGateway restarted{ pair, pair.store_, "two~2" };
  pair.first_.peers_.others_["a:2"] = &restarted.peers_;
  REQUIRE(pair.Submit("j1")->status_ == 504);
  REQUIRE(pair.Submit("j2")->status_ == 503);
  // What the store holds is known only once it answers again.
  pair.timers_.Advance(61s);
  REQUIRE(pair.Submit("j1")->status_ == 504);
  pair.timers_.Advance(61s);
  pair.store_.fault_ = StoreFault::None;
  REQUIRE(pair.Submit("j3")->status_ == 202);
  pair.store_.fault_ = StoreFault::Refuses;
  REQUIRE(pair.Submit("j1")->status_ == 503);
}

// Guards against a broken refusal that no log shows.
TEST_CASE("a refused job that the store lists as owned here is reported")
{
  GatewayPair pair;
  const LogCapture log;
  pair.store_.fault_ = StoreFault::Refuses;
  REQUIRE(pair.SubmitToOwner("j1")->status_ == 503);
  pair.store_.fault_ = StoreFault::None;
  REQUIRE(pair.SubmitToOwner("j1")->status_ == 202);
  REQUIRE_FALSE(log.Contains("event=refused_job_accepted"));
  pair.store_.fault_ = StoreFault::ExecutesAndRefuses;
  pair.store_.dropsEvents_ = true;
  REQUIRE(pair.SubmitToOwner("j2")->status_ == 503);
  REQUIRE(
    log.Contains("event=job_submitted job=j2 outcome=refused why=refused"));
  pair.store_.fault_ = StoreFault::None;
  pair.store_.dropsEvents_ = false;
  const std::string key = job_keys::Owner(JobId{ "j2" });
  pair.store_.Put(key, pair.store_.records_.at(key).value_);
  pair.timers_.Advance(50ms);
  REQUIRE(log.Contains("event=refused_job_accepted job=j2 refused_ms_ago="));
}

// Guards against a false report: another process accepted the job first.
TEST_CASE("a refused job that is taken over later is not reported")
{
  GatewayPair pair;
  const LogCapture log;
  pair.store_.fault_ = StoreFault::Refuses;
  REQUIRE(pair.SubmitToOwner("j1")->status_ == 503);
  pair.store_.fault_ = StoreFault::None;
  const std::string key = job_keys::Owner(JobId{ "j1" });
  pair.store_.Put(key, WriteOwnerRecord({ "three~1", 1, 0 }));
  pair.timers_.Advance(50ms);
  pair.store_.Put(key, WriteOwnerRecord({ "two~1", 1, 0 }));
  pair.timers_.Advance(50ms);
  REQUIRE_FALSE(log.Contains("event=refused_job_accepted"));
}

// No watch reports the job in an outage, in which the store refuses its writes.
TEST_CASE("an accepted job is not refused when it is submitted again")
{
  const bool handedOn = GENERATE(true, false);
  GatewayPair pair;
  const auto submit = [&pair, handedOn](const std::string& aJob) {
    return handedOn ? pair.Submit(aJob) : pair.SubmitToOwner(aJob);
  };
  pair.store_.dropsEvents_ = true;
  REQUIRE(submit("j1")->status_ == 202);
  pair.store_.fault_ = StoreFault::Refuses;
  REQUIRE(submit("j1")->status_ == 202);
  pair.first_.peers_.cut_ = true;
  REQUIRE(submit("j1")->status_ == 202);
  pair.timers_.Advance(61s);
  REQUIRE(pair.HandOn("j1") == AcceptOutcome::Known);
  REQUIRE(submit("j2")->status_ >= 503);
}

TEST_CASE("a job that no process could write is refused")
{
  GatewayPair pair;
  pair.store_.refusals_ = 2;
  const auto reply = pair.Submit("j1");
  REQUIRE(reply->status_ == 503);
  REQUIRE(FindHeader(reply->headers_, "Retry-After").has_value());
  REQUIRE_FALSE(pair.second_.runner_.Owns(JobId{ "j1" }));
}

// The store executes the write seconds after it was given up.
TEST_CASE(
  "a job whose acceptance is executed late is not refused before it runs")
{
  GatewayPair pair;
  pair.store_.nextCommitAfter_ = 3s;
  REQUIRE(pair.SubmitToOwner("j1")->status_ == 504);
  pair.store_.fault_ = StoreFault::Refuses;
  REQUIRE(pair.SubmitToOwner("j1")->status_ == 504);
  REQUIRE(pair.Submit("j1")->status_ == 504);
  pair.store_.fault_ = StoreFault::None;
  REQUIRE_FALSE(pair.second_.runner_.Owns(JobId{ "j1" }));
  pair.timers_.Advance(4s);
  REQUIRE(pair.second_.runner_.Owns(JobId{ "j1" }));
  REQUIRE(pair.Submit("j1")->status_ == 202);
}
