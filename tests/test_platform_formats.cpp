/// Tests of the platform's formats: parsing of bodies and composition of calls.

#include "platform.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

const std::unique_ptr<Platform> kPlatform = MakePlatform();

HttpRequest
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aQuery)
{
  HttpRequest request;
  request.method_ = aMethod;
  request.path_ = aPath;
  request.query_ = aQuery;
  return request;
}

} // namespace

TEST_CASE("a platform configuration is parsed into routes and services")
{
  const auto config = kPlatform->ReadConfig(R"({"version":7,"routes":[
    {"name":"a","host":"h.example","prefix":"/x/","kind":"idempotent",
     "timeout_ms":3000,"slo_ms":800,"priority":2,"service":"s","max_attempts":4},
    {"name":"b","host":"h.example","prefix":"/y/","kind":"rollout",
     "timeout_ms":10000,"slo_ms":400,"run_deadline_ms":7500,"max_queue_s":40,
     "single_version":true,"max_attempts":3,
     "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
    {"name":"c","host":"h.example","prefix":"/z/","kind":"something new",
     "service":"s"}],
    "services":[{"name":"s","health_check":"/hc","max_conns":130,
     "engine":{"models":[{"name":"m"}]}}],
    "limits":{"max_body_bytes":1000}})");
  REQUIRE(config.value().revision_ == ConfigRevision{ 7 });
  const auto& routes = config.value().routes_;
  REQUIRE(routes.at(0).kind_ == RouteKind::Idempotent);
  REQUIRE(routes.at(0).objective_ == 800ms);
  REQUIRE(routes.at(0).maxAttempts_ == 4);
  REQUIRE(routes.at(1).kind_ == RouteKind::Rollout);
  REQUIRE(routes.at(1).runDeadline_ == 7500ms);
  REQUIRE(routes.at(1).maxQueue_ == 40s);
  REQUIRE(routes.at(1).singleVersion_);
  REQUIRE(routes.at(1).services_.size() == 2);
  // An unknown kind is read as the kind that is never run twice.
  REQUIRE(routes.at(2).kind_ == RouteKind::AtMostOnce);
  REQUIRE(config.value().services_.at(ServiceId{ "s" }).models_ ==
          std::vector<std::string>{ "m" });
}

TEST_CASE("a registered server is parsed into an upstream entry")
{
  const auto entry = kPlatform->ReadUpstream(
    "servers/i-7f", R"({"service":"s","address":"10.0.0.9:80","zone":"z",
    "slots":8,"state":"draining","models":[{"name":"m","version":4}],"seq":4})");
  REQUIRE(entry.value().id_ == UpstreamId{ "i-7f" });
  REQUIRE(entry.value().draining_);
  REQUIRE(entry.value().models_.front().version_ == WeightVersion{ 4 });
  REQUIRE_FALSE(kPlatform->ReadUpstream("servers/x", R"({"zone":"z"})"));
}

TEST_CASE("a registered server's start time is read from its registration")
{
  const auto read = [](const std::string& aBorn) {
    return kPlatform->ReadUpstream(
      "servers/i-7f",
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,)"
      R"("state":"ready")" +
        aBorn + "}");
  };
  REQUIRE(read(R"(,"born":1772719869123)").value().start_ ==
          UpstreamStart{ 1772719869123 });
  REQUIRE(read("").value().start_ == UpstreamStart{});
  REQUIRE_FALSE(read(R"(,"born":"1772719869123")"));
  REQUIRE_FALSE(read(R"(,"born":1772719869.5)"));
  REQUIRE_FALSE(read(R"(,"born":-5)"));
  REQUIRE_FALSE(read(R"(,"born":null)"));
  const auto report =
    kPlatform->ReadReport(R"({"busy":false,"seq":0,"models":[],"born":12})");
  REQUIRE(report.value().start_ == UpstreamStart{ 12 });
}

TEST_CASE(
  "an invalid registration is rejected with an error that names the field")
{
  const auto [value, field] = GENERATE(table<std::string, std::string>({
    { "", "parse" },
    { "\xff\xfe\x00", "parse" },
    { "[]", "service" },
    { "7", "service" },
    { R"({"service":7,"address":"1.1.1.1:1","zone":"z","slots":1,)"
      R"("state":"ready"})",
      "service" },
    { R"({"service":"","address":"1.1.1.1:1","zone":"z","slots":1,)"
      R"("state":"ready"})",
      "service" },
    { R"({"service":"s","zone":"z","slots":1,"state":"ready"})", "address" },
    { R"({"service":"s","address":"somewhere","zone":"z","slots":1,)"
      R"("state":"ready"})",
      "address" },
    { R"({"service":"s","address":"1.1.1.1:0","zone":"z","slots":1,)"
      R"("state":"ready"})",
      "address" },
    { R"({"service":"s","address":"1.1.1.1:1","slots":1,"state":"ready"})",
      "zone" },
    { R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":-1,)"
      R"("state":"ready"})",
      "slots" },
    { R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":4294967297,)"
      R"("state":"ready"})",
      "slots" },
    { R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":"8",)"
      R"("state":"ready"})",
      "slots" },
    { R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":1})",
      "state" },
    { R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,)"
      R"("state":"resting"})",
      "state" },
    { R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,)"
      R"("state":"ready","models":[{"name":"m","version":"new"}]})",
      "version" },
  }));
  const auto entry = kPlatform->ReadUpstream("servers/x", value);
  REQUIRE_FALSE(entry);
  INFO(entry.error().message_);
  REQUIRE(entry.error().kind_ == ErrorKind::BadInput);
  REQUIRE(entry.error().message_.find(field) != std::string::npos);
}

TEST_CASE("a submission is parsed into items with their score calls")
{
  const auto spec = kPlatform->ReadSubmission(R"({"step":7,"model":"m",
    "min_version":6,"target_groups":12,"items":[{"id":"e5","path":"/p/1",
    "headers":{"Model":"m","Length-Hint":"700"},"body":"aGk=","tokens":940,
    "group":"g1","scorer_url":{"id":"40","host":"h","path":"/s","body":"eA=="}}]})");
  const JobItem& item = spec.value().items_.front();
  REQUIRE(spec.value().minVersion_ == WeightVersion{ 6 });
  REQUIRE(item.body_ == "hi");
  REQUIRE(item.lengthHint_ == 700);
  REQUIRE(item.score_->id_ == RequestId{ "40" });
  REQUIRE(item.score_->body_ == "x");
}

TEST_CASE("an unreadable body is an error that names the field")
{
  const auto broken = kPlatform->ReadSubmission(R"({"items":[{"id":"a"}]})");
  REQUIRE(broken.error().kind_ == ErrorKind::BadInput);
  REQUIRE(broken.error().message_.find("path") != std::string::npos);
  const auto base64 = kPlatform->ReadSubmission(
    R"({"items":[{"id":"a","path":"/","body":"%"}]})");
  REQUIRE(base64.error().message_.find("base64") != std::string::npos);
  REQUIRE_FALSE(kPlatform->ReadConfig("[]"));
  REQUIRE_FALSE(kPlatform->ReadVersion("{}"));
}

// Guards against a stack overflow, which ended every process that read the
// value and could not be caught.
TEST_CASE("a deeply nested field of another writer is an error, not a crash")
{
  constexpr std::size_t kDepth = 200'000;
  const std::string nested =
    std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto upstream = kPlatform->ReadUpstream(
    "servers/x",
    R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,)"
    R"("state":"ready","models":)" +
      nested + "}");
  REQUIRE(upstream.error().kind_ == ErrorKind::BadInput);
  REQUIRE(upstream.error().message_.find("nested") != std::string::npos);
  REQUIRE_FALSE(kPlatform->ReadReport(R"({"models":)" + nested + "}"));
  REQUIRE_FALSE(kPlatform->ReadVersion(R"({"model":)" + nested + "}"));
  REQUIRE_FALSE(kPlatform->ReadConfig(
    R"({"version":1,"routes":[],"services":)" + nested + "}"));
  REQUIRE_FALSE(kPlatform->ReadSubmission(
    R"({"items":[{"id":"a","path":"/","headers":{"X":)" + nested + "}}]}"));
}

TEST_CASE("job queries are distinguished by method and path")
{
  const auto read =
    kPlatform->ReadQuery(MakeRequest("GET", "/lots/j1", "after=12"));
  REQUIRE(read->verb_ == JobQuery::Verb::Read);
  REQUIRE(read->after_ == 12);
  const auto body =
    kPlatform->ReadQuery(MakeRequest("GET", "/items/j1", "x=1&id=e5"));
  REQUIRE(body->verb_ == JobQuery::Verb::Body);
  REQUIRE(body->item_ == ItemId{ "e5" });
  REQUIRE(kPlatform->ReadQuery(MakeRequest("DELETE", "/lots/j1", ""))->verb_ ==
          JobQuery::Verb::End);
  REQUIRE_FALSE(kPlatform->ReadQuery(MakeRequest("GET", "/other/j1", "")));
}

TEST_CASE("a page of results is written in the platform's format")
{
  ResultPage page;
  page.total_ = 40;
  page.next_ = 14;
  page.results_ = { { ItemId{ "a" }, true, "t", { WeightVersion{ 6 } }, "s" },
                    { ItemId{ "b" }, false, "", {}, "" } };
  REQUIRE(kPlatform->WritePage(page) ==
          R"({"next":14,"results":[{"id":"a","score":"s","state":"completed",)"
          R"("text":"t","versions":[6]},{"id":"b","state":"errored",)"
          R"("text":""}],"total":40})");
}

TEST_CASE("an order contains its holder, fence and expected order count")
{
  UpstreamEntry upstream;
  upstream.id_ = UpstreamId{ "i-1" };
  upstream.address_ = "10.0.0.9:80";
  const HttpCall call = kPlatform->MakeOrder(
    upstream, { "m", WeightVersion{ 3 }, "me", FencingNumber{ 41 }, 2 });
  REQUIRE(call.url_ == "http://10.0.0.9:80/order");
  REQUIRE(FindHeader(call.headers_, kPlatform->Names().expectUpstream_) ==
          "i-1");
  REQUIRE(call.body_ == R"({"expected":2,"fence":41,"holder":"me",)"
                        R"("mode":"continue","model":"m","op":"version",)"
                        R"("version":3})");
  VersionOrder finishing{
    "m", WeightVersion{ 3 }, "me", FencingNumber{ 41 }, 2
  };
  finishing.runsFinish_ = true;
  REQUIRE(kPlatform->MakeOrder(upstream, finishing)
            .body_.Get()
            .find(R"("mode":"block")") != std::string::npos);
}
