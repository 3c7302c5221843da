#include "marjoramtally/process.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace marjoramtally;

namespace {

constexpr std::uint64_t kBody = 7;

/// In-memory records with conditional transactions, applied one at a time.
struct FakeStore
{
  std::map<std::string, std::pair<std::string, std::uint64_t>> records_;
  std::uint64_t revision_ = 1;
  std::uint64_t commits_ = 0;

  CommitResult Apply(const ClaimBatch& aBatch)
  {
    ++commits_;
    for (const ClaimWrite& write : aBatch.writes_) {
      const auto it = records_.find(write.name_);
      const std::uint64_t now = it == records_.end() ? 0 : it->second.second;
      if (now != write.expected_) {
        return CommitResult::Conflict;
      }
    }
    ++revision_;
    for (const ClaimWrite& write : aBatch.writes_) {
      if (write.value_.empty()) {
        records_.erase(write.name_);
      } else {
        records_[write.name_] = { write.value_, revision_ };
      }
    }
    return CommitResult::Applied;
  }

  ClaimReadResult Read(const std::string& aName) const
  {
    ClaimReadResult reading;
    const auto it = records_.find(aName);
    if (it != records_.end()) {
      reading.record_ = DecodeClaim(it->second.first);
      reading.revision_ = it->second.second;
    }
    return reading;
  }
};

/// One entry instance: its claim table and the answers to its callers.
struct Instance
{
  FakeStore& store_;
  ManualClock& clock_;
  ClaimTable table_;
  std::vector<ClaimVerdict> verdicts_;
  std::vector<ClaimTicket> closed_;
  std::vector<ClaimBatch> held_;
  std::uint64_t ticket_ = 0;
  bool hold_ = false;

  Instance(const char* aName, FakeStore& aStore, ManualClock& aClock)
    : store_(aStore)
    , clock_(aClock)
    , table_(aName)
  {
  }

  void Perform(ClaimActions aActions)
  {
    for (auto& verdict : aActions.verdicts_) {
      verdicts_.push_back(std::move(verdict));
    }
    closed_.insert(
      closed_.end(), aActions.closed_.begin(), aActions.closed_.end());
    for (ClaimBatch& batch : aActions.batches_) {
      if (hold_) {
        held_.push_back(std::move(batch));
        continue;
      }
      const CommitResult end = store_.Apply(batch);
      Perform(table_.OnCommit(batch.id_, end, store_.revision_, clock_.Now()));
    }
    for (const std::string& name : aActions.reads_) {
      Perform(table_.OnRead(name, store_.Read(name), clock_.Now()));
    }
  }

  void Claim(const std::string& aName, std::uint64_t aBody = kBody)
  {
    const TimePoint deadline = clock_.Now() + std::chrono::seconds(2);
    Perform(table_.Claim(
      { ClaimTicket{ ++ticket_ }, aName, Fingerprint{ aBody }, deadline },
      clock_.Now()));
  }

  /// Reports an outcome for the transaction that is held back.
  void Release(CommitResult aEnd)
  {
    hold_ = false;
    const ClaimBatch batch = held_.front();
    held_.erase(held_.begin());
    Perform(table_.OnCommit(batch.id_, aEnd, store_.revision_, clock_.Now()));
  }

  void End(const std::string& aName, Outcome aOutcome)
  {
    Perform(table_.OnRunEnd(aName, aOutcome, 200, clock_.Now()));
  }

  void Tick() { Perform(table_.Tick(clock_.Now())); }

  [[nodiscard]] ClaimAnswer Last() const { return verdicts_.back().answer_; }
};

struct Fixture
{
  FakeStore store_;
  ManualClock clock_;
  Instance first_{ "a", store_, clock_ };
  Instance second_{ "b", store_, clock_ };
};

} // namespace

TEST_CASE("only one of two instances runs a key, even if the other one is dead")
{
  Fixture fixture;
  fixture.first_.Claim("k");
  CHECK(fixture.first_.Last() == ClaimAnswer::Run);
  fixture.first_.Claim("k");
  CHECK(fixture.first_.Last() == ClaimAnswer::InProgress);
  // The first instance may be dead, so only the record decides.
  fixture.second_.Claim("k");
  CHECK(fixture.second_.Last() == ClaimAnswer::MayHaveRun);
  fixture.first_.End("k", Outcome::Completed);
  fixture.second_.Claim("k");
  CHECK(fixture.second_.Last() == ClaimAnswer::AlreadyRan);
  CHECK(fixture.second_.verdicts_.back().status_ == 200);
  fixture.second_.Claim("k", kBody + 1);
  CHECK(fixture.second_.Last() == ClaimAnswer::KeyReused);
  fixture.first_.Claim("k");
  CHECK(fixture.first_.Last() == ClaimAnswer::AlreadyRan);
}

TEST_CASE("a claim whose commit outcome is unknown is read back by its token")
{
  Fixture fixture;
  fixture.first_.hold_ = true;
  fixture.first_.Claim("k");
  SECTION("the claim was applied: the request runs here and nowhere else")
  {
    CHECK(fixture.store_.Apply(fixture.first_.held_.front()) ==
          CommitResult::Applied);
    fixture.second_.Claim("k");
    CHECK(fixture.second_.Last() == ClaimAnswer::MayHaveRun);
    fixture.first_.Release(CommitResult::Unknown);
    CHECK(fixture.first_.Last() == ClaimAnswer::Run);
  }
  SECTION("another instance claimed first")
  {
    fixture.second_.Claim("k");
    CHECK(fixture.second_.Last() == ClaimAnswer::Run);
    fixture.first_.Release(CommitResult::Unknown);
    CHECK(fixture.first_.Last() == ClaimAnswer::MayHaveRun);
  }
  SECTION("the transport sent the write twice and reports the second outcome")
  {
    CHECK(fixture.store_.Apply(fixture.first_.held_.front()) ==
          CommitResult::Applied);
    fixture.first_.Release(CommitResult::Conflict);
    CHECK(fixture.first_.Last() == ClaimAnswer::Run);
  }
}

TEST_CASE("a claim that is absent when read back can be applied later")
{
  Fixture fixture;
  fixture.first_.hold_ = true;
  fixture.first_.Claim("k");
  const ClaimBatch delayed = fixture.first_.held_.front();
  fixture.first_.Release(CommitResult::Unknown);
  // The request is refused and never runs here, even after the pause.
  fixture.first_.Tick();
  REQUIRE(fixture.first_.verdicts_.size() == 1);
  CHECK(fixture.first_.Last() == ClaimAnswer::Refused);
  CHECK(fixture.store_.Apply(delayed) == CommitResult::Applied);
  // The claim that was applied late is found and deleted, so that a resend can
  // run.
  for (int i = 0; i < 10; ++i) {
    fixture.clock_.Advance(std::chrono::seconds(1));
    fixture.first_.Tick();
  }
  CHECK(fixture.first_.verdicts_.size() == 1);
  fixture.second_.Claim("k");
  CHECK(fixture.second_.Last() == ClaimAnswer::Run);
}

TEST_CASE("claims are refused while the store is down, later ones at once")
{
  Fixture fixture;
  fixture.first_.hold_ = true;
  fixture.first_.Claim("k");
  fixture.first_.Release(CommitResult::NoEffect);
  CHECK(fixture.first_.Last() == ClaimAnswer::Refused);
  fixture.first_.Claim("l");
  CHECK(fixture.first_.verdicts_.size() == 2);
  CHECK(fixture.first_.Last() == ClaimAnswer::Refused);
  CHECK(fixture.store_.commits_ == 0);
  fixture.clock_.Advance(std::chrono::seconds(1));
  fixture.first_.Claim("k");
  CHECK(fixture.first_.Last() == ClaimAnswer::Run);
}

TEST_CASE(
  "a claim won after its deadline is released and its request never runs")
{
  Fixture fixture;
  fixture.first_.hold_ = true;
  fixture.first_.Claim("k");
  CHECK(fixture.store_.Apply(fixture.first_.held_.front()) ==
        CommitResult::Applied);
  fixture.clock_.Advance(std::chrono::minutes(5));
  fixture.first_.Release(CommitResult::Applied);
  CHECK(fixture.first_.Last() == ClaimAnswer::Refused);
  CHECK(fixture.store_.records_.empty());
  fixture.second_.Claim("k");
  CHECK(fixture.second_.Last() == ClaimAnswer::Run);
}

TEST_CASE(
  "a request refused by its upstream is answered once its claim is released")
{
  Fixture fixture;
  fixture.first_.Claim("k");
  fixture.first_.hold_ = true;
  fixture.first_.End("k", Outcome::RefusedNotRun);
  CHECK(fixture.first_.closed_.empty());
  CHECK(fixture.store_.Apply(fixture.first_.held_.front()) ==
        CommitResult::Applied);
  // A release that is written again must not delete a later claim.
  fixture.second_.Claim("k");
  CHECK(fixture.second_.Last() == ClaimAnswer::Run);
  fixture.first_.Release(CommitResult::Unknown);
  fixture.clock_.Advance(std::chrono::seconds(1));
  fixture.first_.Tick();
  CHECK(fixture.first_.closed_.size() == 1);
  fixture.first_.Claim("k");
  CHECK(fixture.first_.Last() == ClaimAnswer::MayHaveRun);
}

TEST_CASE("a request with unknown outcome is recorded as unknown")
{
  Fixture fixture;
  fixture.first_.Claim("k");
  fixture.first_.End("k", Outcome::Unknown);
  CHECK(fixture.first_.closed_.size() == 1);
  fixture.second_.Claim("k");
  CHECK(fixture.second_.Last() == ClaimAnswer::MayHaveRun);
}

TEST_CASE("waiting claims share a transaction, which is split on conflict")
{
  Fixture fixture;
  fixture.second_.Claim("k3");
  fixture.first_.hold_ = true;
  fixture.first_.Claim("first");
  for (int i = 0; i < 16; ++i) {
    fixture.first_.Claim("k" + std::to_string(i));
  }
  CHECK(fixture.first_.held_.size() == 1);
  CHECK(fixture.store_.Apply(fixture.first_.held_.front()) ==
        CommitResult::Applied);
  const std::uint64_t before = fixture.store_.commits_;
  fixture.first_.Release(CommitResult::Applied);
  const auto run = std::count_if(
    fixture.first_.verdicts_.begin(),
    fixture.first_.verdicts_.end(),
    [](const auto& aVerdict) { return aVerdict.answer_ == ClaimAnswer::Run; });
  CHECK(run == 16);
  // One transaction of 16 claims, then four halvings down to the conflicting
  // claim: 1 + 2 * 4.
  CHECK(fixture.store_.commits_ - before == 9);
}

TEST_CASE("claim records round-trip through text, and invalid text is rejected")
{
  const ClaimRecord record{
    "a/1", Fingerprint{ 0xfedcba9876543210 }, ClaimState::Completed, 201
  };
  CHECK(DecodeClaim(EncodeClaim(record)) == record);
  CHECK_FALSE(DecodeClaim("a/1 zz claimed 0"));
  CHECK_FALSE(DecodeClaim("a/1 1 other 0"));
  CHECK_FALSE(DecodeClaim(""));
  CHECK(ClaimName(ServiceId{ "a" }, IdempotencyKey{ "bc" }) !=
        ClaimName(ServiceId{ "ab" }, IdempotencyKey{ "c" }));
}
