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

/// A job of another process, whose sign of life stands.
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

TEST_CASE("a submission is accepted once, also if its answer is lost")
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
  // The read that settles it met the fault too: not known, and not refused.
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

TEST_CASE("a submission of several parts comes back whole")
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

TEST_CASE("the directory tells of owners and ends, and claims orphans")
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

TEST_CASE("a claim takes effect with its answer, before a watch tells of it")
{
  DirectoryFixture fix;
  fix.store_.Remove(job_keys::Liveness("other~1"));
  fix.store_.deaf_ = true;
  fix.timers_.Advance(3s);
  REQUIRE(fix.owners_.size() == 2);
  REQUIRE(fix.owners_.back() == "self~1");
}

TEST_CASE("a claim is not repeated while its answer is awaited")
{
  DirectoryFixture fix;
  fix.store_.Remove(job_keys::Liveness("other~1"));
  fix.store_.fault_ = StoreFault::Silent;
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

// A trainer ended its job and read its results for the last time half a minute
// later: 404, though results are kept for longer. The order: the job's owner
// record was written in a form that a gateway could not read, the job was
// ended, and that gateway looked for old jobs. Cause: it listed the job with an
// empty record, by which the job was accepted in 1970.
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
  // It is listed once it can be read.
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

// A trainer read each result behind a certain one at a position too early, and
// one result never. The order: a record of results in the middle was missing
// when another process took the job over. Cause: the records were strung
// together without a look at the positions in their keys.
TEST_CASE("a job is not loaded without one of its records of results")
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

// The next owner of a job made texts anew that the store held. The order: a job
// whose name begins with this job's name had texts in progress too. Cause: the
// record is read by prefix, and the last record that came was taken.
TEST_CASE("a job is loaded with its own texts in progress")
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

/// An ended job of this process whose records take two transactions to remove.
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

// Results of jobs that nobody knows filled the store, and no log line before of
// them. The order: the first transaction of a job's removal was refused, the
// one that removes its owner record was not. Cause: all were sent at once, and
// nobody looked at their ends.
TEST_CASE("a removal that failed half way is told, and tried again")
{
  RemovalFixture fix;
  const LogCapture log;
  // The other job that the fixture lists is claimed long before.
  fix.timers_.Advance(25s);
  fix.store_.refusals_ = 1;
  fix.timers_.Advance(6s);
  REQUIRE(fix.store_.refusals_ == 0);
  REQUIRE(fix.store_.records_.contains(job_keys::Owner(fix.job_)));
  REQUIRE(fix.store_.records_.contains(job_keys::End(fix.job_)));
  REQUIRE(log.Tells("event=job_removal_failed job=old"));
  fix.timers_.Advance(30s);
  REQUIRE(fix.CountRecords() == 0);
  REQUIRE_FALSE(fix.store_.records_.contains(job_keys::Owner(fix.job_)));
  REQUIRE_FALSE(fix.store_.records_.contains(job_keys::End(fix.job_)));
}

TEST_CASE("a removal whose first reading failed is told")
{
  RemovalFixture fix;
  const LogCapture log;
  fix.timers_.Advance(25s);
  fix.store_.fault_ = StoreFault::Refuses;
  fix.timers_.Advance(6s);
  REQUIRE(log.Tells("event=job_removal_failed job=old"));
  REQUIRE(fix.CountRecords() == RemovalFixture::kItems);
}

// A trainer read a page for a job that had been removed, where 404 is right,
// and the removal was repeated every half minute. The order: a gateway lost its
// place in the watch, and the job was removed before it read all again. Cause:
// a whole reading before only of what is there.
TEST_CASE("a job that a whole reading lacks is not listed any more")
{
  DirectoryFixture fix;
  fix.store_.deaf_ = true;
  fix.store_.Remove(job_keys::Owner(kJob));
  fix.store_.TellBatch(job_keys::kControl, { true, false, 0, {} });
  fix.timers_.Advance(10ms);
  REQUIRE(fix.directory_.Find(kJob) == nullptr);
  // Nobody claims it either.
  fix.store_.deaf_ = false;
  fix.store_.Remove(job_keys::Liveness("other~1"));
  fix.timers_.Advance(5s);
  REQUIRE(fix.store_.commits_ == 0);
}

TEST_CASE("a job that was accepted after a whole reading stays listed")
{
  DirectoryFixture fix;
  const JobId later{ "later" };
  fix.store_.TellBatch(job_keys::kControl, { true, false, 0, {} });
  // The reading has begun, and its answer is on its way.
  fix.store_.Put(job_keys::Owner(later), WriteOwnerRecord({ "other~1", 3, 0 }));
  fix.timers_.Advance(1ms);
  REQUIRE(fix.directory_.Find(later) != nullptr);
  fix.timers_.Advance(10ms);
  REQUIRE(fix.directory_.Find(later) != nullptr);
  REQUIRE(fix.directory_.Find(kJob) != nullptr);
}

// A trainer that read an ended job again found no result at a position that it
// had read. The order, as the code allows it: its first owner was cut off,
// another process took it over and finished it, the trainer ended it, and the
// first owner came back after the store had forgotten its history, so that it
// read all records at once. Cause: in a whole reading a job's end comes before
// its owner, and of a job that had ended no owner was before any more; so the
// first one went on to answer from the part that it had listed, for a minute.
TEST_CASE("the former owner of an ended job is told of the later one")
{
  DirectoryFixture fix;
  fix.store_.Put(job_keys::Owner(kJob), WriteOwnerRecord({ "self~1", 3, 0 }));
  REQUIRE(fix.owners_.back() == "self~1");
  fix.store_.deaf_ = true;
  fix.store_.Put(job_keys::Owner(kJob), WriteOwnerRecord({ "other~1", 3, 0 }));
  fix.store_.Put(job_keys::End(kJob), "");
  fix.store_.TellBatch(job_keys::kControl, { true, false, 0, {} });
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
