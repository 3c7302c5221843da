/// Quarantine of a request that crashes every upstream that runs it: when it is
/// refused, what its caller gets, and that other requests are not affected.

#include "gateway_fixture.hpp"
#include "programs/gatewayd/job_runner.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

constexpr auto kCrashingBody = "deadly";
/// Time from a crash to the end of the registration: three heartbeats of 1.2 s.
constexpr auto kRegistrationLag = 3600ms;
/// Time for calls between gateways and for reports to settle.
constexpr auto kReportSettleTime = 500ms;

/// One gateway, with upstreams that the request `kCrashingBody` crashes.
struct TestGateway : GatewayFakes
{
  LinkedPeers linked_;
  GatewayContext host_{ { &settings_,
                          platform_.get(),
                          &client_,
                          &timers_,
                          &store_,
                          &clock_,
                          &clock_,
                          &clock_,
                          &metrics_,
                          &relays_,
                          &linked_,
                          "self~1" } };
  Forwarder forwarder_{ host_, upstreamTable_ };
  std::vector<ForwardOutcome> outcomes_;
  int crashes_ = 0;

  explicit TestGateway(int aUpstreams = 8)
  {
    timers_.Advance(1h);
    for (int i = 0; i < aUpstreams; ++i) {
      StartUpstream("u" + std::to_string(i), "svc");
    }
  }

  void StartUpstream(const std::string& aId, const std::string& aService)
  {
    AddUpstream(aId, aService, 5);
    forwarder_.Quarantine().OnEntry(
      upstreamTable_.Find(UpstreamId{ aId })->entry_);
  }

  void RemoveUpstream(const std::string& aId)
  {
    upstreamTable_.OnRemoved(UpstreamId{ aId }, host_.Now());
    forwarder_.Quarantine().OnVanished(UpstreamId{ aId });
  }

  ForwardId Start(const std::string& aBody,
                  RouteKind aKind = RouteKind::AtMostOnce,
                  std::uint32_t aMaxAttempts = 1)
  {
    ForwardRequest request;
    request.attempt_ = "id" + std::to_string(client_.sent_);
    request.method_ = "POST";
    request.target_ = "/p/1";
    request.headers_ = { { "Host", "h" },
                         { platform_->Names().attempt_, request.attempt_ } };
    request.body_ = aBody;
    request.service_ = ServiceId{ "svc" };
    request.kind_ = aKind;
    request.maxAttempts_ = aMaxAttempts;
    return forwarder_.Start(std::move(request),
                            [this](ForwardOutcome aOutcome) {
                              outcomes_.push_back(std::move(aOutcome));
                            });
  }

  static std::string UpstreamOf(const SentCall& aCall)
  {
    const std::string& url = aCall.call_.url_;
    return url.substr(7, url.find(':', 7) - 7);
  }

  /// Crashes an upstream: its connections break at once, its registration ends
  /// later.
  void Crash(const std::string& aId)
  {
    ++crashes_;
    std::vector<SentCall> lost;
    for (const SentCall& call : client_.open_) {
      if (UpstreamOf(call) == aId) {
        lost.push_back(call);
      }
    }
    for (const SentCall& call : lost) {
      client_.Fail(call, HttpEnd::Broken);
    }
    timers_.After(kRegistrationLag, [this, aId] { RemoveUpstream(aId); });
  }

  /// Lets the upstreams process all open calls, the crashing request first.
  void Serve()
  {
    while (!client_.open_.empty()) {
      const auto crashing = std::find_if(
        client_.open_.begin(), client_.open_.end(), [](const SentCall& aCall) {
          return aCall.call_.body_ == kCrashingBody;
        });
      timers_.Advance(10ms);
      if (crashing != client_.open_.end()) {
        Crash(UpstreamOf(*crashing));
        continue;
      }
      const SentCall call = client_.Oldest();
      client_.Answer(call, Answer(call, 200, "ok"));
    }
  }
};

/// One gateway with jobs, whose items may include the crashing request.
struct TestJobGateway : TestGateway
{
  RouteTable routes_;
  JobStore jobs_{ host_ };
  JobRunner runner_{ host_, routes_, upstreamTable_, forwarder_, jobs_ };

  explicit TestJobGateway(int aUpstreams)
    : TestGateway(0)
  {
    RoutingConfig config;
    config.revision_ = ConfigRevision{ 1 };
    Route route;
    route.host_ = "h";
    route.prefix_ = "/i/";
    route.kind_ = RouteKind::Rollout;
    route.maxAttempts_ = 2;
    route.runDeadline_ = 30s;
    route.maxQueue_ = 40s;
    route.services_ = { { ServiceId{ "lm" }, 1 } };
    config.routes_ = { route };
    routes_.Apply(config);
    for (int i = 0; i < aUpstreams; ++i) {
      StartUpstream("e" + std::to_string(i), "lm");
    }
  }

  void Accept(const JobId& aJob, const std::vector<std::string>& aBodies)
  {
    JobSpec spec;
    spec.model_ = "m";
    spec.minVersion_ = WeightVersion{ 5 };
    for (const std::string& body : aBodies) {
      JobItem item;
      item.id_ = ItemId{ aJob.Get() + body };
      item.group_ = GroupId{ body };
      item.path_ = "/i/" + body;
      item.body_ = body;
      spec.items_.push_back(std::move(item));
    }
    FencingNumber fence;
    jobs_.Accept(aJob,
                 { "h", "/i/job", "body" },
                 spec.items_.size(),
                 [&](const AcceptResult& aResult) { fence = aResult.fence_; });
    timers_.Advance(10ms);
    runner_.Add(
      aJob, fence, { "h", "/i/job", "body" }, std::move(spec), {}, {}, {});
  }

  void ServeItems()
  {
    while (!client_.open_.empty()) {
      const SentCall call = client_.Oldest();
      timers_.Advance(10ms);
      if (call.call_.body_ == kCrashingBody) {
        Crash(UpstreamOf(call));
      } else {
        HttpResponse response = Answer(call, 200, "id: 1\ndata: a\n\n");
        response.headers_.push_back({ platform_->Names().versions_, "5" });
        client_.Answer(call, response);
      }
    }
  }

  /// Advances the time, so that registrations end and items are sent.
  void AdvanceAndServe(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += 100ms) {
      timers_.Advance(100ms);
      runner_.OnUpstreamsChanged();
      ServeItems();
    }
  }
};

} // namespace

TEST_CASE("a request that crashed two upstreams is refused")
{
  TestGateway gateway;
  for (int round = 0; round < 2; ++round) {
    gateway.Start(kCrashingBody);
    gateway.Serve();
    REQUIRE(gateway.outcomes_.back().response_.status_ == 502);
    gateway.timers_.Advance(kRegistrationLag + kReportSettleTime);
  }
  REQUIRE(gateway.crashes_ == 2);
  for (int round = 0; round < 5; ++round) {
    const std::size_t sent = gateway.client_.sent_;
    gateway.Start(kCrashingBody);
    REQUIRE(gateway.client_.sent_ == sent);
    const ForwardOutcome& refused = gateway.outcomes_.back();
    REQUIRE(refused.response_.status_ == 503);
    REQUIRE(refused.notRun_);
    REQUIRE(refused.response_.body_.find("quarantined") != std::string::npos);
    REQUIRE(FindHeader(refused.response_.headers_, "Retry-After"));
  }
  gateway.Start("mild");
  gateway.Serve();
  REQUIRE(gateway.outcomes_.back().response_.status_ == 200);
}

// Guards against the quarantine of an innocent item, for which a trainer's step
// would wait: the item was running on two upstreams, one after the other, when
// they crashed for another reason. A request that crashes its upstream does so
// soon after it starts.
TEST_CASE("an item that ran for long before upstreams crashed is no suspect")
{
  TestJobGateway gateway(6);
  gateway.Accept(JobId{ "j1" }, { "unlucky" });
  int event = 0;
  for (int crash = 0; crash < 3; ++crash) {
    REQUIRE(gateway.client_.open_.size() == 1);
    const SentCall call = gateway.client_.Oldest();
    HttpResponse head = gateway.Answer(call, 200, "");
    head.headers_.push_back({ gateway.platform_->Names().versions_, "5" });
    REQUIRE(call.call_.onHead_(head.status_, head.headers_));
    // The registration of the upstream that crashed before ends meanwhile.
    for (int i = 0; i < 42; ++i) {
      const std::string id = std::to_string(++event);
      REQUIRE(call.call_.onData_("id: " + id + "\ndata: a\n\n"));
      gateway.timers_.Advance(100ms);
      gateway.runner_.OnUpstreamsChanged();
    }
    gateway.Crash(TestJobGateway::UpstreamOf(call));
  }
  gateway.timers_.Advance(100ms);
  REQUIRE(gateway.client_.open_.size() == 1);
}

// Guards against an item that is never placed again: it was running, without an
// event yet, at several upstreams that crashed in a burst, and was refused for
// longer than its job lasts. Items do not crash upstreams by themselves.
TEST_CASE("an item under which upstreams crashed in a burst is placed again")
{
  TestJobGateway gateway(6);
  const bool told = GENERATE(false, true);
  const JobId job{ "j1" };
  if (told) {
    // A gateway of an earlier version reports the item.
    SuspicionUpdate update;
    update.fingerprint_ = FingerprintOf("POST", "h", "/i/unlucky", "unlucky");
    update.crashes_ = { { UpstreamId{ "e8" }, 1s, 100ms },
                        { UpstreamId{ "e9" }, 1s, 100ms } };
    update.refusedFor_ = 10min;
    RpcCall call;
    call.topic_ = RpcTopic::Suspicion;
    call.body_ = Encode(std::vector{ update });
    gateway.linked_.handlers_.at(RpcTopic::Suspicion)(call,
                                                      [](const RpcReply&) {});
  }
  gateway.Accept(job, { "unlucky" });
  for (int crash = 0; crash < 5; ++crash) {
    REQUIRE(gateway.client_.open_.size() == 1);
    gateway.Crash(TestJobGateway::UpstreamOf(gateway.client_.Oldest()));
    gateway.timers_.Advance(400ms);
    gateway.runner_.OnUpstreamsChanged();
  }
  gateway.timers_.Advance(kRegistrationLag + kReportSettleTime);
  gateway.AdvanceAndServe(3s);
  const JobLedger& ledger = *gateway.runner_.Find(job);
  REQUIRE(ledger.Listed().size() == 1);
  REQUIRE(ledger.ResultOf(0).completed_);
}

// As for items: a score is owed to the item whose text is complete.
TEST_CASE("a score under which upstreams crashed in a burst is sent again")
{
  TestGateway gateway(6);
  ForwardRequest score;
  score.attempt_ = "score";
  score.method_ = "POST";
  score.target_ = "/p/1";
  score.headers_ = { { "Host", "h" },
                     { gateway.platform_->Names().attempt_, "score" } };
  score.body_ = "score";
  score.service_ = ServiceId{ "svc" };
  score.maxAttempts_ = 2;
  score.trusted_ = true;
  for (int round = 0; round < 3; ++round) {
    gateway.forwarder_.Start(score, [&gateway](ForwardOutcome aOutcome) {
      gateway.outcomes_.push_back(std::move(aOutcome));
    });
    while (!gateway.client_.open_.empty()) {
      gateway.Crash(TestGateway::UpstreamOf(gateway.client_.Oldest()));
    }
    REQUIRE(gateway.outcomes_.back().response_.status_ == 502);
    gateway.timers_.Advance(kRegistrationLag + kReportSettleTime);
  }
  REQUIRE(gateway.crashes_ == 6);
  gateway.StartUpstream("v0", "svc");
  gateway.forwarder_.Start(score, [&gateway](ForwardOutcome aOutcome) {
    gateway.outcomes_.push_back(std::move(aOutcome));
  });
  gateway.Serve();
  REQUIRE(gateway.outcomes_.back().response_.status_ == 200);
}

TEST_CASE("gateways report crashes to each other, and nothing else")
{
  TestGateway one;
  TestGateway other;
  one.linked_.others_["other:1"] = &other.linked_;
  other.linked_.others_["one:1"] = &one.linked_;
  one.relays_.OnAlive("other~1", { ZoneId{ "z1" }, "other:1" });
  other.relays_.OnAlive("one~1", { ZoneId{ "z1" }, "one:1" });
  for (int i = 0; i < 50; ++i) {
    one.Start("mild" + std::to_string(i));
    one.client_.Fail(one.client_.Oldest(), HttpEnd::Broken);
    one.Start("mild");
    one.Serve();
    one.timers_.Advance(100ms);
  }
  REQUIRE(one.linked_.calls_ == 0);
  one.Start(kCrashingBody);
  one.Serve();
  one.timers_.Advance(kRegistrationLag + kReportSettleTime);
  REQUIRE(one.linked_.calls_ == 1);
  // The first crash at the other gateway is the second one in total.
  other.Start(kCrashingBody);
  other.Serve();
  other.timers_.Advance(kRegistrationLag + kReportSettleTime);
  other.Start(kCrashingBody);
  REQUIRE(other.outcomes_.back().response_.status_ == 503);
  one.timers_.Advance(kReportSettleTime);
  one.Start(kCrashingBody);
  REQUIRE(one.outcomes_.back().response_.status_ == 503);
  REQUIRE(one.crashes_ + other.crashes_ == 2);
}

TEST_CASE("a break on trial holds a request back at other gateways at once")
{
  TestGateway one;
  TestGateway other;
  one.linked_.others_["other:1"] = &other.linked_;
  one.relays_.OnAlive("other~1", { ZoneId{ "z1" }, "other:1" });
  const Fingerprint crashing =
    FingerprintOf("POST", "h", "/p/1", kCrashingBody);
  const Fingerprint mild = FingerprintOf("POST", "h", "/p/1", "mild");
  for (const char* upstream : { "u0", "u1" }) {
    const UpstreamId id{ upstream };
    RequestQuarantine& quarantine = one.forwarder_.Quarantine();
    for (const Fingerprint request : { crashing, mild }) {
      quarantine.OnSent(request, id);
      quarantine.OnEnd(request, id, CallEnd::Broken);
    }
    one.timers_.Advance(kRegistrationLag);
    one.RemoveUpstream(upstream);
    other.RemoveUpstream(upstream);
  }
  one.timers_.Advance(kReportSettleTime);
  other.timers_.Advance(2 * kRegistrationLag + kReportSettleTime);
  one.Start(kCrashingBody);
  one.Serve();
  REQUIRE(one.crashes_ == 1);
  other.Start(kCrashingBody);
  REQUIRE(other.outcomes_.size() == 1);
  REQUIRE(other.outcomes_.back().response_.status_ == 503);
  REQUIRE(other.outcomes_.back().response_.body_.find("held back") !=
          std::string::npos);
  // Long before the registration ends.
  other.timers_.Advance(kReportSettleTime);
  other.Start(kCrashingBody);
  REQUIRE(other.outcomes_.size() == 2);
  REQUIRE(other.outcomes_.back().response_.body_.find("quarantined") !=
          std::string::npos);
  other.Start("mild");
  other.Serve();
  REQUIRE(other.outcomes_.back().response_.status_ == 200);
}

TEST_CASE("a report that did not reach a gateway is sent again")
{
  TestGateway one;
  TestGateway other;
  one.linked_.others_["other:1"] = &other.linked_;
  one.relays_.OnAlive("other~1", { ZoneId{ "z1" }, "other:1" });
  one.linked_.cut_ = true;
  for (int round = 0; round < 2; ++round) {
    one.Start(kCrashingBody);
    one.Serve();
    one.timers_.Advance(kRegistrationLag + kReportSettleTime);
  }
  one.linked_.cut_ = false;
  // All reports of the first crash were lost; those of the second name both.
  one.timers_.Advance(3s);
  other.timers_.Advance(kReportSettleTime);
  other.Start(kCrashingBody);
  REQUIRE(other.outcomes_.size() == 1);
  REQUIRE(other.outcomes_.back().response_.status_ == 503);
}

TEST_CASE("calls lost together with the culprit are served and cleared")
{
  TestGateway gateway;
  for (int round = 0; round < 6; ++round) {
    if (round < 3) {
      gateway.Start(kCrashingBody);
    }
    for (int i = 0; i < 12; ++i) {
      gateway.Start("mild" + std::to_string(i), RouteKind::Idempotent, 4);
    }
    gateway.Serve();
    for (std::size_t i = gateway.outcomes_.size() - 12;
         i < gateway.outcomes_.size();
         ++i) {
      REQUIRE(gateway.outcomes_.at(i).response_.status_ == 200);
    }
    gateway.timers_.Advance(kRegistrationLag + kReportSettleTime);
  }
  REQUIRE(gateway.crashes_ == 2);
}

TEST_CASE(
  "an idempotent request is refused once it is known to crash upstreams")
{
  TestGateway gateway;
  gateway.Start(kCrashingBody, RouteKind::Idempotent, 3);
  gateway.Serve();
  // All attempts were sent before any registration ended.
  REQUIRE(gateway.crashes_ == 3);
  gateway.timers_.Advance(kRegistrationLag + kReportSettleTime);
  gateway.Start(kCrashingBody, RouteKind::Idempotent, 3);
  REQUIRE(gateway.outcomes_.back().response_.status_ == 503);
  REQUIRE(gateway.crashes_ == 3);
}

TEST_CASE(
  "a request is refused whose attempt was abandoned before its upstream "
  "crashed")
{
  TestGateway gateway;
  const ForwardId id = gateway.Start(kCrashingBody, RouteKind::Idempotent, 2);
  const std::string first = TestGateway::UpstreamOf(gateway.client_.Oldest());
  gateway.timers_.Advance(800ms);
  REQUIRE(gateway.client_.open_.size() == 1);
  REQUIRE(TestGateway::UpstreamOf(gateway.client_.Oldest()) != first);
  gateway.Crash(first);
  gateway.forwarder_.Cancel(id);
  gateway.timers_.Advance(kRegistrationLag + kReportSettleTime);
  gateway.Start(kCrashingBody);
  gateway.Serve();
  gateway.timers_.Advance(kRegistrationLag + kReportSettleTime);
  gateway.Start(kCrashingBody);
  REQUIRE(gateway.crashes_ == 2);
  REQUIRE(gateway.outcomes_.back().response_.status_ == 503);
  REQUIRE(gateway.outcomes_.back().notRun_);
}

TEST_CASE("an attempt of a suspect is not sent on to another upstream in time")
{
  TestGateway gateway;
  gateway.Start(kCrashingBody);
  gateway.Serve();
  gateway.timers_.Advance(kRegistrationLag + kReportSettleTime);
  gateway.Start(kCrashingBody, RouteKind::Idempotent, 2);
  const std::string upstream =
    TestGateway::UpstreamOf(gateway.client_.Oldest());
  gateway.timers_.Advance(2s);
  REQUIRE(gateway.client_.open_.size() == 1);
  REQUIRE(TestGateway::UpstreamOf(gateway.client_.Oldest()) == upstream);
}

TEST_CASE(
  "a request is refused whose callers left before its upstreams crashed")
{
  TestGateway gateway;
  for (int round = 0; round < 2; ++round) {
    const ForwardId id = gateway.Start(kCrashingBody);
    const std::string upstream =
      TestGateway::UpstreamOf(gateway.client_.Oldest());
    gateway.timers_.Advance(50ms);
    gateway.forwarder_.Cancel(id);
    gateway.Crash(upstream);
    gateway.timers_.Advance(kRegistrationLag + kReportSettleTime);
  }
  gateway.Start(kCrashingBody);
  REQUIRE(gateway.outcomes_.size() == 1);
  REQUIRE(gateway.outcomes_.back().response_.status_ == 503);
}

TEST_CASE("items whose connections were reset are all restarted at once")
{
  TestJobGateway gateway(2);
  gateway.Accept(JobId{ "j1" }, { "m1", "m2", "m3", "m4", "m5", "m6" });
  REQUIRE(gateway.client_.open_.size() == 6);
  const std::deque<SentCall> reset = gateway.client_.open_;
  for (const SentCall& call : reset) {
    gateway.client_.Fail(call, HttpEnd::Broken);
  }
  gateway.timers_.Advance(3500ms);
  gateway.runner_.OnUpstreamsChanged();
  REQUIRE(gateway.client_.open_.size() == 6);
}

TEST_CASE("a single upstream still gets all requests that broke there")
{
  TestGateway gateway(1);
  for (int i = 0; i < 4; ++i) {
    gateway.Start("mild" + std::to_string(i));
  }
  while (!gateway.client_.open_.empty()) {
    gateway.client_.Fail(gateway.client_.Oldest(), HttpEnd::Broken);
  }
  for (int i = 0; i < 4; ++i) {
    gateway.Start("mild" + std::to_string(i));
  }
  REQUIRE(gateway.client_.open_.size() == 4);
}
