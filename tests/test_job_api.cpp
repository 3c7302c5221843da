/// The HTTP interface for jobs on fakes, and what a stopping process does with
/// its jobs.

#include "job_gateway.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const JobId kJob{ "7c41e0" };

struct Fixture : GatewayFakes
{
  RouteTable routes_;
  Forwarder forwarder_{ context_, upstreamTable_ };
  JobStore store_{ context_ };
  JobDirectory directory_{ context_, store_ };
  JobRunner runner_{ context_, routes_, upstreamTable_, forwarder_, store_ };
  JobApi jobs_{ context_, store_, directory_, runner_ };

  Fixture()
  {
    routes_.Apply(ItemRoutes());
    AddUpstream("e0", "lm", 5);
    GatewayFakes::store_.Put(job_keys::Liveness("self~1"),
                             WriteLivenessRecord({ ZoneId{ "z" }, "a:1" }));
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

  /// Stops in the same order as the gateway.
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

TEST_CASE("a stopping process finishes the jobs that it owns")
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

TEST_CASE("a stopping process accepts no jobs")
{
  Fixture fix;
  fix.Stop(8s);
  REQUIRE(fix.Submit(kJob) == 503);
  REQUIRE(fix.jobs_.Idle());
}

TEST_CASE("jobs that do not end in time are released before the forced end")
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

TEST_CASE(
  "a grace period that is too short for any job releases all jobs at once")
{
  Fixture fix;
  REQUIRE(fix.Submit(kJob) == 202);
  fix.Stop(1s);
  fix.timers_.Advance(100ms);
  REQUIRE(fix.Owner(kJob).empty());
  REQUIRE(fix.jobs_.Idle());
}

namespace {

const JobId kForeign{ "f0" };
const std::string kHead = "{\"host\":\"h\",\"path\":\"/i/f0\"}\n";

/// @returns encoded items of a submission
std::string
Items(const std::vector<std::string>& aIds)
{
  std::string items;
  for (const std::string& id : aIds) {
    items += (items.empty() ? "" : ",");
    items += R"({"id":")" + id + R"(","path":"/i/a1","headers":{"Model":"m"},)";
    items += R"("body":"aGk=","tokens":1})";
  }
  return items;
}

/// A job of two items that another process owns.
struct ForeignFixture : Fixture
{
  ForeignFixture()
  {
    Put(job_keys::Liveness("other~1"),
        WriteLivenessRecord({ ZoneId{ "z" }, "a:2" }));
    Put(job_keys::Owner(kForeign), WriteOwnerRecord({ "other~1", 2, 0 }));
    PutPart(0, kHead + R"({"model":"m","items":[)" + Items({ "a1", "a2" }));
    PutPart(1, "]}");
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    GatewayFakes::store_.Put(aKey, aValue);
    timers_.Advance(10ms);
  }

  void PutPart(int aNumber, const std::string& aText)
  {
    Put(job_keys::Submission(kForeign) + "000" + std::to_string(aNumber),
        aText);
  }

  void RemovePart(int aNumber)
  {
    GatewayFakes::store_.Remove(job_keys::Submission(kForeign) + "000" +
                                std::to_string(aNumber));
  }

  std::shared_ptr<FakeReply> Query(JobQuery::Verb aVerb,
                                   const std::string& aItem = "")
  {
    JobQuery query;
    query.job_ = kForeign;
    query.verb_ = aVerb;
    query.item_ = ItemId{ aItem };
    auto reply = std::make_shared<FakeReply>();
    jobs_.Query(query, HttpRequest{}, reply);
    timers_.Advance(50ms);
    return reply;
  }
};

} // namespace

// A request for the body of an existing item must not get 404, which trainers
// do not retry. This occurred when the process did not own the job and treated
// a submission that it could not read completely from the store as one without
// items.
TEST_CASE("an item of an unreadable submission is not answered with 404")
{
  ForeignFixture fix;
  REQUIRE(fix.Query(JobQuery::Verb::Body, "a2")->body_ == "hi");
  REQUIRE(fix.Query(JobQuery::Verb::Body, "a3")->status_ == 404);
  SECTION("its last part is missing")
  {
    fix.RemovePart(1);
  }
  SECTION("its first part is missing")
  {
    fix.RemovePart(0);
  }
  SECTION("all parts are missing")
  {
    fix.RemovePart(0);
    fix.RemovePart(1);
  }
  SECTION("the remaining parts are valid but incomplete")
  {
    fix.PutPart(0, kHead + R"({"model":"m","items":[)" + Items({ "a1" }));
  }
  SECTION("it is not a submission")
  {
    fix.PutPart(0, "none at all");
  }
  const auto reply = fix.Query(JobQuery::Verb::Body, "a2");
  REQUIRE(reply->status_ == 503);
  REQUIRE(FindHeader(reply->headers_, "Retry-After").has_value());
}

// The owner record is removed between the failed write and the read.
TEST_CASE("a job whose owner record existed is not refused")
{
  Fixture fix;
  auto& store = fix.GatewayFakes::store_;
  store.dropsEvents_ = true;
  store.Put(job_keys::Owner(kJob), WriteOwnerRecord({ "other~1", 1, 0 }));
  store.delay_ = 8ms;
  fix.timers_.After(5ms, [&] { store.Remove(job_keys::Owner(kJob)); });
  REQUIRE(fix.Submit(kJob) == 504);
}

// A refusal promises that the end was not written.
TEST_CASE("an end whose write has no answer is not refused")
{
  ForeignFixture fix;
  fix.GatewayFakes::store_.fault_ = StoreFault::LosesAnswers;
  REQUIRE(fix.Query(JobQuery::Verb::End)->status_ == 504);
  REQUIRE(fix.GatewayFakes::store_.records_.contains(job_keys::End(kForeign)));
  fix.GatewayFakes::store_.fault_ = StoreFault::None;
  REQUIRE(fix.Query(JobQuery::Verb::End)->status_ == 200);
}

TEST_CASE("an end that the store refuses is refused")
{
  ForeignFixture fix;
  fix.GatewayFakes::store_.fault_ = StoreFault::Refuses;
  const auto reply = fix.Query(JobQuery::Verb::End);
  REQUIRE(reply->status_ == 503);
  REQUIRE(FindHeader(reply->headers_, "Retry-After").has_value());
}

// A page with a total of 0 makes a trainer skip the step as empty. This
// occurred when the owner record, read from the store or received by the
// watch, was unreadable and counted as a job of 0 items.
TEST_CASE("a job whose owner record cannot be read has no total")
{
  ForeignFixture fix;
  REQUIRE(fix.Query(JobQuery::Verb::Read)->status_ == 200);
  const bool watched = GENERATE(false, true);
  fix.GatewayFakes::store_.Remove(job_keys::Owner(kForeign));
  fix.timers_.Advance(10ms);
  fix.GatewayFakes::store_.dropsEvents_ = !watched;
  fix.Put(job_keys::Owner(kForeign), "no record");
  const auto reply = fix.Query(JobQuery::Verb::Read);
  REQUIRE(reply->status_ == 503);
  REQUIRE(FindHeader(reply->headers_, "Retry-After").has_value());
  // The job exists, so it can be ended.
  REQUIRE(fix.Query(JobQuery::Verb::End)->status_ == 200);
  REQUIRE(fix.GatewayFakes::store_.records_.contains(job_keys::End(kForeign)));
}

// A read must not return an empty page for results that were read at another
// gateway. This occurred when the job's owner did not answer and a record of
// results in the store was unreadable or missing: the failed read counted as
// one without results.
TEST_CASE("results that cannot be read do not count as missing")
{
  ForeignFixture fix;
  JobResult result;
  result.id_ = ItemId{ "a1" };
  result.completed_ = true;
  const std::string record = WriteResultsRecord({ result });
  SECTION("a record is unreadable")
  {
    fix.Put(job_keys::ResultsAt(kForeign, 0), "no results");
  }
  SECTION("a record is missing before another")
  {
    fix.Put(job_keys::ResultsAt(kForeign, 1), record);
  }
  REQUIRE(fix.Query(JobQuery::Verb::Read)->status_ == 503);
  fix.Put(job_keys::ResultsAt(kForeign, 0), record);
  const auto reply = fix.Query(JobQuery::Verb::Read);
  REQUIRE(reply->status_ == 200);
  REQUIRE(reply->body_.find("a1") != std::string::npos);
}

// A job stalled permanently when its owner restarted, claimed it and read an
// unreadable or incomplete submission: the owner loaded the submission only
// once, and no other process claims the job of a live owner.
TEST_CASE("an owned job that could not be loaded is loaded again")
{
  ForeignFixture fix;
  SECTION("its last part was missing")
  {
    fix.RemovePart(1);
  }
  SECTION("the remaining parts were valid but incomplete")
  {
    fix.PutPart(0, kHead + R"({"model":"m","items":[)" + Items({ "a1" }));
  }
  fix.Put(job_keys::Owner(kForeign), WriteOwnerRecord({ "self~0", 2, 0 }));
  fix.timers_.Advance(1s);
  REQUIRE(fix.Owner(kForeign) == "self~1");
  REQUIRE_FALSE(fix.runner_.Owns(kForeign));
  fix.PutPart(0, kHead + R"({"model":"m","items":[)" + Items({ "a1", "a2" }));
  fix.PutPart(1, "]}");
  fix.timers_.Advance(6s);
  REQUIRE(fix.runner_.Owns(kForeign));
}

TEST_CASE("a submission is stored with the configuration that accepted it")
{
  Fixture fix;
  REQUIRE(fix.Submit(kJob) == 202);
  std::optional<JobSubmissionRecord> stored;
  fix.store_.LoadSubmission(
    kJob,
    [&](const Result<JobSubmissionRecord>& aRead) { stored = aRead.value(); });
  fix.timers_.Advance(20ms);
  REQUIRE(stored->acceptedUnder_ == ConfigRevision{ 1 });
}

TEST_CASE("a stopping process releases a job of unknown limits at once")
{
  Fixture fix;
  fix.store_.Accept(kJob,
                    { "h", "/i/job", "b", ConfigRevision{ 2 } },
                    1,
                    [&](const AcceptResult& aResult) {
                      JobSpec spec;
                      spec.items_.resize(1);
                      spec.items_.front().path_ = "/i/1";
                      fix.runner_.Add(
                        kJob,
                        aResult.fence_,
                        { "h", "/i/job", "b", ConfigRevision{ 2 } },
                        spec,
                        {},
                        {},
                        {});
                    });
  fix.timers_.Advance(20ms);
  fix.Stop(30s);
  static_cast<void>(fix.jobs_.Idle());
  fix.timers_.Advance(100ms);
  REQUIRE(fix.Owner(kJob).empty());
}

namespace {

/// Writes the records of an accepted job to the store.
void
PutJob(Fixture& aFix, const JobId& aJob, const std::string& aOwner)
{
  FakeStore& store = aFix.GatewayFakes::store_;
  store.Put(job_keys::Submission(aJob) + "0000",
            std::string("{\"host\":\"h\",\"path\":\"/i/job\"}\n") +
              R"({"model":"m","items":[{"id":"a1","path":"/i/a1",)" +
              R"("headers":{"Model":"m"},"body":"aGk=","tokens":1}]})");
  store.Put(job_keys::Owner(aJob), WriteOwnerRecord({ aOwner, 1, 0 }));
}

} // namespace

/// While a job was being loaded from a slow store, it changed to another owner
/// and back. The result of the load belonged to the earlier ownership and the
/// second load was rejected as already in progress, so the owner never started
/// the job.
TEST_CASE("a job that is lost and claimed again while it is loaded is started")
{
  Fixture fix;
  fix.GatewayFakes::store_.delay_ = 400ms;
  PutJob(fix, kJob, "self~1");
  fix.timers_.Advance(100ms);
  PutJob(fix, kJob, "other~1");
  fix.timers_.Advance(100ms);
  PutJob(fix, kJob, "");
  fix.timers_.Advance(450ms);
  fix.GatewayFakes::store_.delay_ = 4ms;
  fix.timers_.Advance(60s);
  REQUIRE(fix.Owner(kJob) == "self~1");
  REQUIRE(fix.runner_.Owns(kJob));
}

TEST_CASE("a job that is being loaded when the process stops is released")
{
  Fixture fix;
  REQUIRE(fix.Submit(JobId{ "open" }) == 202);
  fix.GatewayFakes::store_.delay_ = 100ms;
  PutJob(fix, kJob, "self~1");
  fix.timers_.Advance(150ms);
  fix.Stop(30s);
  fix.GatewayFakes::store_.delay_ = 4ms;
  fix.timers_.Advance(2s);
  REQUIRE_FALSE(fix.jobs_.Idle());
  REQUIRE(fix.Owner(kJob).empty());
}

TEST_CASE("an owned job with a missing record of results waits for it")
{
  ForeignFixture fix;
  JobResult result;
  result.id_ = ItemId{ "a2" };
  fix.Put(job_keys::ResultsAt(kForeign, 1), WriteResultsRecord({ result }));
  fix.Put(job_keys::Owner(kForeign), WriteOwnerRecord({ "self~0", 2, 0 }));
  fix.timers_.Advance(1s);
  REQUIRE(fix.Owner(kForeign) == "self~1");
  REQUIRE_FALSE(fix.runner_.Owns(kForeign));
  result.id_ = ItemId{ "a1" };
  fix.Put(job_keys::ResultsAt(kForeign, 0), WriteResultsRecord({ result }));
  fix.timers_.Advance(3s);
  REQUIRE(fix.runner_.Owns(kForeign));
}

// A result that is read at one gateway must not be missing at another. A
// possible cause: a process that is disconnected from the store receives the
// answer to its acceptance after the job has changed its owner or ended, and
// no further notification of either follows.
TEST_CASE("a late confirmation of an acceptance does not start the job")
{
  Fixture fix;
  FakeStore& store = fix.GatewayFakes::store_;
  // Watch events arrive before the answer to the write.
  store.delay_ = 500ms;
  fix.Submit(kJob);
  REQUIRE(fix.Owner(kJob) == "self~1");
  SECTION("another process has taken the job over")
  {
    store.Put(job_keys::Liveness("other~1"),
              WriteLivenessRecord({ ZoneId{ "z" }, "a:2" }));
    store.Put(job_keys::Owner(kJob), WriteOwnerRecord({ "other~1", 1, 0 }));
  }
  SECTION("it was ended")
  {
    store.Put(job_keys::End(kJob), "");
  }
  fix.timers_.Advance(3s);
  REQUIRE_FALSE(fix.runner_.Owns(kJob));
  REQUIRE(fix.client_.sent_ == 0);
}

// Job ages were computed from the system clock while tests pause all other
// clocks, so a test could fail on a loaded machine: the real time that passed
// between two steps was added to the job's age.
TEST_CASE("the age of a job is measured by the clock that tests pause")
{
  Fixture fix;
  FakeStore& store = fix.GatewayFakes::store_;
  const std::int64_t before = fix.context_.WallMillis();
  REQUIRE(fix.Submit(kJob) == 202);
  const JobOwnerRecord accepted =
    ReadOwnerRecord(store.records_.at(job_keys::Owner(kJob)).value_).value();
  REQUIRE(accepted.acceptedMillis_ >= before);
  REQUIRE(accepted.acceptedMillis_ <= fix.context_.WallMillis());
  // Releasing the job does not change its age.
  fix.timers_.Advance(5s);
  fix.Stop(1s);
  fix.timers_.Advance(100ms);
  const JobOwnerRecord back =
    ReadOwnerRecord(store.records_.at(job_keys::Owner(kJob)).value_).value();
  REQUIRE(back.owner_.empty());
  REQUIRE(std::abs(back.acceptedMillis_ - accepted.acceptedMillis_) <= 10);
}
