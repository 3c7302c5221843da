/// Streams of callers: events are passed on as they arrive, a broken stream is
/// resumed within one response or aborted so that it is visibly incomplete.

#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

std::string
Event(int aNumber, const std::string& aData = "x")
{
  return "id: " + std::to_string(aNumber) + "\ndata: " + aData + "\n\n";
}

struct Fixture : GatewayFakes
{
  Forwarder forwarder_{ context_, upstreamTable_ };
  std::shared_ptr<FakeReply> reply_ = std::make_shared<FakeReply>();
  std::optional<ForwardOutcome> outcome_;
  HttpHeaders extra_;

  Fixture()
  {
    AddUpstream("a", "svc");
    AddUpstream("b", "svc");
  }

  ForwardId Start(bool aResumable, std::uint32_t aMaxAttempts = 3)
  {
    ForwardRequest request;
    request.attempt_ = "id1";
    request.method_ = "POST";
    request.target_ = "/p";
    request.headers_ = { { platform_->Names().attempt_, "id1" } };
    request.headers_.insert(
      request.headers_.end(), extra_.begin(), extra_.end());
    request.service_ = ServiceId{ "svc" };
    request.kind_ = RouteKind::Stream;
    request.resumable_ = aResumable;
    request.reply_ = reply_;
    request.maxAttempts_ = aMaxAttempts;
    request.limit_ = 10s;
    return forwarder_.Start(
      std::move(request),
      [this](ForwardOutcome aOutcome) { outcome_ = std::move(aOutcome); });
  }

  HttpCall& Call() { return client_.open_.front().call_; }

  /// Delivers the head of an event stream.
  void Head(const std::string& aSigned = "s1")
  {
    const WireNames& names = platform_->Names();
    Call().onHead_(200,
                   { { "Content-Type", "text/event-stream; charset=utf-8" },
                     { names.attempt_, "id1" },
                     { names.signature_, aSigned } });
  }

  bool Data(const std::string& aBytes) { return Call().onData_(aBytes); }

  void End(HttpEnd aEnd)
  {
    SentCall call = client_.open_.front();
    if (aEnd == HttpEnd::Complete) {
      client_.open_.pop_front();
      call.done_({ HttpEnd::Complete, { 200, {}, {} }, {} });
    } else {
      client_.Fail(std::move(call), aEnd);
    }
  }

  std::string LastEvent()
  {
    return std::string(
      FindHeader(Call().headers_, platform_->Names().lastEvent_)
        .value_or("none"));
  }
};

} // namespace

TEST_CASE("each event of a stream is passed on as it arrives")
{
  Fixture fix;
  fix.Start(false);
  fix.Head();
  CHECK(fix.reply_->status_ == 0);
  REQUIRE(fix.Data(Event(1) + "id: 2\nda"));
  CHECK(fix.reply_->status_ == 200);
  CHECK(fix.reply_->body_ == Event(1));
  CHECK(FindHeader(fix.reply_->headers_, fix.platform_->Names().signature_) ==
        "s1");
  REQUIRE(fix.Data("ta: x\n\n"));
  CHECK(fix.reply_->body_ == Event(1) + Event(2));
  CHECK_FALSE(fix.outcome_);
  fix.End(HttpEnd::Complete);
  REQUIRE(fix.outcome_);
  CHECK(fix.outcome_->headSent_);
  CHECK(fix.outcome_->answered_);
}

TEST_CASE("a broken resumable stream continues in the same response")
{
  Fixture fix;
  fix.Start(true);
  CHECK(fix.LastEvent() == "none");
  fix.Head();
  REQUIRE(fix.Data(Event(1) + Event(2) + "id: 3\ndata: hal"));
  fix.End(HttpEnd::Broken);
  REQUIRE(fix.client_.open_.size() == 1);
  CHECK(fix.Call().url_.starts_with("http://b:1"));
  CHECK(fix.LastEvent() == "2");
  fix.Head("s2");
  REQUIRE(fix.Data(Event(3, "half")));
  fix.End(HttpEnd::Complete);
  CHECK(fix.reply_->body_ == Event(1) + Event(2) + Event(3, "half"));
  CHECK(fix.reply_->beginCalls_ == 1);
  CHECK(FindHeader(fix.reply_->headers_, fix.platform_->Names().signature_) ==
        "s1");
  CHECK(fix.outcome_->answered_);
}

TEST_CASE("a broken stream that may not run again ends visibly incomplete")
{
  Fixture fix;
  fix.Start(false);
  fix.Head();
  REQUIRE(fix.Data(Event(1)));
  fix.End(HttpEnd::Broken);
  REQUIRE(fix.outcome_);
  CHECK(fix.client_.sent_ == 1);
  CHECK(fix.outcome_->headSent_);
  CHECK_FALSE(fix.outcome_->answered_);
  CHECK_FALSE(fix.outcome_->notRun_);
}

TEST_CASE("a stream that broke before its first event is answered as failed")
{
  Fixture fix;
  fix.Start(false);
  fix.Head();
  REQUIRE(fix.Data("id: 1\ndata: x\n"));
  fix.End(HttpEnd::Broken);
  REQUIRE(fix.outcome_);
  CHECK(fix.reply_->status_ == 0);
  CHECK_FALSE(fix.outcome_->headSent_);
  CHECK(fix.outcome_->response_.status_ == 502);
}

TEST_CASE("a stream that ends within an event is incomplete")
{
  Fixture fix;
  fix.Start(true, 2);
  fix.Head();
  REQUIRE(fix.Data(Event(1) + "id: 2\n"));
  fix.End(HttpEnd::Complete);
  REQUIRE_FALSE(fix.outcome_);
  CHECK(fix.LastEvent() == "1");
  fix.Head();
  REQUIRE(fix.Data("id: 2\n"));
  fix.End(HttpEnd::Complete);
  REQUIRE(fix.outcome_);
  CHECK_FALSE(fix.outcome_->answered_);
  CHECK(fix.reply_->body_ == Event(1));
}

TEST_CASE(
  "an event out of sequence ends the attempt after the events before it")
{
  Fixture fix;
  fix.Start(true);
  fix.Head();
  CHECK_FALSE(fix.Data(Event(1) + Event(3)));
  fix.End(HttpEnd::Cancelled);
  CHECK(fix.reply_->body_ == Event(1));
  CHECK(fix.LastEvent() == "1");
  fix.Head();
  // An upstream that starts over would repeat the first event.
  CHECK_FALSE(fix.Data(Event(1)));
  CHECK(fix.reply_->body_ == Event(1));
}

TEST_CASE("a stream without numbers is not resumed")
{
  Fixture fix;
  fix.Start(true);
  fix.Head();
  REQUIRE(fix.Data("data: x\n\n"));
  fix.End(HttpEnd::Broken);
  REQUIRE(fix.outcome_);
  CHECK(fix.client_.sent_ == 1);
  CHECK_FALSE(fix.outcome_->answered_);
}

TEST_CASE("a caller that resumes gets only what follows its last event")
{
  Fixture fix;
  fix.extra_ = { { fix.platform_->Names().lastEvent_, "4" } };
  fix.Start(false);
  CHECK(fix.LastEvent() == "4");
  CHECK(fix.Call().headers_.size() == 4);
  fix.Head();
  REQUIRE(fix.Data(Event(5)));
  CHECK_FALSE(fix.Data(Event(5)));
  CHECK(fix.reply_->body_ == Event(5));
}

TEST_CASE("a stream refused by one upstream runs at another")
{
  Fixture fix;
  fix.Start(false, 1);
  const HttpResponse refusal = fix.NotRun(fix.client_.Oldest(), 503);
  fix.client_.Answer(fix.client_.Oldest(), refusal);
  CHECK(fix.Call().url_.starts_with("http://b:1"));
  fix.Head();
  REQUIRE(fix.Data(Event(1)));
  fix.End(HttpEnd::Complete);
  CHECK(fix.outcome_->answered_);
}

TEST_CASE("a stream refused by all upstreams is refused with Retry-After")
{
  Fixture fix;
  fix.Start(false);
  fix.client_.Answer(fix.client_.Oldest(),
                     fix.NotRun(fix.client_.Oldest(), 503));
  fix.client_.Answer(fix.client_.Oldest(),
                     fix.NotRun(fix.client_.Oldest(), 503));
  REQUIRE(fix.outcome_);
  CHECK(fix.outcome_->notRun_);
  CHECK(fix.outcome_->response_.status_ == 503);
  CHECK(FindHeader(fix.outcome_->response_.headers_, "Retry-After"));
}

TEST_CASE("an upstream's error on a stream's route is passed on completely")
{
  Fixture fix;
  fix.Start(false);
  fix.client_.Answer(fix.client_.Oldest(),
                     fix.Answer(fix.client_.Oldest(), 400, "no such prompt"));
  REQUIRE(fix.outcome_);
  CHECK_FALSE(fix.outcome_->headSent_);
  CHECK(fix.outcome_->response_.status_ == 400);
  CHECK(fix.outcome_->response_.body_ == "no such prompt");
}

TEST_CASE("an answer without end that is no stream does not keep its caller")
{
  const int status = GENERATE(200, 500);
  Fixture fix;
  fix.Start(true, 1);
  const WireNames& names = fix.platform_->Names();
  fix.Call().onHead_(status,
                     { { names.attempt_, "id1" }, { names.signature_, "s" } });
  const std::string bytes(1U << 16U, 'x');
  int pieces = 0;
  while (pieces < 100 && fix.Data(bytes)) {
    ++pieces;
  }
  REQUIRE(pieces < 100);
  fix.End(HttpEnd::Cancelled);
  REQUIRE(fix.outcome_->response_.status_ == 502);
  REQUIRE_FALSE(fix.outcome_->notRun_);
}

TEST_CASE("an unsigned stream is rejected at its first bytes")
{
  Fixture fix;
  fix.Start(true);
  fix.Call().onHead_(200, { { "Content-Type", "text/event-stream" } });
  CHECK_FALSE(fix.Data(Event(1)));
  CHECK(fix.reply_->status_ == 0);
  fix.End(HttpEnd::Cancelled);
  fix.Head();
  REQUIRE(fix.Data(Event(1)));
  fix.End(HttpEnd::Complete);
  CHECK(fix.outcome_->answered_);
}

TEST_CASE("a stalled stream is resumed elsewhere if it is resumable")
{
  Fixture fix;
  const bool resumable = GENERATE(true, false);
  fix.Start(resumable);
  fix.Head();
  REQUIRE(fix.Data(Event(1)));
  fix.timers_.Advance(1400ms);
  REQUIRE(fix.Data(Event(2)));
  fix.timers_.Advance(1400ms);
  CHECK(fix.client_.sent_ == 1);
  fix.timers_.Advance(200ms);
  CHECK(fix.client_.sent_ == (resumable ? 2 : 1));
  CHECK(fix.client_.open_.size() == 1);
  CHECK(fix.LastEvent() == (resumable ? "2" : "none"));
}

TEST_CASE("a stream is visibly incomplete at its time limit")
{
  Fixture fix;
  fix.Start(false);
  fix.Head();
  REQUIRE(fix.Data(Event(1)));
  fix.timers_.Advance(10s);
  REQUIRE(fix.outcome_);
  CHECK(fix.outcome_->headSent_);
  CHECK_FALSE(fix.outcome_->answered_);
  CHECK(fix.client_.cancelled_ == 1);
}

TEST_CASE("a stream whose caller disconnected is cancelled")
{
  Fixture fix;
  fix.Start(true);
  fix.Head();
  REQUIRE(fix.Data(Event(1)));
  fix.reply_->CompleteWrites(false);
  CHECK(fix.client_.cancelled_ == 1);
  CHECK_FALSE(fix.outcome_);
}

TEST_CASE("a caller that reads nothing pauses its upstream")
{
  Fixture fix;
  fix.Start(false);
  fix.Head();
  int number = 0;
  while (fix.Call().mayReceive_()) {
    REQUIRE(fix.Data(Event(++number, std::string(1000, 'x'))));
    REQUIRE(number < 1000);
  }
  CHECK(number > 200);
  CHECK(fix.client_.resumed_ == 0);
  fix.reply_->CompleteWrites(true);
  CHECK(fix.client_.resumed_ == 1);
  CHECK(fix.Call().mayReceive_());
}
