/// Answers that are complete as HTTP, and lack what their readers need.

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
