/// The limit of concurrent loads that holders of the order duty hand over, on
/// fakes.

#include "order_fixture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

/// A holder of the duty with a hundred upstreams that load in 0.9 s.
struct LargeDutyFixture : GatewayFakes
{
  static constexpr const char* kConfig =
    R"({"version":1,"routes":[{"host":"h","prefix":"/j/","kind":"rollout",)"
    R"("service":"lm"}],"services":[{"name":"lm"}]})";
  static constexpr int kUpstreams = 100;
  LeasedOrderDuty duty_{ context_ };
  std::map<std::string, TimePoint> loadedAt_;

  LargeDutyFixture()
  {
    settings_.fencing_ = true;
    store_.Put("op/config", kConfig);
    for (int i = 0; i < kUpstreams; ++i) {
      const std::string number = std::to_string(i);
      store_.Put("servers/i-" + number,
                 R"({"service":"lm","address":"e)" + number +
                   R"(:1","zone":"z","slots":1,"state":"ready","born":1000,)"
                   R"("models":[{"name":"m","version":1}]})");
    }
    store_.Put("op/version/m", R"({"model":"m","version":2})");
  }

  /// Answers all calls to upstreams once.
  void Answer()
  {
    const auto calls = client_.open_;
    for (const SentCall& call : calls) {
      const bool order = call.call_.url_.ends_with("/order");
      const std::string address =
        call.call_.url_.substr(0, call.call_.url_.rfind('/'));
      if (order) {
        loadedAt_[address] = clock_.Now() + 900ms;
        client_.Answer(call, HttpResponse{ 202, {}, {} });
        continue;
      }
      const auto load = loadedAt_.find(address);
      const bool loaded =
        load != loadedAt_.end() && load->second <= clock_.Now();
      const bool busy = load != loadedAt_.end() && !loaded;
      client_.Answer(
        call,
        JsonResponse(200,
                     std::string(R"({"busy":)") + (busy ? "true" : "false") +
                       R"(,"seq":)" + (load == loadedAt_.end() ? "0" : "1") +
                       R"(,"born":1000,"models":[{"name":"m","version":)" +
                       (loaded ? "2" : "1") + "}]}"));
    }
  }
};

} // namespace

// After the holder of the duty lost the store, its successor began again with 8
// loads at once in a fleet of 6,364 upstreams, where 500 were sustained, and
// needed 7 s for the first two versions of eight models.
TEST_CASE("a new holder starts from the limit of loads of the last one")
{
  LargeDutyFixture fix;
  const bool recorded = GENERATE(false, true);
  CAPTURE(recorded);
  if (recorded) {
    fix.store_.Put("mt/duty/load-limit", "30");
  }
  fix.duty_.Start();
  fix.timers_.Advance(300ms);
  REQUIRE(fix.client_.open_.size() == (recorded ? 30 : 8));
}

TEST_CASE("an invalid record of the limit of loads is ignored")
{
  LargeDutyFixture fix;
  fix.store_.Put("mt/duty/load-limit", GENERATE("", "0", "-4", "many"));
  fix.duty_.Start();
  fix.timers_.Advance(300ms);
  REQUIRE(fix.client_.open_.size() == 8);
}

TEST_CASE("a holder records a limit of loads that has grown")
{
  LargeDutyFixture fix;
  fix.duty_.Start();
  fix.timers_.Advance(300ms);
  for (int i = 0; i < 60; ++i) {
    fix.Answer();
    fix.timers_.Advance(50ms);
  }
  const auto record = fix.store_.records_.find("mt/duty/load-limit");
  REQUIRE(record != fix.store_.records_.end());
  REQUIRE(std::stoi(record->second.value_) >= 16);
}

// Without calls of duties nothing told the holder what items want, and it kept
// the newest version on half of a model's replicas, 397 of 6,364 upstreams for
// steps that need 19.
TEST_CASE("the loads of a version follow the recorded burst of its model")
{
  LargeDutyFixture fix;
  fix.store_.Put("mt/duty/load-limit", "60");
  const std::string burst = GENERATE("", "8", "many");
  CAPTURE(burst);
  if (!burst.empty()) {
    fix.store_.Put("mt/duty/burst/m", burst);
  }
  fix.duty_.Start();
  fix.timers_.Advance(300ms);
  // Half of all replicas, or one and a half times what the burst needs.
  REQUIRE(fix.client_.open_.size() == (burst == "8" ? 12 : 50));
}
