#include "rollout_owner.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;

TEST_CASE("an owner paused beyond its lease sends no order decided before")
{
  FakeEngine engine;
  engine.checks_ = false;
  Owner old;
  old.Own(kEngine, engine, 1);
  old.Want(1);
  old.Run(3s);
  REQUIRE(engine.Served() == 1);
  // The owner decides to load version 2 and is paused; the next owner switches
  // to version 3.
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

TEST_CASE("a new owner waits until earlier orders expire, then reads the state")
{
  FakeEngine engine;
  engine.checks_ = false;
  Owner next;
  next.Own(kEngine, engine, 2);
  next.Want(3);
  next.Run(950ms);
  CHECK(engine.state_.loaded_.empty());
  // The previous owner's order arrives at the end of its time limit.
  engine.state_.served_["m"] = WeightVersion{ 2 };
  next.Run(2s);
  CHECK(engine.Served() == 3);
}

TEST_CASE("an upstream that checks fencing numbers refuses the earlier owner")
{
  FakeEngine engine;
  engine.state_.served_["m"] = WeightVersion{ 3 };
  Owner next;
  next.Own(kEngine, engine, 2);
  next.Want(3);
  next.Run(1s);
  // No version had to change, but the engine has seen the new fencing number.
  CHECK(engine.seen_ == 2);
  Owner old;
  old.Own(kEngine, engine, 1);
  old.Want(2);
  old.Run(5s);
  CHECK(engine.Served() == 3);
  CHECK(engine.state_.loaded_.empty());
}

TEST_CASE("a late order whose reply was lost is corrected")
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
  // The trainer moves on to version 3; the order for version 2 arrives within
  // its time limit.
  owner.Want(3);
  owner.Run(700ms);
  CHECK(engine.Served() == 1);
  engine.Take(*delayed);
  owner.Run(3s);
  CHECK(engine.Served() == 3);
}

TEST_CASE("an owner loses its lease and a reply, the next owner's switch fails")
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

TEST_CASE("store and weight store are down and an engine crashed")
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
  // An upstream that checks fencing numbers is repaired without the store,
  // because this takes no serving upstream out of rotation.
  CHECK(engine.Served() == 4);
  // Without a lease, a serving upstream is not switched.
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
