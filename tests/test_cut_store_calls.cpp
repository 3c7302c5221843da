/// Answers of the platform's store and of etcd that are cut within their heads
/// or bodies, received by the real HTTP client.

#include "socket_answer.hpp"
#include "store_calls.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

/// @returns beginnings of answers, most of which prove something if complete
std::vector<std::string>
CutStoreAnswers()
{
  return CutAnswersOf({ 200, 404, 410, 412, 429, 500, 503 });
}

struct Fixture : StoreCalls
{
  using StoreCalls::StoreCalls;

  void EndWith(const std::string& aBytes)
  {
    REQUIRE(client_.open_.size() == 1);
    EndWithBytes(client_, client_.Oldest(), aBytes);
  }
};

} // namespace

TEST_CASE("the outcome of a write whose answer is cut is unknown")
{
  const auto kind =
    GENERATE(StoreCalls::Kind::Platform, StoreCalls::Kind::Etcd);
  const std::string bytes = GENERATE(from_range(CutStoreAnswers()));
  CAPTURE(static_cast<int>(kind), bytes);
  Fixture commit(kind);
  commit.Commit();
  commit.EndWith(bytes);
  CHECK(IsUnknown(commit.commit_));
  Fixture grant(kind);
  grant.GrantLease();
  grant.EndWith(bytes);
  CHECK(IsUnknown(grant.lease_));
  Fixture renewal(kind);
  renewal.KeepAlive();
  renewal.EndWith(bytes);
  CHECK(IsUnknown(renewal.lease_));
}

// Half a head was 200 with an empty body, and this call needs no body.
TEST_CASE("a lease is not known to have ended if the answer is cut")
{
  const auto kind =
    GENERATE(StoreCalls::Kind::Platform, StoreCalls::Kind::Etcd);
  const std::string bytes = GENERATE(from_range(CutStoreAnswers()));
  CAPTURE(static_cast<int>(kind), bytes);
  Fixture fix(kind);
  fix.RevokeLease();
  fix.EndWith(bytes);
  CHECK(IsUnknown(fix.revoked_));
}

TEST_CASE("a read whose answer is cut is an error, not an absence")
{
  const auto kind =
    GENERATE(StoreCalls::Kind::Platform, StoreCalls::Kind::Etcd);
  const std::string bytes = GENERATE(from_range(CutStoreAnswers()));
  CAPTURE(static_cast<int>(kind), bytes);
  Fixture fix(kind);
  fix.Read();
  fix.EndWith(bytes);
  CHECK(IsUnknown(fix.range_));
}

TEST_CASE("a range whose second page is cut is an error")
{
  const std::string bytes = GENERATE(from_range(CutStoreAnswers()));
  CAPTURE(bytes);
  Fixture fix;
  fix.Read();
  fix.Answer(200,
             R"({"items":[{"key":"p/a","value":"YQ==","revision":3,)"
             R"("created_at":2,"lease":0}],"has_more":true,"as_of":9})");
  REQUIRE_FALSE(fix.range_);
  fix.EndWith(bytes);
  CHECK(IsUnknown(fix.range_));
}

// Half a head was 200 with an empty body: the watch ended, its prefix was read
// whole again, and all other watches were renewed.
TEST_CASE("a watch whose answer is cut is interrupted and goes on")
{
  const std::string bytes = GENERATE(from_range(CutStoreAnswers()));
  CAPTURE(bytes);
  Fixture fix;
  fix.Watch();
  fix.EndWith(bytes);
  REQUIRE(fix.batches_.size() == 1);
  CHECK(fix.batches_.front().interrupted_);
  CHECK_FALSE(fix.batches_.front().ended_);
  fix.timers_.Advance(1s);
  REQUIRE(fix.client_.open_.size() == 1);
  CHECK(fix.client_.Oldest().call_.url_.find("after=4") != std::string::npos);
}
