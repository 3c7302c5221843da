#include "marjoramtally/process.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

namespace {

TimePoint
At(std::int64_t aMillis)
{
  return TimePoint{ std::chrono::milliseconds(aMillis) };
}

/// Trains the policy with 10 ms per token and lengths of 50 and 100 tokens.
void
TrainPolicy(StragglerPolicy& aPolicy)
{
  for (std::uint64_t i = 0; i < 200; ++i) {
    const std::int64_t tokens = i % 2 == 0 ? 100 : 50;
    aPolicy.OnStarted({ TicketId{ 1000 + i }, 0, 100, false }, At(0));
    aPolicy.OnEnded(
      TicketId{ 1000 + i }, static_cast<double>(tokens), At(10 * tokens));
  }
}

} // namespace

TEST_CASE("a slow member is resumed elsewhere, a long one continues")
{
  StragglerPolicy policy;
  TrainPolicy(policy);
  policy.OnStarted({ TicketId{ 1 }, 1, 100, true }, At(0));
  policy.OnStarted({ TicketId{ 2 }, 1, 100, true }, At(0));
  // Both have run for 5 s: one has 480 tokens, the other 40.
  policy.OnProgress(TicketId{ 1 }, 480);
  policy.OnProgress(TicketId{ 2 }, 40);
  const auto actions = policy.Review(At(5000), 8);
  REQUIRE(actions.size() == 1);
  CHECK(actions.front().ticket_ == TicketId{ 2 });
  CHECK(actions.front().kind_ == StragglerAction::Kind::Resume);
  CHECK(policy.Review(At(6000), 8).empty());
}

TEST_CASE(
  "hedges stay within the budget and the idle slots, latest member first")
{
  StragglerPolicy policy;
  TrainPolicy(policy);
  // 15,000 tokens were generated; 4% of them allow six second runs of 100.
  for (std::uint64_t i = 1; i <= 20; ++i) {
    policy.OnStarted({ TicketId{ i }, i, 100, false },
                     At(static_cast<std::int64_t>(i)));
  }
  CHECK(policy.Review(At(800), 8).empty());
  CHECK(policy.Review(At(5000), 0).empty());
  const auto first = policy.Review(At(5000), 2);
  REQUIRE(first.size() == 2);
  CHECK(first.front().ticket_ == TicketId{ 1 });
  CHECK(first.front().kind_ == StragglerAction::Kind::Hedge);
  CHECK(policy.Review(At(5000), 100).size() == 4);
  CHECK(policy.Review(At(5000), 100).empty());
  // A hedge that ended without discarded tokens releases its reservation.
  policy.OnEnded(TicketId{ 1 }, std::nullopt, At(5100));
  CHECK(policy.Review(At(5200), 100).size() == 1);
  policy.OnWasted(1000);
  policy.OnEnded(TicketId{ 2 }, std::nullopt, At(5300));
  CHECK(policy.Review(At(5400), 100).empty());
}
