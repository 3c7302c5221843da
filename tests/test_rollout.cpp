#include "marjoramtally/process/rollout.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

const ServiceId kService{ "lm" };
const UpstreamId kEngine{ "engine-1" };

/// An engine that takes effect at once; tests decide when orders arrive and
/// whether answers do.
struct FakeEngine
{
  bool checks_ = true;
  std::uint64_t seen_ = 0;
  UpstreamState state_;

  OrderEnd Take(const SendOrder& aOrder)
  {
    if (checks_ && aOrder.term_.Get() < seen_) {
      return OrderEnd::Refused;
    }
    seen_ = std::max(seen_, aOrder.term_.Get());
    if (aOrder.kind_ == OrderKind::Prefetch) {
      state_.loaded_[aOrder.model_] = aOrder.version_;
    } else if (aOrder.kind_ == OrderKind::Switch) {
      state_.served_[aOrder.model_] = aOrder.version_;
    }
    return OrderEnd::Done;
  }
  [[nodiscard]] std::uint64_t Served() const
  {
    const auto found = state_.served_.find("m");
    return found == state_.served_.end() ? 0 : found->second.Get();
  }
};

RolloutPolicy
MakePolicy()
{
  RolloutPolicy policy;
  policy.tries_ = 3;
  return policy;
}

/// One owner with its own view of time and lease.
struct Owner
{
  Rollout rollout_{ MakePolicy(), 1 };
  TimePoint now_;
  std::map<UpstreamId, FakeEngine*> engines_;
  std::vector<RolloutNoticeKind> notices_;
  /// Decides how an order ends; by default the engine does.
  std::function<OrderEnd(const SendOrder&, FakeEngine&)> onOrder_ =
    [](const SendOrder& aOrder, FakeEngine& aEngine) {
      return aEngine.Take(aOrder);
    };
  bool readable_ = true;

  void Own(const UpstreamId& aId, FakeEngine& aEngine, std::uint64_t aTerm)
  {
    engines_[aId] = &aEngine;
    rollout_.Own(
      { aId, kService, aEngine.checks_ }, FencingNumber{ aTerm }, now_);
  }
  void Want(std::uint64_t aVersion, std::uint64_t aSlots = 1)
  {
    rollout_.SetGoal(kService,
                     { { { "m", WeightVersion{ aVersion } } }, aSlots, 0ms });
  }
  void Perform(const RolloutAction& aAction)
  {
    if (const auto* order = std::get_if<SendOrder>(&aAction)) {
      const OrderEnd end = now_ > order->sendBy_
                             ? OrderEnd::NotSent
                             : onOrder_(*order, *engines_[order->upstream_]);
      rollout_.OnOrderEnd(order->upstream_, end, now_);
    } else if (const auto* read = std::get_if<ReadState>(&aAction)) {
      if (readable_) {
        rollout_.OnState(
          read->upstream_, engines_[read->upstream_]->state_, now_, now_);
      } else {
        rollout_.OnUnreadable(read->upstream_, now_);
      }
    } else {
      notices_.push_back(std::get<RolloutNotice>(aAction).kind_);
    }
  }
  /// Runs for a while in steps of 50 ms; the lease holds unless `aLeased` is
  /// not set.
  void Run(Duration aFor, bool aLeased = true)
  {
    const TimePoint end = now_ + aFor;
    while (now_ < end) {
      if (aLeased) {
        rollout_.OnLease(now_ + 10s);
      }
      for (const RolloutAction& action : rollout_.Decide(now_)) {
        Perform(action);
      }
      now_ = now_ + 50ms;
    }
  }
  [[nodiscard]] bool Noticed(RolloutNoticeKind aKind) const
  {
    return std::count(notices_.begin(), notices_.end(), aKind) > 0;
  }
};

} // namespace

TEST_CASE("an upstream is loaded ahead, then switched")
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

TEST_CASE("an owner paused past its lease sends nothing it had decided on")
{
  FakeEngine engine;
  engine.checks_ = false;
  Owner old;
  old.Own(kEngine, engine, 1);
  old.Want(1);
  old.Run(3s);
  REQUIRE(engine.Served() == 1);
  // It decides to load version 2, is paused, and the next owner goes to 3.
  old.Want(2);
  old.rollout_.OnLease(old.now_ + 10s);
  std::optional<RolloutAction> decided;
  while (!decided) {
    for (const RolloutAction& action : old.rollout_.Decide(old.now_)) {
      if (std::holds_alternative<SendOrder>(action)) {
        decided = action;
      } else {
        old.Perform(action);
      }
    }
    old.now_ = old.now_ + 50ms;
  }
  Owner next;
  next.now_ = old.now_ + 10s;
  next.Own(kEngine, engine, 2);
  next.Want(3);
  next.Run(3s);
  REQUIRE(engine.Served() == 3);
  old.now_ = next.now_;
  old.Perform(*decided);
  old.Run(5s, false);
  CHECK(engine.state_.loaded_.at("m") == WeightVersion{ 3 });
  CHECK(engine.Served() == 3);
}

TEST_CASE("a new owner waits out the last one's orders, then reads back")
{
  FakeEngine engine;
  engine.checks_ = false;
  Owner next;
  next.Own(kEngine, engine, 2);
  next.Want(3);
  next.Run(950ms);
  CHECK(engine.state_.loaded_.empty());
  // The last owner's order arrives at the end of its bound.
  engine.state_.served_["m"] = WeightVersion{ 2 };
  next.Run(2s);
  CHECK(engine.Served() == 3);
}

TEST_CASE("an upstream that checks numbers refuses the old of two owners")
{
  FakeEngine engine;
  engine.state_.served_["m"] = WeightVersion{ 3 };
  Owner next;
  next.Own(kEngine, engine, 2);
  next.Want(3);
  next.Run(1s);
  // Nothing had to change, yet the engine has seen the new number.
  CHECK(engine.seen_ == 2);
  Owner old;
  old.Own(kEngine, engine, 1);
  old.Want(2);
  old.Run(5s);
  CHECK(engine.Served() == 3);
  CHECK(engine.state_.loaded_.empty());
}

TEST_CASE("a failed swap is tried again, then left on its known version")
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

TEST_CASE("swaps that lose what was loaded use up the tries all the same")
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

TEST_CASE("many owners with small shares do not load at once")
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
  // 400 owners of 0.2 a second, less what is kept for retries: 72 a second.
  CHECK(taken > 50);
  CHECK(taken < 110);
}

TEST_CASE("an order whose answer was lost may arrive late and is made good")
{
  const bool checks = GENERATE(true, false);
  FakeEngine engine;
  engine.checks_ = checks;
  Owner owner;
  owner.Own(kEngine, engine, 1);
  owner.Want(1);
  owner.Run(3s);
  std::optional<SendOrder> delayed;
  owner.onOrder_ = [&](const SendOrder& aOrder, FakeEngine& aEngine) {
    if (aOrder.kind_ == OrderKind::Switch && !delayed) {
      delayed = aOrder;
      return OrderEnd::Unknown;
    }
    return aEngine.Take(aOrder);
  };
  owner.Want(2);
  owner.Run(200ms);
  REQUIRE(delayed.has_value());
  // The trainer goes on to 3; the order for 2 arrives within its bound.
  owner.Want(3);
  owner.Run(700ms);
  CHECK(engine.Served() == 1);
  engine.Take(*delayed);
  owner.Run(3s);
  CHECK(engine.Served() == 3);
}

TEST_CASE("an owner's lost lease while its answer is lost and a swap fails")
{
  FakeEngine engine;
  engine.checks_ = false;
  Owner old;
  old.Own(kEngine, engine, 1);
  old.Want(1);
  old.Run(3s);
  std::optional<SendOrder> delayed;
  old.onOrder_ = [&](const SendOrder& aOrder, FakeEngine&) {
    delayed = aOrder;
    return OrderEnd::Unknown;
  };
  old.Want(2);
  old.Run(9s, false);
  REQUIRE(delayed.has_value());
  engine.Take(*delayed);
  Owner next;
  next.now_ = old.now_ + 1s;
  next.Own(kEngine, engine, 2);
  next.Want(3);
  bool failed = false;
  next.onOrder_ = [&](const SendOrder& aOrder, FakeEngine& aEngine) {
    if (aOrder.kind_ == OrderKind::Switch && !failed) {
      failed = true;
      return OrderEnd::Failed;
    }
    return aEngine.Take(aOrder);
  };
  next.Run(5s);
  old.Run(20s, false);
  CHECK(engine.Served() == 3);
}

TEST_CASE("with the store down the weight store down and an engine crashed")
{
  FakeEngine engine;
  Owner owner;
  owner.Own(kEngine, engine, 1);
  owner.Want(4);
  owner.Run(2s);
  bool weightsDown = true;
  owner.onOrder_ = [&](const SendOrder& aOrder, FakeEngine& aEngine) {
    if (aOrder.kind_ == OrderKind::Prefetch && weightsDown) {
      return OrderEnd::StoreBusy;
    }
    return aEngine.Take(aOrder);
  };
  // The engine restarts empty while no lease can be renewed.
  engine.state_ = {};
  owner.Run(30s, false);
  CHECK(engine.Served() == 0);
  CHECK_FALSE(owner.Noticed(RolloutNoticeKind::LeftBehind));
  weightsDown = false;
  owner.Run(5s, false);
  // An upstream that checks numbers is repaired without the store, as it
  // takes nobody out of service.
  CHECK(engine.Served() == 4);
  // But without a lease nothing that answers is switched.
  owner.Want(5);
  owner.Run(10s, false);
  CHECK(engine.Served() == 4);
  owner.Run(3s);
  CHECK(engine.Served() == 5);
}

TEST_CASE("an engine that cannot be read is out of rotation until it answers")
{
  FakeEngine engine;
  Owner owner;
  owner.Own(kEngine, engine, 1);
  owner.Want(1);
  owner.Run(2s);
  owner.readable_ = false;
  owner.Run(20s);
  CHECK(owner.Noticed(RolloutNoticeKind::OutOfRotation));
  CHECK_FALSE(owner.Noticed(RolloutNoticeKind::BackInRotation));
  owner.readable_ = true;
  owner.Run(20s);
  CHECK(owner.Noticed(RolloutNoticeKind::BackInRotation));
}

TEST_CASE("no more upstreams switch at once than slots, those down included")
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
  // One engine loses its weights and cannot load: one slot is left.
  engines[0].state_ = {};
  owner.onOrder_ = [&](const SendOrder& aOrder, FakeEngine& aEngine) {
    return &aEngine == engines.data() ? OrderEnd::StoreBusy
                                      : aEngine.Take(aOrder);
  };
  owner.Run(3s);
  CHECK(switching(3) == 1);
}

TEST_CASE("shares add up to what there is and rise only after a while")
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
