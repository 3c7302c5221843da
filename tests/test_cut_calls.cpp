/// Responses to calls of the gateways and of the holders of duties that are cut
/// within their heads or bodies, received by the real HTTP client.

#include "job_fixture.hpp"
#include "socket_answer.hpp"
#include "supply_fixture.hpp"
#include "usage_fixture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const std::string kEcho = "Attempt-Id: {id}\r\n";
const std::string kProof = kEcho + "Response-Signature: s9\r\n";
const std::string kVersion = "Weight-Versions: 5\r\n";

/// @param aFields fields that come before those that tell the length
std::string
WholeAnswer(int aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " x\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// @returns beginnings of a response of an upstream, each longer than the last;
/// some end within the head, some within the body
std::vector<std::string>
CutUpstreamAnswers(int aStatus, const std::string& aFields)
{
  const std::string whole = WholeAnswer(aStatus, aFields, "failed");
  const std::size_t length = whole.find("Content-Length");
  return { whole.substr(0, whole.find("\r\n") + 2),
           whole.substr(0, length),
           whole.substr(0, length + 10),
           whole.substr(0, whole.find("\r\n\r\n") + 2),
           whole.substr(0, whole.find("\r\n\r\n") + 4),
           whole.substr(0, whole.size() - 1) };
}

struct CutJobFixture : JobFixture
{
  /// Ends the oldest call with these bytes, once there is a call.
  void EndNext(const std::string& aBytes)
  {
    for (int i = 0; client_.open_.empty() && i < 50; ++i) {
      timers_.Advance(100ms);
    }
    REQUIRE_FALSE(client_.open_.empty());
    EndWithBytes(client_, Call(), aBytes, "Attempt-Id");
  }

  [[nodiscard]] bool Scoring()
  {
    return !client_.open_.empty() &&
           Call().call_.url_.find("/s/1") != std::string::npos;
  }

  /// Ends the item with a whole text and a whole score.
  void Finish()
  {
    if (!Scoring()) {
      EndNext(
        WholeAnswer(200, kProof + kVersion, Event(1, "a") + Event(2, "b")));
    }
    EndNext(WholeAnswer(200, kProof, "ok"));
    timers_.Advance(300ms);
  }

  void CheckCompleted()
  {
    const auto stored = Stored();
    REQUIRE(stored.size() == 1);
    CHECK(stored.front().completed_);
    CHECK(stored.front().text_ == "a\nb");
    CHECK(stored.front().score_ == "s9");
  }
};

} // namespace

// A refusal that was cut within its head was taken for 200: the window was
// never reported.
TEST_CASE("a usage report with a cut answer is sent again with the same counts")
{
  const std::string bytes =
    GENERATE(from_range(CutAnswersOf({ 200, 409, 429, 503 })));
  CAPTURE(bytes);
  UsageFixture fix;
  Holder holder(fix, "o1~1");
  holder.lease_.Start();
  const CustomerId customer{ "north" };
  const UsageWindow window = fix.CurrentWindow();
  holder.gateway_.usage_.counts_ = { { window, { { customer, 3 } } } };
  fix.timers_.Advance(9s);
  REQUIRE(holder.client_.open_.size() == 1);
  const std::string body = holder.client_.Oldest().call_.body_;
  REQUIRE(body.find(R"("north":3)") != std::string::npos);
  EndWithBytes(holder.client_, holder.client_.Oldest(), bytes);
  CHECK(holder.lease_.Active());
  holder.gateway_.usage_.counts_ = { { window, { { customer, 5 } } } };
  fix.timers_.Advance(1100ms);
  REQUIRE(holder.client_.open_.size() == 1);
  CHECK(holder.client_.Oldest().call_.body_ == body);
}

// A refusal that was cut within its head was taken for 200: the upstreams were
// believed to be on their way.
TEST_CASE("an order of upstreams with a cut answer is sent again at once")
{
  const std::string bytes =
    GENERATE(from_range(CutAnswersOf({ 200, 409, 429, 503 })));
  CAPTURE(bytes);
  SupplyFixture fix;
  fix.Round(30);
  fix.timers_.Advance(100ms);
  REQUIRE(fix.client_.open_.size() == 2);
  const std::string body = fix.client_.Oldest().call_.body_;
  EndWithBytes(fix.client_, fix.client_.Oldest(), bytes);
  fix.Round(30);
  fix.timers_.Advance(100ms);
  REQUIRE(fix.client_.open_.size() == 2);
  CHECK(fix.client_.open_.back().call_.body_ == body);
}

TEST_CASE("an order of weights with a cut answer is neither accepted nor done")
{
  const std::string bytes =
    GENERATE(from_range(CutAnswersOf({ 200, 202, 409, 412, 421, 503 })));
  CAPTURE(bytes);
  DutyFixture fix;
  fix.AnswerReport(1000, 4);
  REQUIRE(fix.OldestPath() == "http://e:1/order");
  EndWithBytes(fix.client_, fix.client_.Oldest(), bytes);
  CHECK(fix.duty_.lease_.Active());
  fix.timers_.Advance(600ms);
  // What became of the order is in the next report.
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
}

TEST_CASE("a report of an upstream that is cut is read again before an order")
{
  const std::string whole =
    R"({"busy":false,"seq":7,"models":[{"name":"m","version":2}]})";
  const std::string bytes = GENERATE_COPY(from_range(CutAnswers(200, whole)));
  CAPTURE(bytes);
  DutyFixture fix;
  REQUIRE(fix.OldestPath() == "http://e:1/report");
  EndWithBytes(fix.client_, fix.client_.Oldest(), bytes);
  CHECK(fix.client_.open_.empty());
  fix.timers_.Advance(600ms);
  fix.AnswerReport(1000, 4);
  fix.AcceptOrder("4");
}

TEST_CASE("a run whose failure is cut is not a failed run of its item")
{
  const int status = GENERATE(200, 421, 422, 500, 503);
  const std::string fields = GENERATE(kEcho, kProof + kVersion);
  for (const std::string& bytes : CutUpstreamAnswers(status, fields)) {
    CAPTURE(bytes);
    CutJobFixture fix;
    fix.Accept(1);
    // More often than an item may fail.
    for (int i = 0; i < 3; ++i) {
      fix.EndNext(bytes);
      CHECK_FALSE(fix.Scoring());
    }
    fix.Finish();
    fix.CheckCompleted();
  }
}

TEST_CASE("a text that is cut continues after its last event and is not scored")
{
  const std::string text = Event(1, "a") + Event(2, "b");
  const std::string whole = WholeAnswer(200, kProof + kVersion, text);
  const std::size_t missing =
    GENERATE_COPY(std::size_t{ 1 }, Event(2, "b").size(), text.size());
  CAPTURE(missing);
  CutJobFixture fix;
  fix.Accept(1);
  fix.EndNext(whole.substr(0, whole.size() - missing));
  REQUIRE_FALSE(fix.client_.open_.empty());
  CHECK_FALSE(fix.Scoring());
  CHECK(fix.Header(fix.Call(), "Last-Event-Id") ==
        (missing == text.size() ? "" : "1"));
}

// A score that was cut within its head was taken for one: its signature was
// received.
TEST_CASE("a cut answer to a reward call is no score and no failure")
{
  const int status = GENERATE(200, 500, 503);
  for (const std::string& bytes :
       CutUpstreamAnswers(status, kEcho + "Response-Signature: no\r\n")) {
    CAPTURE(bytes);
    CutJobFixture fix;
    fix.Accept(1);
    fix.CompleteItem();
    // More often than a reward call may fail.
    for (int i = 0; i < 5; ++i) {
      fix.EndNext(bytes);
      REQUIRE(fix.Stored().empty());
    }
    fix.Finish();
    fix.CheckCompleted();
  }
}
