/// How the end of an attempt of the entry daemon is classified.

#include "programs/entryd/in_flight_request.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

// Guards against a refusal that is not true: it answers the second sending of a
// request, and the upstream may have run the first.
TEST_CASE(
  "a refusal of a request that was sent twice does not prove it not run")
{
  const bool resent = GENERATE(false, true);
  InFlightRequest request{ {}, {}, {}, {}, Attempts{ 1 }, {}, {}, {} };
  request.classify_ = [](const HttpResponse&) { return AttemptEnd::NotRun; };
  HttpResult result;
  result.end_ = HttpEnd::Complete;
  result.resent_ = resent;
  REQUIRE(ClassifyAttempt(request, result) ==
          (resent ? AttemptEnd::MaybeRun : AttemptEnd::NotRun));
}
