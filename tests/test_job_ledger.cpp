/// Tests of the job ledger: texts, versions, scores and positions of results.

#include "marjoramtally/version.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };

JobItem
MakeItem(const std::string& aId, const std::string& aGroup)
{
  JobItem item;
  item.id_ = ItemId{ aId };
  item.group_ = GroupId{ aGroup };
  item.score_ = ScoreCall{ RequestId{ "s-" + aId }, "h", "/score", "x" };
  return item;
}

/// Two groups of two items; versions 5 and later are allowed.
JobSpec
MakeSpec()
{
  JobSpec spec;
  spec.model_ = "m";
  spec.minVersion_ = WeightVersion{ 5 };
  spec.items_ = { MakeItem("a", "g"),
                  MakeItem("b", "g"),
                  MakeItem("c", "h"),
                  MakeItem("d", "h") };
  return spec;
}

JobLedger
MakeLedger(JobPolicy aPolicy = {})
{
  return JobLedger(MakeSpec(), aPolicy, kStart);
}

ServerEvent
MakeEvent(std::uint64_t aId)
{
  return { aId, "t" + std::to_string(aId), std::nullopt };
}

bool
Take(JobLedger& aLedger,
     ItemIndex aItem,
     std::uint64_t aEvent,
     std::uint64_t aVersion = 5)
{
  return aLedger.OnEvent(aItem, MakeEvent(aEvent), WeightVersion{ aVersion })
    .has_value();
}

void
Complete(JobLedger& aLedger, ItemIndex aItem, TimePoint aNow)
{
  aLedger.OnStarted(aItem);
  REQUIRE(Take(aLedger, aItem, 1));
  aLedger.OnCompleted(aItem, aNow);
  aLedger.OnScored(aItem, "sig", aNow);
}

/// Feeds all events of a run and a score to an item.
void
FeedLateEvents(JobLedger& aLedger, ItemIndex aItem, TimePoint aNow)
{
  aLedger.OnStarted(aItem);
  REQUIRE_FALSE(Take(aLedger, aItem, aLedger.Text(aItem).lastEvent_ + 1));
  aLedger.OnInterrupted(aItem);
  aLedger.OnEmptyContinuation(aItem, aNow);
  aLedger.OnEmptyContinuation(aItem, aNow);
  for (std::uint32_t i = 0; i < JobPolicy{}.maxAttempts_; ++i) {
    aLedger.OnRunFailed(aItem, aNow);
  }
  aLedger.OnPermanentFailure(aItem, aNow);
  aLedger.OnRouteRemoved(aItem, aNow);
  aLedger.OnCompleted(aItem, aNow);
  aLedger.OnScoreRequested(aItem);
  aLedger.OnScored(aItem, "late", aNow);
  aLedger.OnScoreFailed(aItem, JobPolicy{}.maxScoreFailures_, aNow);
  aLedger.AbandonOverdue(aNow + JobPolicy{}.maxQueue_);
}

} // namespace

TEST_CASE("an item's text joins its events in order and lists their versions")
{
  JobLedger ledger = MakeLedger();
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 1, 5));
  REQUIRE(Take(ledger, 0, 2, 6));
  REQUIRE(Take(ledger, 0, 3, 6));
  ledger.OnCompleted(0, kStart);
  REQUIRE(ledger.Unscored() == std::vector<ItemIndex>{ 0 });
  ledger.OnScored(0, "sig", kStart);
  const JobResult result = ledger.ResultOf(0);
  REQUIRE(result.completed_);
  REQUIRE(result.text_ == "t1\nt2\nt3");
  REQUIRE(result.versions_ ==
          std::vector{ WeightVersion{ 5 }, WeightVersion{ 6 } });
  REQUIRE(result.score_ == "sig");
}

TEST_CASE("an event out of sequence ends the run")
{
  JobLedger ledger = MakeLedger();
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 1));
  REQUIRE_FALSE(Take(ledger, 0, 1));
  REQUIRE_FALSE(Take(ledger, 0, 3));
  REQUIRE_FALSE(
    ledger.OnEvent(0, { std::nullopt, "x", {} }, WeightVersion{ 5 }));
  ledger.OnInterrupted(0);
  // The text so far is kept, and the next run resumes after it.
  REQUIRE(ledger.Text(0).lastEvent_ == 1);
  REQUIRE(ledger.Waiting(kStart).front() == 0);
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 2));
}

TEST_CASE("an event of a version below the minimum discards the text")
{
  JobLedger ledger = MakeLedger();
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 1, 5));
  REQUIRE_FALSE(Take(ledger, 0, 2, 4));
  REQUIRE(ledger.Text(0).lastEvent_ == 0);
  REQUIRE(ledger.Text(0).text_.empty());
}

TEST_CASE("in single-version jobs a second version discards the text")
{
  JobPolicy policy;
  policy.singleVersion_ = true;
  JobLedger ledger = MakeLedger(policy);
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 1, 5));
  REQUIRE_FALSE(Take(ledger, 0, 2, 6));
  REQUIRE(ledger.Text(0).lastEvent_ == 0);
}

// Guards against a result of two versions on a route that wants one: the
// versions were compared only as events came in.
TEST_CASE("a text of two versions is discarded when its route wants one")
{
  const ItemState state = GENERATE(ItemState::Waiting,
                                   ItemState::Running,
                                   ItemState::Scoring,
                                   ItemState::Finished);
  JobLedger ledger = MakeLedger();
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 1, 5));
  REQUIRE(Take(ledger, 0, 2, 6));
  if (state == ItemState::Waiting) {
    ledger.OnInterrupted(0);
  } else if (state != ItemState::Running) {
    ledger.OnCompleted(0, kStart);
    ledger.OnScoreRequested(0);
    if (state == ItemState::Finished) {
      ledger.OnScored(0, "old", kStart);
    }
  }
  REQUIRE(ledger.State(0) == state);
  Complete(ledger, 1, kStart);
  JobPolicy policy;
  policy.singleVersion_ = true;
  REQUIRE(ledger.SetPolicy(policy) == std::vector<ItemIndex>{ 0 });
  REQUIRE(ledger.State(0) == ItemState::Waiting);
  REQUIRE(ledger.Text(0).lastEvent_ == 0);
  REQUIRE(ledger.Text(0).text_.empty());
  REQUIRE(ledger.Finished() == std::vector<ItemIndex>{ 1 });
  // Its group is not complete any more.
  REQUIRE(ledger.Listable(kStart).empty());
  // Neither an answer to the earlier score call nor an end without events
  // completes the new text.
  ledger.OnScored(0, "old", kStart);
  ledger.OnEmptyContinuation(0, kStart);
  ledger.OnEmptyContinuation(0, kStart);
  REQUIRE(ledger.State(0) == ItemState::Waiting);
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 1, 6));
  ledger.OnCompleted(0, kStart + 1s);
  REQUIRE(ledger.Unscored() == std::vector<ItemIndex>{ 0 });
  ledger.OnScored(0, "new", kStart + 1s);
  REQUIRE(ledger.ResultOf(0).versions_ == std::vector{ WeightVersion{ 6 } });
  REQUIRE(ledger.ResultOf(0).text_ == "t1");
  REQUIRE(ledger.ResultOf(0).score_ == "new");
  REQUIRE(ledger.Listable(kStart + 1s) == std::vector<ItemIndex>{ 0, 1 });
}

// Guards against a result that changes after it was read: a write whose answer
// is pending may have been applied.
TEST_CASE("a result handed to the store or errored stays under new limits")
{
  const bool errored = GENERATE(false, true);
  JobLedger ledger = MakeLedger();
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 1, 5));
  REQUIRE(Take(ledger, 0, 2, 6));
  if (errored) {
    ledger.OnPermanentFailure(0, kStart);
  } else {
    ledger.OnCompleted(0, kStart);
    ledger.OnScored(0, "sig", kStart);
    ledger.OnListing({ 0 });
  }
  const ItemState state = ledger.State(0);
  JobPolicy policy;
  policy.singleVersion_ = true;
  REQUIRE(ledger.SetPolicy(policy).empty());
  FeedLateEvents(ledger, 0, kStart + 1s);
  REQUIRE(ledger.State(0) == state);
  REQUIRE(ledger.ResultOf(0).completed_ == !errored);
  REQUIRE(ledger.ResultOf(0).text_ == (errored ? "" : "t1\nt2"));
}

TEST_CASE("an item is abandoned after failed runs, not after interrupted ones")
{
  JobLedger ledger = MakeLedger();
  for (int i = 0; i < 20; ++i) {
    ledger.OnStarted(0);
    ledger.OnInterrupted(0);
  }
  REQUIRE(ledger.State(0) == ItemState::Waiting);
  for (std::uint32_t i = 0; i < JobPolicy{}.maxAttempts_; ++i) {
    REQUIRE(ledger.State(0) == ItemState::Waiting);
    ledger.OnStarted(0);
    ledger.OnRunFailed(0, kStart);
  }
  REQUIRE(ledger.State(0) == ItemState::Finished);
  REQUIRE_FALSE(ledger.ResultOf(0).completed_);
  REQUIRE(ledger.ResultOf(0).text_.empty());
}

TEST_CASE("a text without its score is not listed as completed")
{
  JobLedger ledger = MakeLedger();
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 1));
  ledger.OnCompleted(0, kStart);
  ledger.OnScoreRequested(0);
  REQUIRE(ledger.Unscored().empty());
  ledger.OnScoreFailed(0, 0, kStart);
  REQUIRE(ledger.Unscored() == std::vector<ItemIndex>{ 0 });
  REQUIRE(ledger.Listable(kStart + 60s).empty());
  ledger.OnScoreFailed(0, 3, kStart);
  REQUIRE(ledger.ScoreAttemptsLeft(0) == 1);
  ledger.OnScoreFailed(0, 1, kStart);
  REQUIRE(ledger.State(0) == ItemState::Finished);
  REQUIRE_FALSE(ledger.ResultOf(0).completed_);
}

TEST_CASE("results wait for their group up to a limit")
{
  JobLedger ledger = MakeLedger();
  Complete(ledger, 0, kStart);
  REQUIRE(ledger.Listable(kStart).empty());
  Complete(ledger, 2, kStart + 1s);
  Complete(ledger, 1, kStart + 1s);
  REQUIRE(ledger.Listable(kStart + 1s) == std::vector<ItemIndex>{ 0, 1 });
  REQUIRE(ledger.Listable(kStart + 3s) == std::vector<ItemIndex>{ 0, 1, 2 });
}

TEST_CASE("results wait for the target number of groups")
{
  JobSpec spec = MakeSpec();
  spec.items_.push_back(MakeItem("e", "i"));
  spec.targetGroups_ = 2;
  JobLedger ledger(std::move(spec), {}, kStart);
  Complete(ledger, 0, kStart);
  Complete(ledger, 1, kStart);
  REQUIRE_FALSE(ledger.EnoughGroups());
  REQUIRE(ledger.Listable(kStart).empty());
  REQUIRE(ledger.NextDue() == kStart + JobPolicy{}.groupWait_);
  REQUIRE(ledger.Listable(ledger.NextDue()).size() == 2);
  Complete(ledger, 4, kStart + 1s);
  REQUIRE(ledger.EnoughGroups());
  REQUIRE(ledger.Listable(kStart + 1s) == std::vector<ItemIndex>{ 0, 1, 4 });
  ledger.OnListed({ 0, 1, 4 });
  Complete(ledger, 2, kStart + 1s);
  REQUIRE(ledger.Listable(kStart + 1s).empty());
  Complete(ledger, 3, kStart + 1s);
  REQUIRE(ledger.Listable(kStart + 1s) == std::vector<ItemIndex>{ 2, 3 });
}

// A trainer reads about twice a second and holds each read open for one second.
// If each result of the last second is written at once, every write ends a
// read, and the trainer is pausing when its last group becomes available: 0.3 s
// on average.
TEST_CASE("close to the deadline results wait for the trainer's last group")
{
  JobPolicy policy;
  policy.runDeadline_ = 8s;
  JobSpec spec = MakeSpec();
  spec.targetGroups_ = 2;
  JobLedger ledger(std::move(spec), policy, kStart);
  const TimePoint finalFlush = kStart + 8s - policy.finalFlushLead_;
  const TimePoint graceEnd = kStart + 8s + policy.deadlineGrace_;
  Complete(ledger, 0, finalFlush - 1s);
  REQUIRE(ledger.Listable(finalFlush - 1ms).empty());
  REQUIRE(ledger.NextDue() == finalFlush);
  REQUIRE_FALSE(ledger.AwaitsLastGroups(finalFlush - 1ms));
  // All finished results are listed once more before the deadline.
  REQUIRE(ledger.Listable(finalFlush) == std::vector<ItemIndex>{ 0 });
  ledger.OnListed({ 0 });
  REQUIRE(ledger.AwaitsLastGroups(finalFlush));
  Complete(ledger, 1, finalFlush + 100ms);
  REQUIRE(ledger.Listable(finalFlush + 1s).empty());
  SECTION("and are listed together when there are enough groups")
  {
    Complete(ledger, 2, finalFlush + 500ms);
    Complete(ledger, 3, finalFlush + 600ms);
    REQUIRE_FALSE(ledger.AwaitsLastGroups(finalFlush + 600ms));
    REQUIRE(ledger.Listable(finalFlush + 600ms) ==
            std::vector<ItemIndex>{ 1, 2, 3 });
  }
  SECTION("and are listed at once after the grace period")
  {
    REQUIRE(ledger.NextDue() == graceEnd);
    REQUIRE(ledger.Listable(graceEnd) == std::vector<ItemIndex>{ 1 });
    Complete(ledger, 2, graceEnd + 1s);
    REQUIRE(ledger.Listable(graceEnd + 1s) == std::vector<ItemIndex>{ 1, 2 });
  }
}

TEST_CASE("a listed result keeps its position and is not run again")
{
  JobLedger ledger = MakeLedger();
  Complete(ledger, 2, kStart);
  ledger.OnListed({ 2 });
  ledger.OnInterrupted(2);
  REQUIRE(ledger.Listed() == std::vector<ItemIndex>{ 2 });
  REQUIRE(ledger.Waiting(kStart) == std::vector<ItemIndex>{ 0, 1, 3 });
  ledger.AbandonOverdue(kStart + 1h);
  REQUIRE(ledger.ResultOf(2).completed_);
}

TEST_CASE("items are abandoned only after the maximum queue time")
{
  JobPolicy policy;
  policy.maxQueue_ = 40s;
  JobLedger ledger = MakeLedger(policy);
  ledger.AbandonOverdue(kStart + 39s);
  REQUIRE(ledger.Waiting(kStart).size() == 4);
  ledger.AbandonOverdue(kStart + 40s);
  REQUIRE(ledger.Waiting(kStart).empty());
  REQUIRE(ledger.Listable(kStart + 40s).size() == 4);
}

TEST_CASE(
  "the next owner restores listed results and resumes from partial texts")
{
  JobLedger first = MakeLedger();
  Complete(first, 3, kStart);
  first.OnListed({ 3 });
  first.OnStarted(0);
  REQUIRE(Take(first, 0, 1));
  REQUIRE(Take(first, 0, 2));

  JobLedger second = MakeLedger();
  second.Restore({ first.ResultOf(3) });
  second.Reuse(0, first.Text(0));
  second.Reuse(3, first.Text(0));
  REQUIRE(second.Listed() == std::vector<ItemIndex>{ 3 });
  REQUIRE(second.ResultOf(3).text_ == first.ResultOf(3).text_);
  REQUIRE(second.Text(0).lastEvent_ == 2);
  second.OnStarted(0);
  REQUIRE(Take(second, 0, 3));
}

TEST_CASE("a text of an earlier job is used only if its versions are allowed")
{
  JobLedger ledger = MakeLedger();
  ledger.Reuse(0, { "old", 4, { WeightVersion{ 4 } }, false });
  REQUIRE(ledger.Text(0).lastEvent_ == 0);
  ledger.Reuse(0, { "new", 4, { WeightVersion{ 5 } }, true });
  REQUIRE(ledger.State(0) == ItemState::Scoring);
}

// Guards against a score call that does not exist: a complete text of an
// earlier owner was set to wait for the score of an item without one.
TEST_CASE("a complete text of an earlier owner needs no score if none is asked")
{
  JobSpec spec = MakeSpec();
  spec.items_[0].score_.reset();
  JobLedger ledger(std::move(spec), {}, kStart);
  ledger.Reuse(0, { "t1", 4, { WeightVersion{ 5 } }, true });
  REQUIRE(ledger.Unscored().empty());
  REQUIRE(ledger.State(0) == ItemState::Finished);
  REQUIRE(ledger.ResultOf(0).completed_);
  REQUIRE(ledger.ResultOf(0).text_ == "t1");
  REQUIRE(ledger.Listable(kStart + 3s) == std::vector<ItemIndex>{ 0 });
}

TEST_CASE("job records are read back as they were written")
{
  const JobOwnerRecord owner{ "front-1~7", 36, 1'234 };
  const auto owned = ReadOwnerRecord(WriteOwnerRecord(owner));
  REQUIRE(owned.value().owner_ == owner.owner_);
  REQUIRE(owned.value().total_ == owner.total_);
  REQUIRE(owned.value().acceptedMillis_ == owner.acceptedMillis_);

  const JobSubmissionRecord submission{ "h.example", "/p/1", "{\"a\":\n1}\n" };
  const auto submitted =
    ReadSubmissionRecord(WriteSubmissionRecord(submission));
  REQUIRE(submitted.value().host_ == submission.host_);
  REQUIRE(submitted.value().path_ == submission.path_);
  REQUIRE(submitted.value().body_ == submission.body_);

  JobResult result;
  result.id_ = ItemId{ "a" };
  result.completed_ = true;
  result.text_ = "one\ntwo \"three\"";
  result.versions_ = { WeightVersion{ 5 }, WeightVersion{ 6 } };
  result.score_ = "sig";
  const auto results = ReadResultsRecord(WriteResultsRecord({ result }));
  REQUIRE(results.value().size() == 1);
  REQUIRE(results.value().front().text_ == result.text_);
  REQUIRE(results.value().front().versions_ == result.versions_);

  const PartialRecord partial{ ItemId{ "b" },
                               { "t", 3, { WeightVersion{ 7 } }, false } };
  const auto partials = ReadPartialRecords(WritePartialRecords({ partial }));
  REQUIRE(partials.value().front().item_ == partial.item_);
  REQUIRE(partials.value().front().text_.lastEvent_ == 3);
}

TEST_CASE("an unreadable record is an error that names the record")
{
  REQUIRE(ReadOwnerRecord("{").error().kind_ == ErrorKind::BadInput);
  REQUIRE(ReadOwnerRecord("{}").error().message_.find("owner") !=
          std::string::npos);
  REQUIRE_FALSE(ReadSubmissionRecord(""));
  REQUIRE_FALSE(ReadResultsRecord("[{}]"));
  REQUIRE_FALSE(ReadPartialRecords("[1]"));
}

TEST_CASE("the items with the longest expected output start first")
{
  JobSpec spec = MakeSpec();
  spec.items_[2].lengthHint_ = 900;
  spec.items_[3].lengthHint_ = 100;
  const JobLedger ledger(spec, {}, kStart);
  REQUIRE(ledger.Waiting(kStart) == std::vector<ItemIndex>{ 2, 3, 0, 1 });
}

TEST_CASE(
  "if slots are short, groups with the least remaining work start first")
{
  JobSpec spec = MakeSpec();
  const std::vector<std::uint32_t> lengths{ 900, 100, 300, 400 };
  for (ItemIndex i = 0; i < lengths.size(); ++i) {
    spec.items_[i].lengthHint_ = lengths[i];
  }
  const JobPolicy policy;
  JobLedger ledger(spec, policy, kStart);
  REQUIRE(ledger.Waiting(kStart + policy.slotShortageDelay_) ==
          std::vector<ItemIndex>{ 0, 3, 2, 1 });
  REQUIRE(ledger.Waiting(kStart + policy.slotShortageDelay_ + 1ms) ==
          std::vector<ItemIndex>{ 3, 2, 0, 1 });
  // Complete items do not count towards the remaining work of their group.
  ledger.OnStarted(0);
  REQUIRE(Take(ledger, 0, 1));
  ledger.OnCompleted(0, kStart + 3s);
  REQUIRE(ledger.Waiting(kStart + 3s) == std::vector<ItemIndex>{ 1, 3, 2 });
}

// Guards against a position whose result changes after it was read: an item was
// abandoned while it ran, and the end of its run turned it into a completed
// one.
TEST_CASE("no event changes a final result, before or after it is listed")
{
  const bool completed = GENERATE(false, true);
  const bool listed = GENERATE(false, true);
  JobLedger ledger = MakeLedger();
  if (completed) {
    Complete(ledger, 0, kStart);
  } else {
    ledger.OnStarted(0);
    REQUIRE(Take(ledger, 0, 1));
    ledger.OnPermanentFailure(0, kStart);
  }
  if (listed) {
    ledger.OnListed({ 0 });
  }
  const JobResult before = ledger.ResultOf(0);
  const ItemState state = ledger.State(0);
  FeedLateEvents(ledger, 0, kStart + 1s);
  const JobResult after = ledger.ResultOf(0);
  REQUIRE(ledger.State(0) == state);
  REQUIRE(after.completed_ == completed);
  REQUIRE(after.text_ == before.text_);
  REQUIRE(after.versions_ == before.versions_);
  REQUIRE(after.score_ == before.score_);
  REQUIRE(ledger.Listed().size() == (listed ? 1 : 0));
  const auto finished = ledger.Finished();
  REQUIRE(std::count(finished.begin(), finished.end(), 0) == (listed ? 0 : 1));
}
