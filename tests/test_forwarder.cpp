/// Forwarding of requests: which are retried, which answers are accepted, and
/// what the caller gets.

#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

struct Fixture : GatewayFakes
{
  Forwarder forwarder_{ context_, upstreamTable_ };
  std::optional<ForwardOutcome> outcome_;

  Fixture()
  {
    AddUpstream("a", "svc");
    AddUpstream("b", "svc");
  }

  ForwardId Start(RouteKind aKind = RouteKind::Idempotent,
                  std::uint32_t aMaxAttempts = 2)
  {
    ForwardRequest request;
    request.attempt_ = "id1";
    request.method_ = "POST";
    request.target_ = "/p/1?q=2";
    request.headers_ = { { platform_->Names().attempt_, "id1" } };
    request.body_ = "body";
    request.service_ = ServiceId{ "svc" };
    request.kind_ = aKind;
    request.maxAttempts_ = aMaxAttempts;
    request.limit_ = 2s;
    request.objective_ = 1s;
    return forwarder_.Start(
      std::move(request),
      [this](ForwardOutcome aOutcome) { outcome_ = std::move(aOutcome); });
  }

  SentCall FirstCall() { return client_.open_.front(); }

  std::string Header(const SentCall& aCall, const std::string& aName)
  {
    return std::string(FindHeader(aCall.call_.headers_, aName).value_or(""));
  }
};

} // namespace

TEST_CASE("a request is forwarded unchanged, with its remaining time")
{
  Fixture fix;
  fix.Start();
  const SentCall call = fix.FirstCall();
  const WireNames& names = fix.platform_->Names();
  REQUIRE(call.call_.url_ == "http://a:1/p/1?q=2");
  REQUIRE(call.call_.method_ == "POST");
  REQUIRE(call.call_.body_ == "body");
  REQUIRE(fix.Header(call, names.attempt_) == "id1");
  REQUIRE(fix.Header(call, names.deadline_) == "2000");
  REQUIRE(fix.Header(call, names.expectUpstream_) == "a");
  fix.client_.Answer(call, fix.Answer(call, 200, "ok"));
  REQUIRE(fix.outcome_->answered_);
  REQUIRE(fix.outcome_->response_.body_ == "ok");
}

TEST_CASE("a second attempt gets only the remaining time")
{
  Fixture fix;
  fix.Start();
  fix.timers_.Advance(300ms);
  fix.client_.Fail(fix.FirstCall(), HttpEnd::Broken);
  REQUIRE(fix.Header(fix.FirstCall(), fix.platform_->Names().deadline_) ==
          "1700");
}

TEST_CASE("an answer that belongs to another request is not passed on")
{
  Fixture fix;
  fix.Start();
  const SentCall call = fix.FirstCall();
  HttpResponse other = fix.Answer(call, 200, "other");
  other.headers_.front().value_ = "id0";
  fix.client_.Answer(call, other);
  REQUIRE_FALSE(fix.outcome_);
  const SentCall second = fix.FirstCall();
  REQUIRE(second.call_.url_.starts_with("http://b:1"));
  fix.client_.Answer(second, fix.Answer(second, 200, "mine"));
  REQUIRE(fix.outcome_->response_.body_ == "mine");
}

// Guards against a duplicate answer that is accepted for a later request.
// Upstreams answered a few requests twice; the second answer was signed, short
// and late, and had no request id. It arrived after the next request was sent
// on the same connection, so a caller got a success, and a trainer a score,
// with the signature of another run. It carried the run number of the first
// answer and came sooner than any answer could. Later answers on that
// connection were each one request behind. All 56,711 valid answers of four
// simulations carried the id of their request, so an answer without an id is
// rejected.
TEST_CASE("an answer that does not name its request is not passed on")
{
  Fixture fix;
  fix.Start();
  const SentCall call = fix.FirstCall();
  HttpResponse second = fix.Answer(call, 200, "ok");
  second.headers_.erase(second.headers_.begin());
  fix.client_.Answer(call, second);
  REQUIRE_FALSE(fix.outcome_);
  const SentCall elsewhere = fix.FirstCall();
  REQUIRE(elsewhere.call_.url_.starts_with("http://b:1"));
  fix.client_.Answer(elsewhere, fix.Answer(elsewhere, 200, "mine"));
  REQUIRE(fix.outcome_->response_.body_ == "mine");
}

TEST_CASE("a refusal without the request's id does not allow a retry")
{
  Fixture fix;
  fix.Start(RouteKind::AtMostOnce, 3);
  const SentCall call = fix.FirstCall();
  HttpResponse refusal = fix.NotRun(call, 503);
  refusal.headers_.erase(refusal.headers_.begin());
  fix.client_.Answer(call, refusal);
  REQUIRE(fix.client_.sent_ == 1);
  REQUIRE(fix.outcome_->response_.status_ == 502);
  REQUIRE_FALSE(fix.outcome_->notRun_);
}

TEST_CASE("a request without an id is sent on a new connection")
{
  Fixture fix;
  ForwardRequest request;
  request.method_ = "GET";
  request.target_ = "/p";
  request.service_ = ServiceId{ "svc" };
  fix.forwarder_.Start(std::move(request), [&fix](ForwardOutcome aOutcome) {
    fix.outcome_ = std::move(aOutcome);
  });
  const SentCall call = fix.FirstCall();
  REQUIRE(call.call_.newConnection_);
  HttpResponse answer = fix.Answer(call, 200, "ok");
  answer.headers_.erase(answer.headers_.begin());
  fix.client_.Answer(call, answer);
  REQUIRE(fix.outcome_->answered_);
}

TEST_CASE("a success that is not signed is not passed on")
{
  Fixture fix;
  fix.Start(RouteKind::Idempotent, 1);
  const SentCall call = fix.FirstCall();
  HttpResponse unsignedAnswer = fix.Answer(call, 200, "x");
  unsignedAnswer.headers_.pop_back();
  fix.client_.Answer(call, unsignedAnswer);
  REQUIRE(fix.outcome_->response_.status_ == 502);
  REQUIRE_FALSE(fix.outcome_->answered_);
}

TEST_CASE("a success with an empty signature is not passed on")
{
  Fixture fix;
  fix.Start(RouteKind::Idempotent, 1);
  const SentCall call = fix.FirstCall();
  HttpResponse answer = fix.Answer(call, 200, "x");
  answer.headers_.back().value_.clear();
  fix.client_.Answer(call, answer);
  REQUIRE(fix.outcome_->response_.status_ == 502);
  REQUIRE_FALSE(fix.outcome_->answered_);
}

TEST_CASE("an upstream that did not run the request costs no attempt")
{
  Fixture fix;
  fix.Start(RouteKind::AtMostOnce, 1);
  fix.client_.Answer(fix.FirstCall(), fix.NotRun(fix.FirstCall(), 503));
  const SentCall second = fix.FirstCall();
  fix.client_.Answer(second, fix.Answer(second, 200, "ok"));
  REQUIRE(fix.outcome_->response_.status_ == 200);
}

TEST_CASE("a request that no upstream ran is refused with Retry-After")
{
  Fixture fix;
  const TimePoint startedAt = fix.clock_.Now();
  fix.Start();
  fix.client_.Answer(fix.FirstCall(), fix.NotRun(fix.FirstCall(), 503));
  fix.client_.Answer(fix.FirstCall(), fix.NotRun(fix.FirstCall(), 429));
  REQUIRE(fix.outcome_->response_.status_ == 503);
  REQUIRE(fix.outcome_->notRun_);
  REQUIRE(FindHeader(fix.outcome_->response_.headers_, "Retry-After"));
  REQUIRE(fix.clock_.Now() == startedAt);
}

// Guards against a refusal that is not true: the refusal answers the second
// sending, and the upstream may have run the first.
TEST_CASE("a request that was sent twice is not refused as not run")
{
  Fixture fix;
  fix.Start();
  REQUIRE(fix.FirstCall().call_.mayResend_);
  const SentCall first = fix.FirstCall();
  fix.client_.Answer(first, fix.NotRun(first, 503), true);
  fix.client_.Answer(fix.FirstCall(), fix.NotRun(fix.FirstCall(), 503));
  REQUIRE(fix.outcome_->response_.status_ == 502);
  REQUIRE_FALSE(fix.outcome_->notRun_);
}

TEST_CASE(
  "an at-most-once request that may have run is neither retried nor refused")
{
  Fixture fix;
  fix.Start(RouteKind::AtMostOnce, 3);
  REQUIRE(fix.FirstCall().call_.atMostOnce_);
  REQUIRE_FALSE(fix.FirstCall().call_.mayResend_);
  fix.client_.Fail(fix.FirstCall(), HttpEnd::Broken);
  REQUIRE(fix.client_.sent_ == 1);
  REQUIRE(fix.outcome_->response_.status_ == 502);
  REQUIRE_FALSE(fix.outcome_->notRun_);
}

TEST_CASE("a request of which no byte was sent is retried elsewhere")
{
  Fixture fix;
  fix.Start(RouteKind::AtMostOnce, 1);
  fix.client_.Fail(fix.FirstCall(), HttpEnd::NotSent);
  REQUIRE(fix.client_.sent_ == 2);
  fix.client_.Fail(fix.FirstCall(), HttpEnd::NotSent);
  REQUIRE(fix.outcome_->response_.status_ == 503);
}

TEST_CASE("the route limits the number of attempts that ran")
{
  Fixture fix;
  fix.AddUpstream("c", "svc");
  fix.Start(RouteKind::Idempotent, 2);
  fix.client_.Fail(fix.FirstCall(), HttpEnd::Broken);
  fix.client_.Fail(fix.FirstCall(), HttpEnd::Broken);
  REQUIRE(fix.client_.sent_ == 2);
  REQUIRE(fix.outcome_->response_.status_ == 502);
}

TEST_CASE("an upstream's own failure is tried elsewhere, then passed on")
{
  Fixture fix;
  fix.Start();
  const SentCall first = fix.FirstCall();
  fix.client_.Answer(first, fix.Answer(first, 500, "e1"));
  REQUIRE_FALSE(fix.outcome_);
  const SentCall second = fix.FirstCall();
  fix.client_.Answer(second, fix.Answer(second, 500, "e2"));
  REQUIRE(fix.outcome_->answered_);
  REQUIRE(fix.outcome_->response_.status_ == 500);
  REQUIRE(fix.outcome_->response_.body_ == "e2");
  REQUIRE(fix.outcome_->failures_ == 2);
}

TEST_CASE("a slow idempotent request is retried at another upstream")
{
  Fixture fix;
  fix.Start();
  fix.timers_.Advance(699ms);
  REQUIRE(fix.client_.sent_ == 1);
  fix.timers_.Advance(2ms);
  REQUIRE(fix.client_.sent_ == 2);
  REQUIRE(fix.client_.cancelled_ == 1);
  // The last attempt has no attempt timeout.
  fix.timers_.Advance(1200ms);
  REQUIRE(fix.client_.sent_ == 2);
}

TEST_CASE("at its time limit a request gets its final answer")
{
  Fixture fix;
  fix.Start(RouteKind::AtMostOnce);
  fix.timers_.Advance(2s);
  REQUIRE(fix.outcome_->response_.status_ == 504);
  REQUIRE(fix.client_.open_.empty());
}

TEST_CASE("an attempt that used up the time limit ends with 504, not 502")
{
  Fixture fix;
  fix.Start(RouteKind::AtMostOnce);
  fix.timers_.Advance(1990ms);
  fix.client_.Fail(fix.FirstCall(), HttpEnd::TimedOut);
  REQUIRE(fix.outcome_);
  REQUIRE(fix.outcome_->response_.status_ == 504);
  REQUIRE_FALSE(fix.outcome_->notRun_);
}

TEST_CASE("a request whose caller disconnected is cancelled")
{
  Fixture fix;
  const ForwardId id = fix.Start();
  fix.forwarder_.Cancel(id);
  REQUIRE(fix.client_.open_.empty());
  REQUIRE(fix.timers_.size() == 0);
  fix.timers_.Advance(10s);
  REQUIRE_FALSE(fix.outcome_);
  REQUIRE(fix.upstreamTable_.Find(UpstreamId{ "a" })->inFlight_ == 0);
}

TEST_CASE("an address that another incarnation took over is avoided")
{
  Fixture fix;
  fix.Start();
  fix.client_.Answer(fix.FirstCall(), fix.Answer(fix.FirstCall(), 421, ""));
  fix.outcome_.reset();
  const SentCall second = fix.FirstCall();
  REQUIRE(second.call_.url_.starts_with("http://b:1"));
  REQUIRE(fix.upstreamTable_.Pick(ServiceId{ "svc" }, {}, fix.clock_.Now())
            ->entry_.id_ == UpstreamId{ "b" });
}

TEST_CASE("headers of one connection and those set here are not passed on")
{
  const WireNames names = MakePlatform()->Names();
  const HttpHeaders forwardable =
    ForwardableHeaders({ { "Connection", "close" },
                         { "KEEP-ALIVE", "5" },
                         { "Transfer-Encoding", "chunked" },
                         { "Content-Length", "3" },
                         { names.deadline_, "9" },
                         { names.expectUpstream_, "x" },
                         { "X-Own", "1" } },
                       names);
  REQUIRE(forwardable.size() == 1);
  REQUIRE(forwardable.front().name_ == "X-Own");
}

TEST_CASE("a request at a restarted upstream is retried elsewhere")
{
  Fixture fix;
  fix.Start();
  fix.timers_.Advance(600ms);
  fix.forwarder_.OnUpstreamRestarted(UpstreamId{ "a" });
  REQUIRE(fix.client_.cancelled_ == 1);
  REQUIRE(fix.FirstCall().call_.url_ == "http://b:1/p/1?q=2");
  fix.client_.Answer(fix.FirstCall(), fix.Answer(fix.FirstCall(), 200, "ok"));
  REQUIRE(fix.outcome_->answered_);
}

TEST_CASE("an at-most-once request lost by a restart has an unknown outcome")
{
  Fixture fix;
  fix.Start(RouteKind::AtMostOnce);
  fix.timers_.Advance(600ms);
  fix.forwarder_.OnUpstreamRestarted(UpstreamId{ "a" });
  REQUIRE(fix.outcome_->response_.status_ == 502);
  REQUIRE_FALSE(fix.outcome_->notRun_);
  REQUIRE(fix.client_.sent_ == 1);
}

TEST_CASE("a request sent just before a restart became known continues")
{
  Fixture fix;
  fix.Start();
  fix.timers_.Advance(100ms);
  fix.forwarder_.OnUpstreamRestarted(UpstreamId{ "a" });
  fix.forwarder_.OnUpstreamRestarted(UpstreamId{ "b" });
  REQUIRE(fix.client_.cancelled_ == 0);
}

TEST_CASE("a call that is slow everywhere does not time out at each upstream")
{
  Fixture fix;
  fix.AddUpstream("c", "svc");
  fix.AddUpstream("d", "svc");
  fix.Start(RouteKind::Idempotent, 4);
  // It takes 1.2 s at every upstream, longer than the first timeout of 0.7 s.
  for (int tick = 0; tick < 190 && !fix.outcome_; ++tick) {
    fix.timers_.Advance(10ms);
    const auto& open = fix.client_.open_;
    if (tick == 70 + 120 - 1 && !open.empty()) {
      fix.client_.Answer(fix.FirstCall(),
                         fix.Answer(fix.FirstCall(), 200, "ok"));
    }
  }
  REQUIRE(fix.client_.sent_ == 2);
  REQUIRE(fix.outcome_->answered_);
}
