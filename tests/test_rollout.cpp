#include "rollout_owner.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;

TEST_CASE("weights are prefetched, then switched")
{
  FakeEngine engine;
  Owner owner;
  std::vector<OrderKind> kinds;
  owner.onOrder_ = [&](const SendOrder& aOrder, FakeEngine& aEngine) {
    kinds.push_back(aOrder.kind_);
    return aEngine.Take(aOrder);
  };
  owner.Own(kEngine, engine, 1);
  owner.Want(7);
  owner.Run(2s);
  CHECK(engine.Served() == 7);
  CHECK(kinds ==
        std::vector{ OrderKind::Role, OrderKind::Prefetch, OrderKind::Switch });
  CHECK(owner.Noticed(RolloutNoticeKind::Settled));
}

TEST_CASE("the end of an order sent before the upstream was lost is ignored")
{
  FakeEngine engine;
  Owner owner;
  owner.Own(kEngine, engine, 1);
  owner.Want(1);
  owner.Run(2s);
  std::vector<SendOrder> held;
  owner.onOrder_ = [&](const SendOrder& aOrder, FakeEngine& aEngine) {
    held.push_back(aOrder);
    return aEngine.Take(aOrder);
  };
  owner.rollout_.OnLost(kEngine);
  owner.Own(kEngine, engine, 2);
  owner.Want(2);
  owner.Run(3s);
  REQUIRE(engine.Served() == 2);
  const SendOrder old = held.front();
  owner.rollout_.OnLost(kEngine);
  owner.Own(kEngine, engine, 3);
  // The announcement of the new term is in progress when the old end arrives.
  owner.rollout_.OnLease(owner.now_ + 10s);
  REQUIRE(owner.rollout_.Decide(owner.now_).size() == 1);
  owner.rollout_.OnOrderEnd(old, OrderEnd::Done, owner.now_);
  CHECK_FALSE(owner.rollout_.Idle(kEngine));
}

TEST_CASE("a failed switch is retried, then the upstream keeps its version")
{
  FakeEngine engine;
  Owner owner;
  owner.Own(kEngine, engine, 1);
  owner.Want(1);
  owner.Run(2s);
  std::uint64_t failures = 2;
  owner.onOrder_ = [&](const SendOrder& aOrder, FakeEngine& aEngine) {
    if (aOrder.kind_ == OrderKind::Switch && failures > 0) {
      --failures;
      return OrderEnd::Failed;
    }
    return aEngine.Take(aOrder);
  };
  owner.Want(2);
  owner.Run(5s);
  CHECK(engine.Served() == 2);
  CHECK(owner.Noticed(RolloutNoticeKind::Retried));
  CHECK_FALSE(owner.Noticed(RolloutNoticeKind::LeftBehind));
  failures = 3;
  owner.Want(3);
  owner.Run(5s);
  CHECK(engine.Served() == 2);
  CHECK(owner.Noticed(RolloutNoticeKind::LeftBehind));
  owner.Run(60s);
  CHECK(engine.Served() == 3);
}

TEST_CASE("switches that lose the loaded weights count as failed attempts")
{
  FakeEngine engine;
  Owner owner;
  owner.Own(kEngine, engine, 1);
  owner.onOrder_ = [](const SendOrder& aOrder, FakeEngine& aEngine) {
    if (aOrder.kind_ == OrderKind::Switch) {
      aEngine.state_.loaded_.clear();
      return OrderEnd::Failed;
    }
    return aEngine.Take(aOrder);
  };
  owner.Want(1);
  owner.Run(20s);
  CHECK(owner.Noticed(RolloutNoticeKind::OutOfRotation));
}

TEST_CASE("many owners with small shares do not load at the same time")
{
  Random random(3);
  std::uint64_t taken = 0;
  for (int i = 0; i < 400; ++i) {
    SharedRatePermits permits(0.2);
    const TimePoint now{ 60s };
    permits.OnNewWeights(random);
    for (int second = 0; second <= 1; ++second) {
      taken += permits.Take(now + Duration(1s) * second, false) ? 1 : 0;
    }
  }
  // 400 owners of 0.2 loads per second, less the share reserved for retries: 72
  // per second.
  CHECK(taken > 50);
  CHECK(taken < 110);
}

TEST_CASE("switching and unavailable upstreams together stay within the slots")
{
  std::array<FakeEngine, 6> engines;
  Owner owner;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    owner.Own(UpstreamId{ "e" + std::to_string(i) }, engines.at(i), 1);
  }
  owner.Want(1);
  owner.Run(3s);
  const auto switching = [&](std::uint64_t aVersion) {
    owner.Want(aVersion, 2);
    std::vector<SendOrder> held;
    for (int i = 0; i < 60; ++i) {
      owner.rollout_.OnLease(owner.now_ + 10s);
      for (const RolloutAction& action : owner.rollout_.Decide(owner.now_)) {
        const auto* order = std::get_if<SendOrder>(&action);
        if (order != nullptr && order->kind_ == OrderKind::Switch) {
          held.push_back(*order);
        } else {
          owner.Perform(action);
        }
      }
      owner.now_ = owner.now_ + 50ms;
    }
    for (const SendOrder& order : held) {
      owner.Perform(order);
    }
    return held.size();
  };
  CHECK(switching(2) == 2);
  owner.Run(3s);
  // One engine loses its weights and cannot load, which leaves one slot.
  engines[0].state_ = {};
  owner.onOrder_ = [&](const SendOrder& aOrder, FakeEngine& aEngine) {
    return &aEngine == engines.data() ? OrderEnd::StoreBusy
                                      : aEngine.Take(aOrder);
  };
  owner.Run(3s);
  CHECK(switching(3) == 1);
}

TEST_CASE("shares add up to the total and increase only after the hold time")
{
  CHECK(SwitchSlots(1600, 90, 0) == 160);
  CHECK(SwitchSlots(1600, 90, 50) == 50);
  CHECK(SwitchSlots(1, 50, 0) == 1);
  CHECK(SwitchSlots(4, 100, 0) == 0);
  std::uint64_t sum = 0;
  for (std::uint64_t i = 0; i < 7; ++i) {
    sum += SlotShare(160, 7, i);
  }
  CHECK(sum == 160);
  SteadyShare share(2s);
  const auto at = [](Duration aTime) { return TimePoint{ aTime }; };
  CHECK(share.Update(8, at(0s)) == 0);
  CHECK(share.Update(8, at(1s)) == 0);
  CHECK(share.Update(8, at(2s)) == 8);
  CHECK(share.Update(4, at(2s)) == 4);
  CHECK(share.Update(8, at(3s)) == 4);
  CHECK(share.Update(6, at(4s)) == 4);
  CHECK(share.Update(6, at(5s)) == 6);
}
