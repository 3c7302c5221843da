/// Which responses of upstreams are load reports.

#include "programs/entryd/report_poller.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

// The status of a report was not looked at.
TEST_CASE("a load report counts only in a response of success")
{
  const auto [status, counts] = GENERATE(
    table<int, bool>({ { 200, true }, { 500, false }, { 404, false } }));
  CAPTURE(status);
  HttpResult result;
  result.end_ = HttpEnd::Complete;
  result.response_ =
    JsonResponse(status, R"({"running":1,"queued":2,"models":{"m":3}})");
  CHECK(bool(ReadReport(result)) == counts);
}
