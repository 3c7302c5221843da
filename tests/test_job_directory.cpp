/// Jobs in the store as every process sees them: submissions, owners, claims,
/// removal.

#include "gateway_fixture.hpp"
#include "log_capture.hpp"
#include "programs/gatewayd/job_directory.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const JobId kJob{ "job" };

struct Fixture : GatewayFakes
{
  JobStore jobs_{ context_ };
};

/// A job of another process, whose liveness record exists.
struct DirectoryFixture : Fixture
{
  JobDirectory directory_{ context_, jobs_ };
  std::vector<std::string> owners_;
  std::vector<std::string> ends_;

  DirectoryFixture()
  {
    directory_.onOwner_ = [&](const JobId&, const KnownJob& aKnown) {
      owners_.push_back(aKnown.record_.owner_);
    };
    directory_.onEnd_ = [&](const JobId& aJob) { ends_.push_back(aJob.Get()); };
    const std::string life = WriteLivenessRecord({ ZoneId{ "z" }, "a:1" });
    store_.Put(job_keys::Liveness("self~1"), life);
    store_.Put(job_keys::Liveness("other~1"), life);
    store_.Put(job_keys::Owner(kJob), WriteOwnerRecord({ "other~1", 3, 0 }));
    directory_.Start();
    timers_.Advance(10ms);
  }
};

} // namespace

TEST_CASE("a submission is accepted once, even if the answer is lost")
{
  Fixture fix;
  fix.store_.fault_ = StoreFault::LosesAnswers;
  std::optional<AcceptResult> first;
  fix.jobs_.Accept(kJob, { "h", "/i/job", "b" }, 1, [&](AcceptResult aResult) {
    first = aResult;
  });
  fix.timers_.Advance(5ms);
  fix.store_.fault_ = StoreFault::None;
  fix.timers_.Advance(50ms);
  // The read that checks the outcome fails too: the outcome is unknown, not
  // refused.
  REQUIRE(first.has_value());
  REQUIRE(first->outcome_ != AcceptOutcome::Refused);
  std::optional<AcceptResult> second;
  fix.jobs_.Accept(kJob, { "h", "/i/job", "b" }, 1, [&](AcceptResult aResult) {
    second = aResult;
  });
  fix.timers_.Advance(50ms);
  REQUIRE(second->outcome_ != AcceptOutcome::Refused);
  REQUIRE(second->outcome_ != AcceptOutcome::Unknown);
}

TEST_CASE("a submission of several parts is read back completely")
{
  Fixture fix;
  const std::string body(2'000'000, 'x');
  fix.jobs_.Accept(
    kJob, { "h", "/i/job", body }, 1, [](const AcceptResult&) {});
  std::optional<JobSubmissionRecord> back;
  fix.timers_.Advance(10ms);
  fix.jobs_.LoadSubmission(kJob, [&](const Result<JobSubmissionRecord>& aBack) {
    back = aBack.value();
  });
  fix.timers_.Advance(10ms);
  REQUIRE(back->body_ == body);
}

TEST_CASE("the directory reports owners and ends, and claims orphaned jobs")
{
  DirectoryFixture fix;
  REQUIRE(fix.owners_ == std::vector<std::string>{ "other~1" });
  REQUIRE(fix.directory_.AddressOf("other~1") == "a:1");
  fix.store_.Remove(job_keys::Liveness("other~1"));
  fix.timers_.Advance(1s);
  REQUIRE(fix.owners_.size() == 1);
  fix.timers_.Advance(2s);
  REQUIRE(fix.owners_.back() == "self~1");
  fix.store_.Put(job_keys::End(kJob), "");
  REQUIRE(fix.ends_ == std::vector<std::string>{ kJob.Get() });
}

TEST_CASE("a claim takes effect with its answer, before the watch reports it")
{
  DirectoryFixture fix;
  fix.store_.Remove(job_keys::Liveness("other~1"));
  fix.store_.dropsEvents_ = true;
  fix.timers_.Advance(3s);
  REQUIRE(fix.owners_.size() == 2);
  REQUIRE(fix.owners_.back() == "self~1");
}

TEST_CASE("a claim is not repeated while it is in progress")
{
  DirectoryFixture fix;
  fix.store_.Remove(job_keys::Liveness("other~1"));
  fix.store_.fault_ = StoreFault::Unresponsive;
  fix.store_.delay_ = 2s;
  fix.timers_.Advance(3s);
  REQUIRE(fix.store_.commits_ == 1);
  fix.store_.fault_ = StoreFault::None;
  fix.store_.delay_ = 4ms;
  fix.timers_.Advance(5s);
  REQUIRE(fix.owners_.back() == "self~1");
}

TEST_CASE("ended jobs are removed once their results need not be kept")
{
  GatewayFakes fakes;
  JobStore jobs(fakes.context_);
  JobDirectory directory(fakes.context_, jobs);
  const JobId fresh{ "fresh" };
  const JobId open{ "open" };
  const std::int64_t now = fakes.context_.WallMillis();
  fakes.store_.Put(job_keys::Liveness("self~1"),
                   WriteLivenessRecord({ ZoneId{ "z" }, "a:1" }));
  for (const auto& [job, accepted] : { std::pair{ kJob, std::int64_t{ 0 } },
                                       std::pair{ fresh, now },
                                       std::pair{ open, std::int64_t{ 0 } } }) {
    fakes.store_.Put(job_keys::Owner(job),
                     WriteOwnerRecord({ "self~1", 2, accepted }));
    fakes.store_.Put(job_keys::ResultsAt(job, 0), "[]");
    fakes.store_.Put(job_keys::Submission(job) + "0000", "x");
  }
  directory.Start();
  fakes.timers_.Advance(10ms);
  fakes.store_.Put(job_keys::End(kJob), "");
  fakes.store_.Put(job_keys::End(fresh), "");
  fakes.timers_.Advance(31s);
  REQUIRE(directory.Find(kJob) == nullptr);
  REQUIRE_FALSE(fakes.store_.records_.contains(job_keys::ResultsAt(kJob, 0)));
  REQUIRE_FALSE(
    fakes.store_.records_.contains(job_keys::Submission(kJob) + "0000"));
  REQUIRE(fakes.store_.records_.contains(job_keys::ResultsAt(fresh, 0)));
  REQUIRE(fakes.store_.records_.contains(job_keys::ResultsAt(open, 0)));
}

// A trainer that read an ended job half a minute later got 404, although
// results are kept for longer. A gateway that could not read the job's owner
// record listed the job with an empty record, which dates the acceptance to
// 1970, and removed it.
TEST_CASE("an ended job whose owner record cannot be read is not removed")
{
  DirectoryFixture fix;
  const JobId job{ "unreadable" };
  fix.store_.Put(job_keys::Owner(job), R"({"owner":"other~1"})");
  fix.store_.Put(job_keys::Submission(job) + "0000", "x");
  fix.store_.Put(job_keys::End(job), "");
  fix.store_.Remove(job_keys::Liveness("other~1"));
  fix.timers_.Advance(31s);
  REQUIRE(fix.store_.records_.contains(job_keys::Owner(job)));
  REQUIRE(fix.store_.records_.contains(job_keys::Submission(job) + "0000"));
  // The job is listed once its record is readable.
  REQUIRE(fix.directory_.Find(job) == nullptr);
  fix.store_.Put(job_keys::Owner(job), WriteOwnerRecord({ "other~1", 3, 0 }));
  REQUIRE(fix.directory_.Find(job)->ended_);
}

namespace {

JobResult
ResultOf(const std::string& aItem)
{
  JobResult result;
  result.id_ = ItemId{ aItem };
  return result;
}

} // namespace

// Results were read at wrong positions, and one never, when another process
// took a job over whose records of results had a gap: the records were joined
// without checking the positions in their keys.
TEST_CASE("a job with a missing record of results is not loaded")
{
  Fixture fix;
  fix.jobs_.Accept(kJob, { "h", "/i/job", "b" }, 4, [](const AcceptResult&) {});
  fix.store_.Put(job_keys::ResultsAt(kJob, 0),
                 WriteResultsRecord({ ResultOf("a"), ResultOf("b") }));
  fix.store_.Put(job_keys::ResultsAt(kJob, 3),
                 WriteResultsRecord({ ResultOf("d") }));
  const auto load = [&fix] {
    std::optional<Result<StoredJob>> loaded;
    fix.jobs_.Load(kJob,
                   [&loaded](const Result<StoredJob>& aJob) { loaded = aJob; });
    fix.timers_.Advance(50ms);
    REQUIRE(loaded);
    return *loaded;
  };
  const auto gap = load();
  REQUIRE_FALSE(gap);
  REQUIRE(gap.error().message_.find(job_keys::ResultsAt(kJob, 2)) !=
          std::string::npos);
  fix.store_.Put(job_keys::ResultsAt(kJob, 2),
                 WriteResultsRecord({ ResultOf("c") }));
  const auto complete = load();
  REQUIRE(complete);
  REQUIRE(complete.value().results_.size() == 4);
}

// Partial texts were generated again by the next owner although they were
// stored: the record is read by prefix, and the record of another job whose id
// begins with this job's id replaced it.
TEST_CASE("a job is loaded with its own partial texts")
{
  Fixture fix;
  const JobId longer{ kJob.Get() + "0" };
  fix.jobs_.Accept(kJob, { "h", "/i/job", "b" }, 1, [](const AcceptResult&) {});
  for (const JobId& job : { kJob, longer }) {
    PartialRecord partial;
    partial.item_ = ItemId{ "of " + job.Get() };
    fix.store_.Put(job_keys::Partials(job), WritePartialRecords({ partial }));
  }
  std::vector<PartialRecord> texts;
  fix.jobs_.Load(kJob, [&texts](const Result<StoredJob>& aJob) {
    texts = aJob.value().partials_;
  });
  fix.timers_.Advance(50ms);
  REQUIRE(texts.size() == 1);
  REQUIRE(texts.front().item_ == ItemId{ "of " + kJob.Get() });
}

namespace {

/// An ended job whose records take two transactions to remove.
struct RemovalFixture : DirectoryFixture
{
  static constexpr std::uint64_t kItems = 40;
  const JobId job_{ "old" };

  RemovalFixture()
  {
    store_.Put(job_keys::Owner(job_), WriteOwnerRecord({ "a~1", kItems, 0 }));
    for (std::uint64_t i = 0; i < kItems; ++i) {
      store_.Put(job_keys::ResultsAt(job_, i), "[]");
    }
    store_.Put(job_keys::End(job_), "");
    store_.Remove(job_keys::Liveness("other~1"));
  }

  std::size_t CountRecords()
  {
    return static_cast<std::size_t>(std::count_if(
      store_.records_.begin(), store_.records_.end(), [this](auto& aRecord) {
        return aRecord.first.starts_with(job_keys::Results(job_));
      }));
  }
};

} // namespace

// Results of unlisted jobs filled the store without a log line. The
// transactions of a removal were sent all at once without checking their
// outcomes, so the owner record was removed although the first transaction had
// been refused.
TEST_CASE("a removal that failed halfway is logged and retried")
{
  RemovalFixture fix;
  const LogCapture log;
  // The fixture's other job has been claimed long before.
  fix.timers_.Advance(25s);
  fix.store_.refusals_ = 1;
  fix.timers_.Advance(6s);
  REQUIRE(fix.store_.refusals_ == 0);
  REQUIRE(fix.store_.records_.contains(job_keys::Owner(fix.job_)));
  REQUIRE(fix.store_.records_.contains(job_keys::End(fix.job_)));
  REQUIRE(log.Contains("event=job_removal_failed job=old"));
  fix.timers_.Advance(30s);
  REQUIRE(fix.CountRecords() == 0);
  REQUIRE_FALSE(fix.store_.records_.contains(job_keys::Owner(fix.job_)));
  REQUIRE_FALSE(fix.store_.records_.contains(job_keys::End(fix.job_)));
}

TEST_CASE("a removal whose first read failed is logged")
{
  RemovalFixture fix;
  const LogCapture log;
  fix.timers_.Advance(25s);
  fix.store_.fault_ = StoreFault::Refuses;
  fix.timers_.Advance(6s);
  REQUIRE(log.Contains("event=job_removal_failed job=old"));
  REQUIRE(fix.CountRecords() == RemovalFixture::kItems);
}

// A removed job was answered with a page instead of 404, and its removal was
// repeated every half minute: a gateway lost its watch position, the job was
// removed before the complete read that followed, and that read did not remove
// unlisted jobs.
TEST_CASE("a job that is missing from a complete read is no longer listed")
{
  DirectoryFixture fix;
  fix.store_.dropsEvents_ = true;
  fix.store_.Remove(job_keys::Owner(kJob));
  fix.store_.SendBatch(job_keys::kControl, { true, false, 0, {} });
  fix.timers_.Advance(10ms);
  REQUIRE(fix.directory_.Find(kJob) == nullptr);
  // It is not claimed either.
  fix.store_.dropsEvents_ = false;
  fix.store_.Remove(job_keys::Liveness("other~1"));
  fix.timers_.Advance(5s);
  REQUIRE(fix.store_.commits_ == 0);
}

TEST_CASE("a job that was accepted after a complete read stays listed")
{
  DirectoryFixture fix;
  const JobId later{ "later" };
  fix.store_.SendBatch(job_keys::kControl, { true, false, 0, {} });
  // The read is in progress.
  fix.store_.Put(job_keys::Owner(later), WriteOwnerRecord({ "other~1", 3, 0 }));
  fix.timers_.Advance(1ms);
  REQUIRE(fix.directory_.Find(later) != nullptr);
  fix.timers_.Advance(10ms);
  REQUIRE(fix.directory_.Find(later) != nullptr);
  REQUIRE(fix.directory_.Find(kJob) != nullptr);
}

// A read of an ended job missed a result that had been read before. The first
// owner was disconnected, another process took the job over and finished it,
// and the trainer ended it. When the first owner reconnected, it read all
// records instead of events, because the store no longer had these. In a
// complete read the end comes before the owner record, and changes of owner
// were not reported for ended jobs, so the first owner answered from its
// outdated ledger for a minute.
TEST_CASE("the former owner of an ended job is notified of the later one")
{
  DirectoryFixture fix;
  fix.store_.Put(job_keys::Owner(kJob), WriteOwnerRecord({ "self~1", 3, 0 }));
  REQUIRE(fix.owners_.back() == "self~1");
  fix.store_.dropsEvents_ = true;
  fix.store_.Put(job_keys::Owner(kJob), WriteOwnerRecord({ "other~1", 3, 0 }));
  fix.store_.Put(job_keys::End(kJob), "");
  fix.store_.SendBatch(job_keys::kControl, { true, false, 0, {} });
  fix.timers_.Advance(10ms);
  REQUIRE(fix.ends_ == std::vector<std::string>{ kJob.Get() });
  REQUIRE(fix.owners_.back() == "other~1");
}

TEST_CASE("an ended job is not loaded by the owner that its record names")
{
  DirectoryFixture fix;
  const auto before = fix.owners_;
  fix.store_.Put(job_keys::End(kJob), "");
  fix.store_.Put(job_keys::Owner(kJob), WriteOwnerRecord({ "self~1", 3, 0 }));
  REQUIRE(fix.owners_ == before);
}
