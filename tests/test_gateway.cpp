/// Readiness of a complete gateway, with fake listeners.

#include "gateway_fixture.hpp"
#include "log_capture.hpp"
#include "programs/gatewayd/gateway.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

constexpr const char* kConfig =
  R"({"version":1,"routes":[{"host":"h","prefix":"/x/","kind":"idempotent",)"
  R"("service":"s","timeout_ms":3000}],"services":[{"name":"s"}]})";
constexpr const char* kUpstream =
  R"({"service":"s","address":"e:1","zone":"z1","slots":1,"state":"ready"})";

class FakeServer final : public HttpServer
{
public:
  [[nodiscard]] std::uint16_t Port() const noexcept override { return 1; }
  void SetLimits(const HttpLimits& /*aLimits*/) override {}
  void StopAccepting() override {}
  [[nodiscard]] std::uint64_t InFlight() const noexcept override { return 0; }
};

/// Keeps the handlers of listeners by port.
class FakeListeners final : public Listeners
{
public:
  [[nodiscard]] Result<std::unique_ptr<HttpServer>> Serve(
    const ListenAddress& aAddress,
    std::uint64_t,
    HttpHandler aHandler) override
  {
    handlers_[aAddress.port_] = std::move(aHandler);
    return std::unique_ptr<HttpServer>(std::make_unique<FakeServer>());
  }

  void SetTimeouts(const CallerTimeouts& /*aTimeouts*/) override {}
  std::map<std::uint16_t, HttpHandler> handlers_;
};

struct Fixture : GatewayFakes
{
  FakeListeners listeners_;
  std::unique_ptr<Gateway> gateway_;

  Fixture()
  {
    settings_.zone_ = "z1";
    settings_.front_ = "127.0.0.1:1";
    settings_.ready_ = "127.0.0.1:2";
    store_.Put(platform_->Places().config_, kConfig);
    gateway_ = std::make_unique<Gateway>(context_, listeners_);
    REQUIRE(gateway_->Open());
  }

  std::shared_ptr<FakeReply> SendRequest(std::uint16_t aPort,
                                         Duration aDeadline = 1min)
  {
    HttpRequest request;
    request.method_ = "GET";
    request.path_ = "/x/1";
    request.headers_ = { { "Host", "h" },
                         { platform_->Names().deadline_,
                           std::to_string(WholeMillis(aDeadline)) } };
    auto reply = std::make_shared<FakeReply>();
    listeners_.handlers_.at(aPort)(std::move(request), reply);
    return reply;
  }

  std::shared_ptr<FakeReply> Ready() { return SendRequest(2); }
  std::shared_ptr<FakeReply> Call(Duration aDeadline = 1min)
  {
    return SendRequest(1, aDeadline);
  }
};

} // namespace

// Guards against a gateway that reports readiness after it has read the
// configuration while its first read of the upstreams has failed and awaits a
// retry. Its upstream table is then empty, and callers got 503 "no upstream"
// for a service whose upstreams were all running.
TEST_CASE("a gateway that has not read the upstreams yet is not ready")
{
  Fixture fix;
  const std::string& prefix = fix.platform_->Places().upstreams_;
  fix.store_.Put(prefix + "e", kUpstream);
  fix.store_.unreadable_ = prefix;
  fix.gateway_->Start();
  fix.timers_.Advance(50ms);
  const auto early = fix.Ready();
  REQUIRE(early->status_ == 503);
  REQUIRE(early->body_.find("no upstreams read yet") != std::string::npos);
  fix.store_.unreadable_.clear();
  fix.timers_.Advance(1s);
  REQUIRE(fix.Ready()->status_ == 200);
  const auto reply = fix.Call();
  REQUIRE(fix.client_.open_.size() == 1);
  REQUIRE_FALSE(reply->ended_);
}

TEST_CASE("a gateway that has read an empty upstream list stays ready")
{
  Fixture fix;
  fix.gateway_->Start();
  fix.timers_.Advance(50ms);
  // The list was read and is empty.
  REQUIRE(fix.Ready()->status_ == 200);
  fix.store_.unreadable_ = fix.platform_->Places().upstreams_;
  fix.store_.SendBatch(fix.store_.unreadable_, { true, false, 0, {} });
  fix.timers_.Advance(1s);
  REQUIRE(fix.Ready()->status_ == 200);
}

// If the store answers no gateway, the balancer keeps using all of them.
TEST_CASE("a gateway that is not ready still forwards requests")
{
  Fixture fix;
  fix.store_.Put(fix.platform_->Places().upstreams_ + "e", kUpstream);
  fix.gateway_->Start();
  fix.timers_.Advance(50ms);
  fix.store_.fault_ = StoreFault::Refuses;
  fix.timers_.Advance(10s);
  REQUIRE(fix.Ready()->status_ == 503);
  fix.Call();
  REQUIRE(fix.client_.open_.size() == 1);
}

// Guards against readiness that depends only on the lease. In a zone that was
// partitioned from the store, gateways that renewed their leases every 4 s
// reported readiness and refused every job of the zone's trainers for the 5.6 s
// of the partition, although gateways of other zones could have accepted them.
TEST_CASE("a gateway whose watch is not confirmed is not ready")
{
  Fixture fix;
  const std::string& prefix = fix.platform_->Places().config_;
  fix.gateway_->Start();
  fix.timers_.Advance(2s);
  REQUIRE(fix.Ready()->status_ == 200);
  fix.store_.SendBatch(prefix, { false, true, 0, {} });
  const auto reply = fix.Ready();
  REQUIRE(reply->status_ == 503);
  REQUIRE(reply->body_.find("nobody vouches") != std::string::npos);
  // It still forwards requests, and is ready again after the first answer of a
  // source.
  fix.Call();
  fix.store_.SendBatch(prefix, { false, false, fix.store_.Revision(), {} });
  REQUIRE(fix.Ready()->status_ == 200);
}

// Guards against requests that are cut when the process exits: it took those on
// kept connections until the end of its grace period.
TEST_CASE("a stopping gateway takes only requests that end before its exit")
{
  Fixture fix;
  fix.store_.Put(fix.platform_->Places().upstreams_ + "e", kUpstream);
  fix.gateway_->Start();
  fix.timers_.Advance(2s);
  fix.gateway_->Stop();
  // The balancer still sends new connections.
  fix.timers_.Advance(2500ms);
  REQUIRE_FALSE(fix.Call()->ended_);
  REQUIRE(fix.client_.open_.size() == 1);
  fix.client_.Fail(fix.client_.Oldest(), HttpEnd::TimedOut);
  // The route allows 3 s; the process exits 7.3 s after the signal.
  fix.timers_.Advance(1500ms);
  REQUIRE_FALSE(fix.Call()->ended_);
  REQUIRE(fix.client_.open_.size() == 1);
  fix.timers_.Advance(500ms);
  const auto refused = fix.Call();
  REQUIRE(refused->status_ == 503);
  REQUIRE(FindHeader(refused->headers_, "Retry-After"));
  REQUIRE(fix.client_.open_.size() == 1);
  REQUIRE(fix.Call(1s)->status_ == 0);
}

// A number that is taken for another one was followed by no later version.
TEST_CASE("a configuration with an odd version keeps no later one out")
{
  const std::string odd =
    GENERATE("-1", "1e308", "1.5e300", "18446744073709551615", "1e400");
  INFO(odd);
  Fixture fix;
  fix.store_.Put(fix.platform_->Places().upstreams_ + "e", kUpstream);
  fix.gateway_->Start();
  fix.timers_.Advance(2s);
  const std::string& key = fix.platform_->Places().config_;
  LogCapture log;
  fix.store_.Put(key, R"({"version":)" + odd + R"(,"routes":[]})");
  fix.timers_.Advance(1s);
  CHECK(log.Contains("event=config_unreadable"));
  // The earlier configuration holds.
  fix.Call();
  CHECK(fix.client_.sent_ == 1);
  fix.store_.Put(key, R"({"version":2,"routes":[]})");
  fix.timers_.Advance(1s);
  CHECK(log.Contains("event=config_read revision=2 routes=0 outcome=applied"));
}

TEST_CASE("an odd entry of an upstream keeps neither others nor itself out")
{
  // Its start time would make a later, valid one look outdated.
  const std::string odd =
    GENERATE(std::string(R"("born":18446744073709551615)"),
             std::string(R"("slots":1e400)"),
             std::string(R"("address":"e:70000")"),
             std::string(R"("models":)") + std::string(200'000, '[') +
               std::string(200'000, ']'));
  Fixture fix;
  const std::string& prefix = fix.platform_->Places().upstreams_;
  const auto entry = [](const std::string& aAddress,
                        const std::string& aFurther) {
    return R"({"service":"s","address":")" + aAddress +
           R"(","zone":"z1","slots":1,"state":"ready",)" + aFurther + "}";
  };
  LogCapture log;
  fix.store_.Put(prefix + "good", entry("good:1", R"("born":5)"));
  fix.store_.Put(prefix + "odd", entry("odd:1", odd));
  fix.gateway_->Start();
  fix.timers_.Advance(2s);
  const auto reached = [&] {
    fix.Call();
    REQUIRE_FALSE(fix.client_.open_.empty());
    const std::string url = fix.client_.open_.back().call_.url_;
    fix.client_.Fail(fix.client_.open_.back(), HttpEnd::TimedOut);
    return url;
  };
  CHECK(reached().starts_with("http://good:1/"));
  CHECK(log.Contains("event=upstream_unreadable key=" + prefix + "odd"));
  fix.store_.Put(prefix + "good", entry("moved:1", R"("born":6)"));
  fix.timers_.Advance(100ms);
  CHECK(reached().starts_with("http://moved:1/"));
  fix.store_.Put(prefix + "odd", entry("mended:1", R"("born":7)"));
  fix.timers_.Advance(100ms);
  fix.store_.Remove(prefix + "good");
  fix.timers_.Advance(100ms);
  CHECK(reached().starts_with("http://mended:1/"));
}
