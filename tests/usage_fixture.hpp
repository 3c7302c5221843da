/// Processes that may hold the duty of usage reports, on fakes, and the
/// platform's side of these reports.
#pragma once

#include "order_fixture.hpp"
#include "programs/orderd/usage_duty.hpp"

#include <catch2/catch.hpp>

namespace marjoramtally::test {

using namespace std::chrono_literals;

/// The platform's side of usage reports: checks that each window is reported
/// with the same counts only. Tests may deliver a call long after it was sent.
struct ReportReceiver
{
  std::map<std::string, std::string> accepted_;
  std::uint64_t highest_ = 0;
  std::size_t refused_ = 0;

  int Receive(const HttpCall& aCall)
  {
    const auto fence = ParseNumber(
      FindHeader(aCall.headers_, "Fencing-Token").value_or(""), 1, UINT64_MAX);
    REQUIRE(fence);
    REQUIRE(FindHeader(aCall.headers_, "Duty-Holder"));
    if (*fence < highest_) {
      ++refused_;
      return 409;
    }
    highest_ = *fence;
    const std::size_t at = aCall.body_.Get().find(R"("window":)");
    REQUIRE(at != std::string::npos);
    const std::string window = aCall.body_.Get().substr(at);
    const auto [known, added] = accepted_.emplace(window, aCall.body_);
    REQUIRE(known->second == aCall.body_);
    return 200;
  }
};

/// Peer calls to one gateway that replies with the usage set by the test.
struct FakeGatewayCalls final : PeerCalls
{
  const Clock* clock_ = nullptr;
  GatewayUsage usage_;
  /// How far the gateway's clock is ahead of the test clock.
  Duration clockOffset_{ 0 };
  bool unresponsive_ = false;
  std::size_t calls_ = 0;

  void Call(const std::string&, RpcCall aCall, RpcDone aDone) override
  {
    ++calls_;
    REQUIRE(aCall.topic_ == RpcTopic::Usage);
    if (unresponsive_) {
      aDone(Error{ ErrorKind::Timeout, "no answer" });
    } else {
      const auto request = DecodeUsageRequest(aCall.body_);
      REQUIRE(request);
      usage_.clockAhead_ = clock_->Now() - TimePoint{} + clockOffset_ -
                           request.value().now_.sinceEpoch_;
      aDone(EncodeUsageReply({ usage_ }));
    }
  }
  void Serve(RpcTopic, RpcHandler) override {}
};

/// One process that may hold the duty.
struct Holder
{
  FakeGatewayCalls gateway_;
  FakeClient client_;
  Metrics metrics_;
  RelayPlan relays_;
  GatewayContext host_;
  DutyLease lease_{ host_ };
  GatewayPoll poll_{ host_, lease_ };
  UsageDuty duty_{ host_, lease_, poll_ };

  Holder(GatewayFakes& aFakes, const std::string& aIncarnation)
    : relays_(aIncarnation)
    , host_({ &aFakes.settings_,
              aFakes.platform_.get(),
              &client_,
              &aFakes.timers_,
              &aFakes.store_,
              &aFakes.clock_,
              &aFakes.clock_,
              &aFakes.clock_,
              &metrics_,
              &relays_,
              &gateway_,
              aIncarnation })
  {
    gateway_.usage_.incarnation_ = "g1~1";
    gateway_.clock_ = &aFakes.clock_;
    poll_.onUsage_ = [this](const GatewayUsage& aUsage, TrueTime aAsked) {
      duty_.OnUsage(aUsage, aAsked);
    };
    poll_.onRound_ = [this] { duty_.Advance(); };
  }
};

struct UsageFixture : GatewayFakes
{
  ReportReceiver receiver_;

  UsageFixture()
  {
    settings_.fencing_ = true;
    settings_.dutyCalls_ = "cloud:1";
    settings_.usageWindow_ = 5s;
    settings_.usageLate_ = 10s;
    store_.Put("mt/c/live/g1~1",
               WriteLivenessRecord({ ZoneId{ "z1" }, "g1:7" }));
  }

  /// @returns the window that contains the current time
  [[nodiscard]] UsageWindow CurrentWindow() const
  {
    return WindowOf(TrueTime{ clock_.Now() - TimePoint{} }, 5s);
  }

  /// Delivers all calls of a process and replies to them.
  void Serve(Holder& aHolder)
  {
    while (!aHolder.client_.open_.empty()) {
      SentCall call = aHolder.client_.Oldest();
      const int status = receiver_.Receive(call.call_);
      aHolder.client_.Answer(std::move(call), JsonResponse(status, "{}"));
    }
  }

  void Run(Holder& aHolder, Duration aTime)
  {
    for (Duration left = aTime; left > 0s; left -= 100ms) {
      timers_.Advance(100ms);
      Serve(aHolder);
    }
  }
};

} // namespace marjoramtally::test
