/// Explaining how an id ended from the logs alone.

#include "marjoramtally/runtime/log_explanation.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace marjoramtally;

namespace {

std::string
Line(const std::string& aSecond,
     const std::string& aInstance,
     const std::string& aRest)
{
  return "time=2026-01-06T05:34:" + aSecond +
         " level=INFO instance=" + aInstance + " " + aRest;
}

bool
HasFinding(const LogExplanation& aExplanation, std::string_view aPart)
{
  return std::any_of(aExplanation.findings_.begin(),
                     aExplanation.findings_.end(),
                     [&](const std::string& aFinding) {
                       return aFinding.find(aPart) != std::string::npos;
                     });
}

} // namespace

TEST_CASE("a log line is parsed with quoted values and a collector's prefix")
{
  const auto line = ParseLogLine(
    R"(  1.16 front-2 time=2026-01-06T05:34:54.615 event=x why="a \"b\" = c" n=)");
  REQUIRE(line);
  CHECK(line->Event() == "x");
  CHECK(line->Field("why") == "a \"b\" = c");
  CHECK(line->Field("n").empty());
  CHECK(line->Field("front-2").empty());
  CHECK_FALSE(ParseLogLine("no pairs here"));
  CHECK_FALSE(ParseLogLine("a=b"));
  CHECK_FALSE(ParseLogLine(R"(event="unfinished)")->Event().empty());
  CHECK_FALSE(ParseLogLine(""));
}

TEST_CASE("a failed request points to the upstream that failed others")
{
  const LogExplanation explanation = ExplainFromLogs(
    { Line("10.000", "g1", "event=attempt_failed id=r1 upstream=u1 sent=yes"),
      Line("10.001",
           "g1",
           "event=request_given_up id=r1 status=502 last_upstream=u1 "
           "why=\"no upstream gave a whole answer\""),
      Line("09.000", "g2", "event=attempt_failed id=r2 upstream=u1 sent=yes"),
      Line("08.000", "g2", "event=attempt_failed id=r3 upstream=u2 sent=yes"),
      Line("09.500", "g3", "event=upstream_vanished id=u1"),
      Line("09.600", "g1", "event=job_claimed job=j7 last_owner=g9"),
      Line("01.000", "g2", "event=attempt_failed id=r4 upstream=u1 sent=yes") },
    "r1");
  CHECK(explanation.ownLines_.size() == 2);
  CHECK(explanation.relatedLines_.size() == 2);
  CHECK(HasFinding(explanation, "answered 502"));
  CHECK(HasFinding(explanation, "no upstream gave a whole answer"));
  CHECK(HasFinding(explanation, "upstream u1 failed 1 other calls"));
  CHECK(HasFinding(explanation, "registration of upstream u1 vanished"));
  CHECK_FALSE(HasFinding(explanation, "took its job over"));
}

TEST_CASE("a refusal is reported with the dependency that its process had lost")
{
  const std::vector<std::string> lines{
    Line("07.000", "g1", "event=dependency_lost dependency=store"),
    Line("07.500", "g2", "event=dependency_lost dependency=store"),
    Line("10.000",
         "g1",
         "event=request_given_up id=r1 status=503 why=\"no upstream\""),
  };
  const LogExplanation explanation = ExplainFromLogs(lines, "r1");
  CHECK(HasFinding(explanation, "refused; no upstream ran it"));
  CHECK(HasFinding(explanation, "g1 had lost its connection to store"));
  CHECK_FALSE(HasFinding(explanation, "g2"));

  auto regained = lines;
  regained.push_back(
    Line("08.000", "g1", "event=dependency_regained dependency=store"));
  CHECK_FALSE(HasFinding(ExplainFromLogs(regained, "r1"), "had lost"));
}

TEST_CASE("an errored item is followed across the owners of its job")
{
  const LogExplanation explanation = ExplainFromLogs(
    { Line("12.000", "g2", "event=job_claimed job=j1 last_owner=g1~1"),
      Line("10.000", "g1", "event=score_failed item=i1 job=j1 status=500"),
      Line("16.000", "g2", "event=score_failed item=i1 job=j1 status=500"),
      Line("16.200",
           "g2",
           "event=item_errored item=i1 job=j1 why=\"its scorer failed\"") },
    "i1");
  CHECK(explanation.ownLines_.size() == 3);
  CHECK(HasFinding(explanation,
                   "the item was abandoned (why: its scorer failed), at g2"));
  CHECK(HasFinding(explanation, "took its job over"));
}

TEST_CASE("an item whose run was delayed by a change of weights")
{
  const LogExplanation explanation = ExplainFromLogs(
    { Line("10.000", "o1", "event=order_sent upstream=u1 model=m version=4"),
      Line("11.600", "g1", "event=run_silent item=i1 upstream=u1 events=3") },
    "i1");
  CHECK(
    HasFinding(explanation, "the last run in the logs stopped sending events"));
  CHECK(
    HasFinding(explanation, "upstream u1 was ordered to change its weights"));
  CHECK(HasFinding(explanation,
                   "1 of its attempts were abandoned because they were slow"));
}

TEST_CASE("an id that no line names, and lines that cannot be parsed")
{
  const LogExplanation explanation =
    ExplainFromLogs({ "garbage", Line("10.000", "g1", "event=started") }, "r9");
  CHECK(explanation.ownLines_.empty());
  CHECK(explanation.linesRead_ == 2);
  CHECK(explanation.unparsed_ == 1);
  CHECK(HasFinding(explanation, "no line names this id"));
}

TEST_CASE("dropped lines are reported as a gap")
{
  const LogExplanation explanation = ExplainFromLogs(
    { Line("10.000", "g1", "event=attempt_failed id=r1 upstream=u1"),
      "level=WARN instance=g1 event=log_lines_left_out count=7" },
    "r1");
  CHECK(HasFinding(explanation, "lines were left out"));
  CHECK(HasFinding(explanation, "no line reports its end"));
}
