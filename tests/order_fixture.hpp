/// The duty of ordering weight versions together with its lease, for tests on
/// fakes.
#pragma once

#include "gateway_fixture.hpp"
#include "programs/orderd/order_duty.hpp"

#include <catch2/catch.hpp>

namespace marjoramtally::test {

using namespace std::chrono_literals;

struct LeasedOrderDuty
{
  DutyLease lease_;
  OrderDuty duty_;

  explicit LeasedOrderDuty(GatewayContext& aHost)
    : lease_(aHost)
    , duty_(aHost, lease_)
  {
  }

  void Start() { lease_.Start(); }
  void Stop() { lease_.Stop(); }
};

/// A configuration whose only service is that of the upstreams below.
inline constexpr const char* kOrderConfig =
  R"({"version":1,"routes":[{"host":"h","prefix":"/j/","kind":"rollout",)"
  R"("service":"lm"}],"services":[{"name":"lm"}]})";

/// A holder of the duty with one upstream that lacks the announced version.
struct DutyFixture : GatewayFakes
{
  LeasedOrderDuty duty_{ context_ };

  DutyFixture()
  {
    settings_.fencing_ = true;
    store_.Put("op/config", kOrderConfig);
    Register(1000);
    store_.Put("op/version/m", R"({"model":"m","version":2})");
    duty_.Start();
    timers_.Advance(100ms);
  }

  void Register(std::uint64_t aStart,
                const std::string& aState = "ready",
                const std::string& aService = "lm")
  {
    store_.Put("servers/i-1",
               R"({"service":")" + aService +
                 R"(","address":"e:1","zone":"z","slots":1,"state":")" +
                 aState + R"(","born":)" + std::to_string(aStart) +
                 R"(,"models":[{"name":"m","version":1}]})");
    timers_.Advance(20ms);
  }

  [[nodiscard]] std::string OldestPath()
  {
    return client_.open_.empty() ? "" : client_.Oldest().call_.url_;
  }

  void AnswerReport(std::uint64_t aStart, int aOrders, bool aBusy = false)
  {
    REQUIRE(OldestPath() == "http://e:1/report");
    client_.Answer(client_.Oldest(),
                   JsonResponse(200,
                                R"({"busy":)" +
                                  std::string(aBusy ? "true" : "false") +
                                  R"(,"seq":)" + std::to_string(aOrders) +
                                  R"(,"born":)" + std::to_string(aStart) +
                                  R"(,"models":[{"name":"m","version":1}]})"));
    timers_.Advance(20ms);
  }

  void AcceptOrder(const std::string& aExpected)
  {
    REQUIRE(OldestPath() == "http://e:1/order");
    const std::string& body = client_.Oldest().call_.body_;
    REQUIRE(body.find(R"("expected":)" + aExpected) != std::string::npos);
    client_.Answer(client_.Oldest(), HttpResponse{ 202, {}, {} });
  }
};

} // namespace marjoramtally::test
