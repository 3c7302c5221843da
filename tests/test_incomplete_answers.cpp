/// Answers that are complete as HTTP, and lack what their readers need.

#include "order_fixture.hpp"
#include "store_calls.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;

// A transaction without its revision was applied as revision 0, which as a
// fencing number and in a condition means that there is no key.
TEST_CASE("an answer to a write that lacks its revision leaves it unknown")
{
  const std::string body = GENERATE("",
                                    "{}",
                                    "[]",
                                    "null",
                                    R"({"revision":0})",
                                    R"({"revision":null})",
                                    R"({"revision":-1})",
                                    R"({"revision":1.5})",
                                    R"({"revision":"7"})");
  CAPTURE(body);
  StoreCalls calls;
  calls.Commit();
  calls.Answer(200, body);
  CHECK(IsUnknown(calls.commit_));
}

TEST_CASE("a failed condition without its items leaves the write unknown")
{
  const std::string body = GENERATE("",
                                    "{}",
                                    "[]",
                                    "null",
                                    R"({"revision":7})",
                                    R"({"items":{}})",
                                    R"({"items":null})");
  CAPTURE(body);
  StoreCalls calls;
  calls.Commit();
  calls.Answer(412, body);
  CHECK(IsUnknown(calls.commit_));
}

// A grant without its lease was lease 0, which is none: keys written with it
// were never removed.
TEST_CASE("an answer to a grant that lacks the lease or its time is no lease")
{
  const std::string body = GENERATE("",
                                    "{}",
                                    "[]",
                                    R"({"ttl_ms":3000})",
                                    R"({"lease":0,"ttl_ms":3000})",
                                    R"({"lease":-4,"ttl_ms":3000})",
                                    R"({"lease":null,"ttl_ms":3000})",
                                    R"({"lease":7})",
                                    R"({"lease":7,"ttl_ms":null})");
  CAPTURE(body);
  StoreCalls calls;
  calls.GrantLease();
  calls.Answer(200, body);
  CHECK(IsUnknown(calls.lease_));
}

// A renewal without its time was taken for one that had expired.
TEST_CASE("an answer to a renewal that lacks its time is no renewal")
{
  const std::string body =
    GENERATE("", "{}", "[]", R"({"lease":7})", R"({"ttl_ms":null})");
  CAPTURE(body);
  StoreCalls calls;
  calls.KeepAlive();
  calls.Answer(200, body);
  CHECK(IsUnknown(calls.lease_));
}

// A range that did not say whether more follows was taken for complete, and its
// other records for absent.
TEST_CASE("a range that lacks a field is an error, not an absence")
{
  const std::string items =
    R"("items":[{"key":"p/a","value":"YQ==","revision":3,"created_at":2,)"
    R"("lease":0}])";
  const std::string body =
    GENERATE_COPY(as<std::string>{},
                  "",
                  "{}",
                  "[]",
                  "{" + items + R"(,"has_more":false})",
                  "{" + items + R"(,"has_more":false,"as_of":0})",
                  "{" + items + R"(,"has_more":false,"as_of":-1})",
                  "{" + items + R"(,"as_of":9})",
                  "{" + items + R"(,"has_more":null,"as_of":9})",
                  R"({"items":[],"has_more":true,"as_of":9})",
                  R"({"has_more":false,"as_of":9})",
                  R"({"items":null,"has_more":false,"as_of":9})",
                  R"({"items":{},"has_more":false,"as_of":9})");
  CAPTURE(body);
  StoreCalls calls;
  calls.Read();
  calls.Answer(200, body);
  CHECK(IsUnknown(calls.range_));
}

// The same page was read again without end.
TEST_CASE("a page without items that says that more follow is an error")
{
  StoreCalls calls;
  calls.Read();
  calls.Answer(200,
               R"({"items":[{"key":"p/a","value":"YQ==","revision":3,)"
               R"("created_at":2,"lease":0}],"has_more":true,"as_of":9})");
  REQUIRE_FALSE(calls.range_);
  calls.Answer(200, R"({"items":[],"has_more":true,"as_of":9})");
  CHECK(IsUnknown(calls.range_));
  CHECK(calls.client_.open_.empty());
}

// An item without its value was taken for one that is empty.
TEST_CASE("an item that lacks a field makes its answer unreadable")
{
  const std::string item =
    GENERATE(R"({})",
             R"({"key":"p/a","revision":3})",
             R"({"key":"p/a","revision":3,"removed":false})",
             R"({"key":"p/a","revision":3,"created_at":2,"lease":0})",
             R"({"key":"p/a","value":"","revision":3,"lease":0})",
             R"({"key":"p/a","value":"","revision":3,"created_at":2})",
             R"({"key":"p/a","value":"","created_at":2,"lease":0})",
             R"({"value":"","revision":3,"created_at":2,"lease":0})",
             R"({"key":"p/a","value":"","revision":-1,"created_at":2,)"
             R"("lease":0})",
             R"({"key":"p/a","value":"","revision":3,"created_at":2,)"
             R"("lease":null})");
  CAPTURE(item);
  StoreCalls read;
  read.Read();
  read.Answer(200, R"({"items":[)" + item + R"(],"has_more":false,"as_of":9})");
  CHECK(IsUnknown(read.range_));
  StoreCalls watch;
  watch.Watch();
  watch.Answer(200, R"({"events":[)" + item + R"(],"as_of":9})");
  REQUIRE(watch.batches_.size() == 1);
  CHECK(watch.batches_.front().ended_);
  CHECK(watch.batches_.front().events_.empty());
}

TEST_CASE("an answer to a watch that lacks a field ends it")
{
  const std::string body = GENERATE("",
                                    "{}",
                                    "[]",
                                    R"({"events":[]})",
                                    R"({"as_of":9})",
                                    R"({"events":null,"as_of":9})",
                                    R"({"events":{},"as_of":9})",
                                    R"({"events":[],"as_of":0})",
                                    R"({"events":[],"as_of":-1})",
                                    R"({"events":[{"key":"p/a",)"
                                    R"("removed":true}],"as_of":9})");
  CAPTURE(body);
  StoreCalls calls;
  calls.Watch();
  calls.Answer(200, body);
  REQUIRE(calls.batches_.size() == 1);
  CHECK(calls.batches_.front().ended_);
  CHECK(calls.batches_.front().events_.empty());
}

// The status of a failed condition was a success to all calls.
TEST_CASE("only a write can fail for its condition")
{
  StoreCalls revoke;
  revoke.RevokeLease();
  revoke.Answer(412, R"({"items":[]})");
  CHECK(IsUnknown(revoke.revoked_));
  StoreCalls grant;
  grant.GrantLease();
  grant.Answer(412, R"({"lease":7,"ttl_ms":3000})");
  CHECK(IsUnknown(grant.lease_));
  StoreCalls read;
  read.Read();
  read.Answer(412, R"({"items":[],"has_more":false,"as_of":9})");
  CHECK(IsUnknown(read.range_));
  StoreCalls watch;
  watch.Watch();
  watch.Answer(412, R"({"events":[],"as_of":9})");
  REQUIRE(watch.batches_.size() == 1);
  CHECK(watch.batches_.front().interrupted_);
}

// A report without `busy` or `seq` was that of an idle upstream that had
// accepted no order.
TEST_CASE("a report that lacks a field is read again before an order is sent")
{
  const std::string body =
    GENERATE("",
             "{}",
             "[]",
             R"({"seq":4,"models":[]})",
             R"({"busy":null,"seq":4,"models":[]})",
             R"({"busy":false,"models":[]})",
             R"({"busy":false,"seq":-1,"models":[]})",
             R"({"busy":false,"seq":4})",
             R"({"busy":false,"seq":4,"models":{}})",
             R"({"busy":false,"seq":4,"models":[{"name":"m"}]})",
             R"({"busy":false,"seq":4,"models":[{"version":2}]})");
  CAPTURE(body);
  DutyFixture fix;
  REQUIRE(fix.OldestPath() == "http://e:1/report");
  fix.client_.Answer(fix.client_.Oldest(), JsonResponse(200, body));
  CHECK(fix.client_.open_.empty());
  fix.timers_.Advance(600ms);
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
}

// An object without any field was a reply whose fields are all zero: a write
// whose condition had failed, an empty range, a lease that had expired.
TEST_CASE("a reply of etcd without a header is unreadable")
{
  const std::string body = GENERATE("",
                                    "{}",
                                    "[]",
                                    R"({"error":{"message":"no leader"}})",
                                    R"({"succeeded":true})",
                                    R"({"header":{}})",
                                    R"({"header":{"revision":"0"}})");
  CAPTURE(body);
  StoreCalls commit(StoreCalls::Kind::Etcd);
  commit.Commit();
  commit.Answer(200, body);
  CHECK(IsUnknown(commit.commit_));
  StoreCalls read(StoreCalls::Kind::Etcd);
  read.Read();
  read.Answer(200, body);
  CHECK(IsUnknown(read.range_));
  StoreCalls revoke(StoreCalls::Kind::Etcd);
  revoke.RevokeLease();
  revoke.Answer(200, body);
  CHECK(IsUnknown(revoke.revoked_));
  StoreCalls watch(StoreCalls::Kind::Etcd);
  watch.Watch();
  watch.Answer(200, body + "\n");
  REQUIRE(watch.batches_.size() == 1);
  CHECK(watch.batches_.front().ended_);
}

TEST_CASE("a lease reply of etcd that names no lease is unreadable")
{
  const bool grants = GENERATE(true, false);
  const std::string body = GENERATE("{}",
                                    R"({"TTL":"3"})",
                                    R"({"ID":"0","TTL":"3"})",
                                    R"({"result":{}})",
                                    R"({"error":{"message":"no leader"}})");
  CAPTURE(grants, body);
  StoreCalls calls(StoreCalls::Kind::Etcd);
  if (grants) {
    calls.GrantLease();
  } else {
    calls.KeepAlive();
  }
  calls.Answer(200, body);
  CHECK(IsUnknown(calls.lease_));
}

// The exception of its reader passed through the client's thread.
TEST_CASE("a change of etcd that lacks a field ends the watch")
{
  const std::string event =
    GENERATE(R"({})",
             R"({"kv":{}})",
             R"({"kv":{"key":"cC9h"}})",
             R"({"kv":{"mod_revision":"7"}})",
             R"({"kv":{"key":"cC9h","mod_revision":"x"}})");
  CAPTURE(event);
  StoreCalls calls(StoreCalls::Kind::Etcd);
  calls.Watch();
  REQUIRE_NOTHROW(calls.Answer(
    200,
    R"({"result":{"header":{"revision":"9"},"events":[)" + event + "]}}\n"));
  REQUIRE(calls.batches_.size() == 1);
  CHECK(calls.batches_.front().ended_);
  CHECK(calls.batches_.front().events_.empty());
}
