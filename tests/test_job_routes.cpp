/// Jobs whose owner has no configuration, an outdated one or a newer one.
///
/// Guards against items that are listed as errored because their owner has not
/// yet read the configuration. All processes were killed 1 s after a job was
/// accepted. After the restart, its owner read jobs and upstreams first;
/// reading the configuration, of 1,400 routes, took 0.7 s longer. The owner
/// found no route in its empty table, interpreted this as the removal of the
/// route and wrote all 96 items as errored.

#include "job_fixture.hpp"

using namespace marjoramtally;
using namespace marjoramtally::test;

TEST_CASE("an owner without a configuration abandons no item")
{
  JobFixture fix(2, false);
  fix.Accept(2);
  fix.timers_.Advance(1s);
  REQUIRE(fix.Stored().empty());
  REQUIRE(fix.client_.sent_ == 0);
  REQUIRE(fix.runner_.Find(kJob)->State(0) == ItemState::Waiting);

  fix.routes_.Apply(JobFixture::Config(24));
  fix.runner_.OnUpstreamsChanged();
  for (int i = 0; i < 2; ++i) {
    fix.CompleteItem();
    fix.CompleteScore();
  }
  fix.timers_.Advance(300ms);
  REQUIRE(fix.Stored().size() == 2);
  REQUIRE(fix.Stored().front().completed_);
}

TEST_CASE("a job claimed before any configuration has the limits of its route")
{
  JobFixture fix(2, false);
  fix.Accept(1);
  constexpr std::uint32_t kAttempts = 6;
  fix.routes_.Apply(JobFixture::Config(24, kAttempts));
  fix.runner_.OnUpstreamsChanged();
  for (std::uint32_t i = 1; i < kAttempts; ++i) {
    const SentCall call = fix.Call();
    fix.client_.Answer(call, fix.Answer(call, 500, ""));
  }
  fix.timers_.Advance(1s);
  REQUIRE(fix.Stored().empty());
  const SentCall call = fix.Call();
  fix.client_.Answer(call, fix.Answer(call, 500, ""));
  fix.timers_.Advance(1s);
  REQUIRE(fix.Stored().size() == 1);
  REQUIRE_FALSE(fix.Stored().front().completed_);
}

TEST_CASE("an item's limits are those of the configuration in force")
{
  JobFixture fix;
  fix.Accept(1);
  fix.routes_.Apply(JobFixture::Config(2, 4));
  fix.runner_.OnUpstreamsChanged();
  for (int i = 0; i < 3; ++i) {
    const SentCall call = fix.Call();
    fix.client_.Answer(call, fix.Answer(call, 500, ""));
  }
  fix.timers_.Advance(1s);
  REQUIRE(fix.Stored().empty());
  REQUIRE(fix.runner_.Find(kJob)->State(0) == ItemState::Running);
}

TEST_CASE(
  "an owner whose configuration is older than its job's abandons nothing")
{
  JobFixture fix;
  fix.submission_.acceptedUnder_ = ConfigRevision{ 3 };
  RoutingConfig older = JobFixture::Config(2);
  older.routes_.clear();
  fix.routes_.Apply(older);
  fix.Accept(1);
  fix.timers_.Advance(2s);
  REQUIRE(fix.Stored().empty());
  REQUIRE(fix.runner_.Find(kJob)->State(0) == ItemState::Waiting);

  fix.routes_.Apply(JobFixture::Config(3));
  fix.runner_.OnUpstreamsChanged();
  REQUIRE(fix.runner_.Find(kJob)->State(0) == ItemState::Running);
}

TEST_CASE("a job without known limits is not abandoned when its time is over")
{
  JobFixture fix(2, false);
  fix.Accept(1);
  fix.timers_.Advance(120s);
  REQUIRE(fix.Stored().empty());
  fix.routes_.Apply(JobFixture::Config(1));
  fix.runner_.OnUpstreamsChanged();
  fix.timers_.Advance(1s);
  REQUIRE(fix.Stored().size() == 1);
}

TEST_CASE("texts of an earlier owner are kept until the limits are known")
{
  JobFixture fix(2, false);
  PartialText mixed;
  mixed.text_ = "a";
  mixed.lastEvent_ = 1;
  mixed.versions_ = { WeightVersion{ 5 }, WeightVersion{ 6 } };
  mixed.complete_ = true;
  fix.runner_.Add(kJob,
                  FencingNumber{ 9 },
                  fix.submission_,
                  JobFixture::MakeSpec(1),
                  {},
                  { { ItemId{ "item0" }, mixed } },
                  {});
  REQUIRE(fix.client_.sent_ == 0);
  RoutingConfig single = JobFixture::Config(1);
  single.routes_.front().singleVersion_ = true;
  fix.routes_.Apply(single);
  fix.runner_.OnUpstreamsChanged();
  REQUIRE(fix.Call().call_.url_ == "http://e0:1/i/0");
  REQUIRE(fix.Header(fix.Call(), fix.platform_->Names().lastEvent_).empty());
}

TEST_CASE("a job whose host includes a port uses the routes of the host")
{
  JobFixture fix;
  fix.submission_.host_ = "h:80";
  fix.Accept(1);
  REQUIRE(fix.Call().call_.url_ == "http://e0:1/i/0");
}

TEST_CASE("the configuration that accepted a job is stored with it")
{
  const JobSubmissionRecord record{
    "h", "/i/job", "{}\n\n", ConfigRevision{ 24 }
  };
  const auto read = ReadSubmissionRecord(WriteSubmissionRecord(record));
  REQUIRE(read.value().acceptedUnder_ == ConfigRevision{ 24 });
  REQUIRE(read.value().body_ == record.body_);
  // A record in the earlier format contains no revision: any configuration
  // covers the job.
  const auto earlier =
    ReadSubmissionRecord("{\"host\":\"h\",\"path\":\"/p\"}\n{}");
  REQUIRE(earlier.value().acceptedUnder_ == ConfigRevision{ 0 });
}

namespace {

/// Answers this many score calls with a failure as they are sent.
void
FailScores(JobFixture& aFix, int aCount)
{
  for (int failed = 0, looks = 0; failed < aCount; ++looks) {
    REQUIRE(looks < 1000);
    const auto score =
      std::find_if(aFix.client_.open_.begin(),
                   aFix.client_.open_.end(),
                   [](const SentCall& aCall) {
                     return aCall.call_.url_.find("/s/1") != std::string::npos;
                   });
    if (score == aFix.client_.open_.end()) {
      aFix.timers_.Advance(10ms);
      continue;
    }
    const SentCall call = *score;
    aFix.client_.Answer(call, aFix.Answer(call, 500, ""));
    ++failed;
  }
}

} // namespace

/// A missing route means that it was removed, not that limits have changed;
/// otherwise items of other routes would be abandoned too early.
TEST_CASE("the removal of a score's route lowers no limit")
{
  JobFixture fix(2, false);
  RoutingConfig config = JobFixture::Config(1);
  config.routes_.back().maxAttempts_ = 20;
  fix.routes_.Apply(config);
  fix.Accept(1);
  fix.CompleteItem();
  FailScores(fix, 5);
  config.revision_ = ConfigRevision{ 2 };
  config.routes_.pop_back();
  fix.routes_.Apply(config);
  fix.runner_.OnUpstreamsChanged();
  fix.timers_.Advance(4s);
  REQUIRE(fix.Stored().empty());
}

TEST_CASE("the limit of score calls is that of the first existing route")
{
  JobFixture fix;
  RoutingConfig config = JobFixture::Config(2);
  config.routes_.back().maxAttempts_ = 6;
  fix.routes_.Apply(config);
  JobSpec spec = JobFixture::MakeSpec(2);
  spec.items_.front().score_->path_ = "/gone/1";
  fix.runner_.Add(
    kJob, FencingNumber{ 9 }, fix.submission_, std::move(spec), {}, {}, {});
  fix.CompleteItem();
  fix.CompleteItem();
  FailScores(fix, 5);
  REQUIRE(fix.runner_.Find(kJob)->State(1) == ItemState::Scoring);
  FailScores(fix, 1);
  REQUIRE(fix.runner_.Find(kJob)->State(1) == ItemState::Finished);
}

TEST_CASE("a new configuration does not replace a text by a shorter one")
{
  JobFixture fix;
  fix.Accept(1);
  fix.Begin(fix.Call(0), Event(1, "a"));
  const JobId later{ "job2" };
  fix.runner_.Add(later,
                  FencingNumber{ 99 },
                  fix.submission_,
                  JobFixture::MakeSpec(1),
                  {},
                  {},
                  {});
  fix.Begin(fix.Call(1), Event(1, "a") + Event(2, "b") + Event(3, "c"));
  // The earlier job ends and leaves its shorter text of the same item.
  fix.runner_.End(kJob);
  fix.routes_.Apply(JobFixture::Config(2));
  fix.client_.Fail(fix.Call(0), HttpEnd::Broken);
  REQUIRE(fix.runner_.Find(later)->Text(0).lastEvent_ == 3);
}

TEST_CASE("texts of a job that ends before its limits are known are reused")
{
  JobFixture fix(2, false);
  PartialText text;
  text.text_ = "a";
  text.lastEvent_ = 1;
  text.versions_ = { WeightVersion{ 5 } };
  fix.runner_.Add(kJob,
                  FencingNumber{ 9 },
                  fix.submission_,
                  JobFixture::MakeSpec(1),
                  {},
                  { { ItemId{ "item0" }, text } },
                  {});
  fix.runner_.End(kJob);
  fix.routes_.Apply(JobFixture::Config(1));
  fix.runner_.Add(JobId{ "job2" },
                  FencingNumber{ 10 },
                  fix.submission_,
                  JobFixture::MakeSpec(1),
                  {},
                  {},
                  {});
  REQUIRE(fix.Header(fix.Call(), fix.platform_->Names().lastEvent_) == "1");
}

TEST_CASE("a complete text of an earlier owner is scored once limits are known")
{
  JobFixture fix(2, false);
  PartialText complete;
  complete.text_ = "a";
  complete.lastEvent_ = 1;
  complete.versions_ = { WeightVersion{ 5 } };
  complete.complete_ = true;
  fix.jobs_.Accept(kJob, fix.submission_, 1, [&](AcceptResult aResult) {
    fix.fence_ = aResult.fence_;
  });
  fix.timers_.Advance(10ms);
  fix.runner_.Add(kJob,
                  fix.fence_,
                  fix.submission_,
                  JobFixture::MakeSpec(1),
                  {},
                  { { ItemId{ "item0" }, complete } },
                  {});
  REQUIRE(fix.client_.sent_ == 0);
  fix.routes_.Apply(JobFixture::Config(1));
  fix.runner_.OnUpstreamsChanged();
  fix.CompleteScore();
  fix.timers_.Advance(3s);
  REQUIRE(fix.Stored().size() == 1);
  REQUIRE(fix.Stored().front().text_ == "a");
}

TEST_CASE("an item's time limit is that of its job's route")
{
  JobFixture fix(2, false);
  fix.Accept(1);
  fix.routes_.Apply(JobFixture::Config(1));
  fix.runner_.OnUpstreamsChanged();
  // 40 s of the route and 6 s for clock differences.
  REQUIRE(fix.Header(fix.Call(), fix.platform_->Names().deadline_) == "46000");
  fix.timers_.Advance(45s);
  REQUIRE(fix.Stored().empty());
  fix.timers_.Advance(3s);
  REQUIRE(fix.Stored().size() == 1);
}

TEST_CASE("an abandoned item records the configuration that was in force")
{
  JobFixture fix;
  fix.Accept(1);
  RoutingConfig without = JobFixture::Config(2);
  without.routes_.clear();
  fix.routes_.Apply(without);
  fix.client_.Fail(fix.Call(), HttpEnd::Broken);
  fix.routes_.Apply(JobFixture::Config(3));
  fix.runner_.OnUpstreamsChanged();
  const JobLedger& ledger = *fix.runner_.Find(kJob);
  REQUIRE(ledger.ErrorOf(0) == "its route was removed");
  REQUIRE(ledger.DecidedUnder(0) == ConfigRevision{ 2 });
}

TEST_CASE("items whose route was removed are abandoned")
{
  JobFixture fix;
  fix.Accept(1);
  fix.client_.Fail(fix.Call(), HttpEnd::Broken);
  RoutingConfig without = JobFixture::Config(2);
  without.routes_.clear();
  fix.routes_.Apply(without);
  fix.client_.Fail(fix.Call(), HttpEnd::Broken);
  fix.timers_.Advance(3s);
  REQUIRE(fix.Stored().size() == 1);
  REQUIRE_FALSE(fix.Stored().front().completed_);
}
