/// Customers and their keys: which requests a key admits, and what upstreams,
/// jobs and answers reveal of it.

#include "gateway_fixture.hpp"
#include "job_gateway.hpp"
#include "log_capture.hpp"
#include "programs/gatewayd/gateway.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

std::vector<Customer>
TwoCustomers()
{
  return { { CustomerId{ "north" }, 1, { "key-n1", "key-n2" } },
           { CustomerId{ "south" }, std::nullopt, { "key-s" } } };
}

constexpr KeyBounds kBounds{ 3s, 9s };

KeyCheck
Judge(std::string_view aAuthorization, bool aPublic, Duration aAge)
{
  return CheckKey(
    CustomerTable(TwoCustomers()), aAuthorization, aPublic, aAge, kBounds);
}

} // namespace

TEST_CASE("a key names its customer")
{
  const auto judgement = Judge("Bearer key-n2", false, 1s);
  REQUIRE(judgement.verdict_ == KeyVerdict::Granted);
  REQUIRE(judgement.customer_ == CustomerId{ "north" });
  REQUIRE(Judge("bearer  key-s ", false, 1s).customer_ ==
          CustomerId{ "south" });
}

TEST_CASE("a key that nobody holds is refused")
{
  const auto authorization = GENERATE(as<std::string>(),
                                      "",
                                      "Bearer",
                                      "Bearer ",
                                      "Bearer key-x",
                                      "Bearer key-n",
                                      "Basic key-s",
                                      "key-s");
  REQUIRE(Judge(authorization, false, 1s).verdict_ == KeyVerdict::Refused);
}

TEST_CASE("a public request needs no key, but a valid key names its customer")
{
  REQUIRE(Judge("", true, 1h).verdict_ == KeyVerdict::Granted);
  const auto unknown = Judge("Bearer key-x", true, 1s);
  REQUIRE(unknown.verdict_ == KeyVerdict::Granted);
  REQUIRE(unknown.customer_.Get().empty());
  REQUIRE(Judge("Bearer key-s", true, 1s).customer_ == CustomerId{ "south" });
}

TEST_CASE("an outdated configuration refuses no key and accepts none for ever")
{
  REQUIRE(Judge("Bearer key-x", false, 3s).verdict_ == KeyVerdict::Refused);
  REQUIRE(Judge("Bearer key-x", false, 3001ms).verdict_ ==
          KeyVerdict::Uncertain);
  REQUIRE(Judge("Bearer key-s", false, 9s).verdict_ == KeyVerdict::Granted);
  REQUIRE(Judge("Bearer key-s", false, 9001ms).verdict_ ==
          KeyVerdict::Uncertain);
  // A missing key is unknown in any configuration.
  REQUIRE(Judge("", false, 1h).verdict_ == KeyVerdict::Refused);
}

TEST_CASE("findings on ambiguous customers do not contain keys")
{
  auto customers = TwoCustomers();
  REQUIRE(CheckCustomers(customers).empty());
  SECTION("an empty key")
  {
    customers[1].keys_.emplace_back();
    REQUIRE(CheckCustomers(customers) ==
            std::vector<std::string>{ "customer south has an empty key" });
  }
  SECTION("one key of two")
  {
    customers[1].keys_.emplace_back("key-n1");
    REQUIRE(CheckCustomers(customers) ==
            std::vector<std::string>{
              "customers north and south hold the same key" });
  }
  SECTION("one name twice")
  {
    customers.push_back({ CustomerId{ "north" }, {}, {} });
    REQUIRE(CheckCustomers(customers) ==
            std::vector<std::string>{ "customer north is listed twice" });
  }
  SECTION("a key listed twice for one customer is one key")
  {
    customers[0].keys_.emplace_back("key-n1");
    REQUIRE(CheckCustomers(customers).empty());
  }
}

TEST_CASE("a configuration with bad customers or bounds is rejected completely")
{
  const auto platform = MakePlatform();
  const auto read = [&](const std::string& aMore) {
    return platform->ReadConfig(R"({"version":3,"routes":[],)" + aMore + "}");
  };
  const auto good = read(
    R"("tenants":[{"name":"a","api_keys":["k1"],"priority":2},{"name":"b"}])");
  REQUIRE(good);
  REQUIRE(good.value().customers_->size() == 2);
  REQUIRE(good.value().customers_->front().priority_ == 2U);
  REQUIRE_FALSE(read(R"("services":[])").value().customers_);
  const auto twice = read(
    R"("tenants":[{"name":"a","api_keys":["k1"]},{"name":"b","api_keys":["k1"]}])");
  REQUIRE_FALSE(twice);
  REQUIRE(twice.error().message_.find("customers a and b") !=
          std::string::npos);
  REQUIRE(twice.error().message_.find("k1") == std::string::npos);
  REQUIRE_FALSE(read(R"("tenants":[{"name":"a","api_keys":[""]}])"));
  REQUIRE_FALSE(read(R"("tenants":[{"api_keys":["k"]}])"));
  REQUIRE_FALSE(read(R"("tenants":[{"name":"a","api_keys":[7]}])"));
  const auto crossed =
    read(R"("services":[{"name":"lm","scale":{"min":4,"max":3}}])");
  REQUIRE_FALSE(crossed);
  REQUIRE(crossed.error().message_.find("service lm: scale.min 4 is above") !=
          std::string::npos);
}

namespace {

/// One gateway with two customers and one upstream of each service.
struct KeyedGateway : GatewayFakes
{
  struct Server final : HttpServer
  {
    [[nodiscard]] std::uint16_t Port() const noexcept override { return 1; }
    void SetLimits(const HttpLimits& /*aLimits*/) override {}
    void StopAccepting() override {}
    [[nodiscard]] std::uint64_t InFlight() const noexcept override { return 0; }
  };
  struct FakeListeners final : Listeners
  {
    [[nodiscard]] Result<std::unique_ptr<HttpServer>> Serve(
      const ListenAddress& aAddress,
      std::uint64_t,
      HttpHandler aHandler) override
    {
      handlers_[aAddress.port_] = std::move(aHandler);
      return std::unique_ptr<HttpServer>(std::make_unique<Server>());
    }
    void SetTimeouts(const CallerTimeouts& /*aTimeouts*/) override {}
    std::map<std::uint16_t, HttpHandler> handlers_;
  };

  FakeListeners listeners_;
  std::unique_ptr<Gateway> gateway_;

  KeyedGateway()
  {
    settings_.zone_ = "z1";
    settings_.front_ = "127.0.0.1:1";
    settings_.ready_ = "127.0.0.1:2";
    settings_.configBound_ = 3s;
    settings_.configStretch_ = 6s;
    PutConfig(1, R"("k-a")");
    store_.Put(
      platform_->Places().upstreams_ + "e",
      R"({"service":"s","address":"e:1","zone":"z1","slots":9,"state":"ready"})");
    gateway_ = std::make_unique<Gateway>(context_, listeners_);
    REQUIRE(gateway_->Open());
    gateway_->Start();
    timers_.Advance(2s);
    ConfirmConfig();
  }

  void PutConfig(int aVersion, const std::string& aKeysOfA)
  {
    store_.Put(
      platform_->Places().config_,
      R"({"version":)" + std::to_string(aVersion) +
        R"(,"routes":[)"
        R"({"host":"h","prefix":"/x/","kind":"idempotent","service":"s"},)"
        R"({"host":"h","prefix":"/o/","kind":"idempotent","service":"s",)"
        R"("public":true},)"
        R"({"host":"h","prefix":"/j/","kind":"rollout","service":"s"}],)"
        R"("services":[{"name":"s"}],)"
        R"("tenants":[{"name":"a","api_keys":[)" +
        aKeysOfA + R"(]},{"name":"b","api_keys":["k-b"]}]})");
  }

  /// A source of the watch confirms that nothing has changed.
  void ConfirmConfig(Duration aAge = {})
  {
    store_.SendBatch(platform_->Places().config_,
                     { false, false, store_.Revision(), {}, aAge });
  }

  /// @param aTarget path and query
  std::shared_ptr<FakeReply> Call(const std::string& aTarget,
                                  HttpHeaders aHeaders,
                                  const std::string& aMethod = "GET",
                                  const std::string& aBody = {})
  {
    HttpRequest request;
    request.method_ = aMethod;
    const std::size_t path = std::min(aTarget.find('?'), aTarget.size());
    request.path_ = aTarget.substr(0, path);
    request.query_ = aTarget.substr(std::min(path + 1, aTarget.size()));
    request.headers_ = std::move(aHeaders);
    request.headers_.push_back({ "Host", "h" });
    request.body_ = aBody;
    auto reply = std::make_shared<FakeReply>();
    listeners_.handlers_.at(1)(std::move(request), reply);
    return reply;
  }

  static HttpHeader Key(const std::string& aKey)
  {
    return { "Authorization", "Bearer " + aKey };
  }
};

std::size_t
CountHeaders(const HttpHeaders& aHeaders, std::string_view aName)
{
  return static_cast<std::size_t>(
    std::count_if(aHeaders.begin(), aHeaders.end(), [&](const auto& aHeader) {
      return FindHeader({ aHeader }, aName).has_value();
    }));
}

} // namespace

TEST_CASE("an upstream gets the customer and never the key")
{
  KeyedGateway gateway;
  gateway.Call("/x/1",
               { KeyedGateway::Key("k-a"),
                 { "tenant", "b" },
                 { "Tenant", "c" },
                 { "authorization", "Bearer k-b" } });
  REQUIRE(gateway.client_.open_.size() == 1);
  const HttpHeaders& sent = gateway.client_.Oldest().call_.headers_;
  REQUIRE(FindHeader(sent, "Tenant") == "a");
  REQUIRE(CountHeaders(sent, "Tenant") == 1);
  REQUIRE(CountHeaders(sent, "Authorization") == 0);
}

TEST_CASE("an unknown key gets 401 and nothing is forwarded")
{
  KeyedGateway gateway;
  const auto unknown = gateway.Call("/x/1", { KeyedGateway::Key("k-x") });
  REQUIRE(unknown->status_ == 401);
  REQUIRE(unknown->body_.find("k-x") == std::string::npos);
  REQUIRE(gateway.Call("/x/1", {})->status_ == 401);
  REQUIRE(gateway.Call("/lots/j1", {})->status_ == 401);
  REQUIRE(gateway.Call("/j/1", {}, "POST", "{}")->status_ == 401);
  REQUIRE(gateway.Call("/nowhere/", {})->status_ == 404);
  REQUIRE(gateway.client_.sent_ == 0);
}

TEST_CASE("a public route accepts requests without a key and sets no customer")
{
  KeyedGateway gateway;
  gateway.Call("/o/1", { { "Tenant", "a" } });
  REQUIRE(gateway.client_.open_.size() == 1);
  REQUIRE(CountHeaders(gateway.client_.Oldest().call_.headers_, "Tenant") == 0);
}

TEST_CASE("keys are added and revoked with the configuration")
{
  KeyedGateway gateway;
  REQUIRE(gateway.Call("/x/1", { KeyedGateway::Key("k-new") })->status_ == 401);
  gateway.PutConfig(2, R"("k-new")");
  REQUIRE_FALSE(gateway.Call("/x/1", { KeyedGateway::Key("k-new") })->ended_);
  REQUIRE(gateway.Call("/x/1", { KeyedGateway::Key("k-a") })->status_ == 401);
  // All keys of a customer are revoked.
  gateway.PutConfig(3, "");
  REQUIRE(gateway.Call("/x/1", { KeyedGateway::Key("k-new") })->status_ == 401);
}

TEST_CASE("without customers in the configuration requests need no key")
{
  KeyedGateway gateway;
  gateway.store_.Put(
    gateway.platform_->Places().config_,
    R"({"version":2,"routes":[{"host":"h","prefix":"/x/","kind":"idempotent",)"
    R"("service":"s"}],"services":[{"name":"s"}]})");
  gateway.Call("/x/1", { { "Authorization", "other" } });
  REQUIRE(gateway.client_.open_.size() == 1);
  REQUIRE(FindHeader(gateway.client_.Oldest().call_.headers_,
                     "Authorization") == "other");
}

// Guards against a final refusal of a key that was added while the gateway
// received no updates from the store. A caller does not retry after 401; after
// 503 it is served by another gateway.
TEST_CASE(
  "a gateway whose watch is not confirmed answers unknown keys with 503")
{
  KeyedGateway gateway;
  gateway.store_.dropsEvents_ = true;
  gateway.timers_.Advance(2900ms);
  REQUIRE(gateway.Call("/x/1", { KeyedGateway::Key("k-x") })->status_ == 401);
  gateway.timers_.Advance(200ms);
  const auto reply = gateway.Call("/x/1", { KeyedGateway::Key("k-x") });
  REQUIRE(reply->status_ == 503);
  REQUIRE(FindHeader(reply->headers_, "Retry-After"));
  // Known keys are accepted until they could have been revoked for too long.
  REQUIRE_FALSE(gateway.Call("/x/1", { KeyedGateway::Key("k-a") })->ended_);
  gateway.timers_.Advance(6s);
  REQUIRE(gateway.Call("/x/1", { KeyedGateway::Key("k-a") })->status_ == 503);
  SECTION("until a source confirms the configuration")
  {
    gateway.ConfirmConfig();
    REQUIRE_FALSE(gateway.Call("/x/1", { KeyedGateway::Key("k-a") })->ended_);
    REQUIRE(gateway.Call("/x/1", { KeyedGateway::Key("k-x") })->status_ == 401);
  }
  SECTION("a source whose own configuration is too old does not count")
  {
    gateway.ConfirmConfig(3100ms);
    REQUIRE(gateway.Call("/x/1", { KeyedGateway::Key("k-x") })->status_ == 503);
  }
}

TEST_CASE("strict settings accept no key beyond their age limit")
{
  KeyedGateway gateway;
  gateway.settings_.keyLimit_ = 5s;
  gateway.store_.dropsEvents_ = true;
  gateway.timers_.Advance(4900ms);
  REQUIRE_FALSE(gateway.Call("/x/1", { KeyedGateway::Key("k-a") })->ended_);
  gateway.timers_.Advance(200ms);
  REQUIRE(gateway.Call("/x/1", { KeyedGateway::Key("k-a") })->status_ == 503);
}

TEST_CASE("a job belongs to its customer, whichever key it sends")
{
  KeyedGateway gateway;
  gateway.PutConfig(2, R"("k-a","k-a2")");
  const auto taken =
    gateway.Call("/j/1",
                 { KeyedGateway::Key("k-a"), { "Attempt-Id", "job1" } },
                 "POST",
                 R"({"items":[{"id":"i1","path":"/x/1","body":"","tokens":5,)"
                 R"("headers":{"Tenant":"b","Authorization":"Bearer k-b"}}]})");
  gateway.timers_.Advance(100ms);
  REQUIRE(taken->status_ == 202);
  const auto status = [&](const std::string& aKey,
                          const std::string& aMethod,
                          const std::string& aPath) {
    const auto reply =
      gateway.Call(aPath, { KeyedGateway::Key(aKey) }, aMethod);
    gateway.timers_.Advance(1500ms);
    return reply->status_;
  };
  SECTION("its items carry its customer, whatever headers they were sent with")
  {
    REQUIRE(gateway.client_.open_.size() == 1);
    const HttpHeaders& sent = gateway.client_.Oldest().call_.headers_;
    REQUIRE(FindHeader(sent, "Tenant") == "a");
    REQUIRE(CountHeaders(sent, "Tenant") == 1);
    REQUIRE(CountHeaders(sent, "Authorization") == 0);
  }
  // Guards against a body that another customer gets: it was read from the
  // ledger of the job's owner before customers were compared.
  SECTION("other customers cannot find it")
  {
    REQUIRE(status("k-b", "GET", "/lots/job1") == 404);
    REQUIRE(status("k-b", "GET", "/items/job1?id=i1") == 404);
    REQUIRE(status("k-b", "DELETE", "/lots/job1") == 404);
    REQUIRE(status("k-a2", "GET", "/lots/job1") == 200);
    REQUIRE(status("k-a2", "GET", "/items/job1?id=i1") == 200);
  }
  SECTION("another key of the customer ends it")
  {
    REQUIRE(status("k-a2", "DELETE", "/lots/job1") == 200);
  }
  SECTION("revoking the key does not end it")
  {
    gateway.PutConfig(3, R"("k-a2")");
    REQUIRE(status("k-a", "GET", "/lots/job1") == 401);
    REQUIRE(status("k-a2", "GET", "/lots/job1") == 200);
    REQUIRE(gateway.client_.open_.size() == 1);
  }
  SECTION("other customers cannot reuse its id")
  {
    const auto other =
      gateway.Call("/j/1",
                   { KeyedGateway::Key("k-b"), { "Attempt-Id", "job1" } },
                   "POST",
                   R"({"items":[{"id":"i9","path":"/x/1","body":""}]})");
    gateway.timers_.Advance(100ms);
    REQUIRE(other->status_ == 409);
  }
  SECTION("no record holds a key that was sent")
  {
    for (const auto& [key, record] : gateway.store_.records_) {
      INFO(key);
      if (key != gateway.platform_->Places().config_ &&
          !key.starts_with("mt/spec/")) {
        REQUIRE(record.value_.find("k-a") == std::string::npos);
      }
    }
  }
}

TEST_CASE("a key is in no log line")
{
  LogCapture log;
  KeyedGateway gateway;
  gateway.Call("/x/1", { KeyedGateway::Key("k-unheard-of") });
  gateway.Call("/x/1", { KeyedGateway::Key("k-a") });
  REQUIRE(log.Lines().find("key_refused") != std::string::npos);
  REQUIRE(log.Lines().find("k-unheard-of") == std::string::npos);
  REQUIRE(log.Lines().find("k-a") == std::string::npos);
}
