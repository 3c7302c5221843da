/// Which process takes over a job whose owner is gone, and after which delay.

#include "marjoramtally/process.hpp"

#include "marjoramtally/base/random.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };

} // namespace

TEST_CASE("candidates claim a job one after the other, after a grace period")
{
  const JobId job{ "j" };
  const std::vector<std::string> names{ "x~1", "y~1", "z~1" };
  int first = 0;
  for (const std::string& self : names) {
    TakeoverPolicy policy;
    policy.lossGrace_ = policy.returnGrace_;
    JobTakeover takeover(self, policy);
    for (const std::string& name : names) {
      takeover.OnAlive(name, {});
    }
    takeover.OnAlive("w~1", {});
    takeover.OnOwner(job, "w~1", kStart);
    REQUIRE(takeover.NextDue() == kNever);
    takeover.OnGone("w~1", kStart + 1s);
    REQUIRE(takeover.Due(kStart + 2s).empty());
    first +=
      takeover.Due(kStart + 1s + TakeoverPolicy{}.returnGrace_).empty() ? 0 : 1;
    REQUIRE(takeover.Due(kStart + 10s).size() == 1);
    takeover.OnOwner(job, names.front(), kStart + 3s);
    REQUIRE(takeover.Due(kStart + 20s).empty());
  }
  REQUIRE(first == 1);
}

TEST_CASE("takeover is immediate if few processes vanish, delayed if most do")
{
  const bool zone = GENERATE(true, false);
  JobTakeover takeover("a~1");
  const std::vector<std::string> stay =
    zone ? std::vector<std::string>{ "a~1", "b~1", "c~1" }
         : std::vector<std::string>{ "a~1" };
  for (const char* name : { "a~1", "b~1", "c~1", "y~1", "z~1" }) {
    takeover.OnAlive(name, {});
  }
  const JobId job{ "j" };
  takeover.OnOwner(job, "z~1", kStart);
  for (const char* name : { "b~1", "c~1", "y~1", "z~1" }) {
    if (std::find(stay.begin(), stay.end(), name) == stay.end()) {
      takeover.OnGone(name, kStart + 1s);
    }
  }
  const Duration wait = takeover.NextDue() - (kStart + 1s);
  if (zone) {
    // Only the delay by rank among the remaining processes.
    REQUIRE(wait.count() % TakeoverPolicy{}.rankStep_.count() == 0);
    REQUIRE(wait <= TakeoverPolicy{}.rankStep_ * 2);
  } else {
    REQUIRE(wait == TakeoverPolicy{}.returnGrace_);
  }
}

TEST_CASE("a liveness record that reappears cancels the takeover")
{
  JobTakeover takeover("x~1");
  takeover.OnAlive("x~1", {});
  takeover.OnAlive("w~1", {});
  takeover.OnOwner(JobId{ "j" }, "w~1", kStart);
  takeover.OnGone("w~1", kStart);
  takeover.OnAlive("w~1", {});
  REQUIRE(takeover.Due(kStart + 60s).empty());
}

TEST_CASE("the process with the most capacity claims a job first")
{
  constexpr Capacity kSmall{ 90 };
  constexpr Capacity kLarge{ 500 };
  for (int i = 0; i < 20; ++i) {
    const JobId job{ "j" + std::to_string(i) };
    const auto ranksFirst = [&](const std::string& aSelf) {
      JobTakeover takeover(aSelf);
      takeover.OnAlive("a~1", kSmall);
      takeover.OnAlive("b~1", kLarge);
      takeover.OnAlive("c~1", kSmall);
      return takeover.RanksFirst(job);
    };
    REQUIRE(ranksFirst("b~1"));
    REQUIRE_FALSE(ranksFirst("a~1"));
    REQUIRE_FALSE(ranksFirst("c~1"));
  }
}

TEST_CASE("a restarted instance reclaims its jobs at once")
{
  JobTakeover takeover("x~2");
  takeover.OnAlive("x~1", {});
  takeover.OnAlive("y~1", {});
  takeover.OnOwner(JobId{ "j" }, "x~1", kStart);
  REQUIRE(takeover.Due(kStart) == std::vector{ JobId{ "j" } });
  REQUIRE(InstanceOf(MakeIncarnationName(InstanceId{ "a~b" }, "7")) ==
          InstanceId{ "a~b" });
}

TEST_CASE("a job that its owner returned is claimed without a grace period")
{
  JobTakeover takeover("x~1");
  takeover.OnAlive("x~1", {});
  takeover.OnOwner(JobId{ "j" }, "", kStart);
  REQUIRE(takeover.Due(kStart).size() == 1);
  takeover.OnEnded(JobId{ "j" });
  REQUIRE(takeover.Due(kStart).empty());
}

// Each look ranked every job without an owner against all processes: with 40
// such jobs and a fifth of 835 processes gone, an eighth of a core needed 40 ms
// after each batch of changes.
TEST_CASE("the work of a look at jobs without an owner does not grow with the "
          "fleet")
{
  std::map<int, std::uint64_t> inspected;
  for (const int processes : { 100, 1000 }) {
    JobTakeover takeover("p0~1");
    for (int i = 0; i < processes; ++i) {
      takeover.OnAlive("p" + std::to_string(i) + "~1", {});
    }
    for (int job = 0; job < 40; ++job) {
      takeover.OnOwner(JobId{ "j" + std::to_string(job) }, "p9~1", kStart);
    }
    takeover.OnGone("p9~1", kStart);
    static_cast<void>(takeover.NextDue());
    const std::uint64_t before = takeover.InspectedCount();
    for (int i = 10; i < 30; ++i) {
      takeover.OnGone("p" + std::to_string(i) + "~1", kStart);
      static_cast<void>(takeover.Due(kStart));
      static_cast<void>(takeover.NextDue());
    }
    inspected[processes] = takeover.InspectedCount() - before;
  }
  REQUIRE(inspected.at(100) <= 20 * 40);
  REQUIRE(inspected.at(1000) == inspected.at(100));
}

TEST_CASE("ranks that are kept up to date equal those computed anew")
{
  Random random(7);
  JobTakeover kept("p3~1");
  std::map<std::string, Capacity> alive;
  const JobId job{ "j" };
  kept.OnOwner(job, "", kStart);
  for (int i = 0; i < 300; ++i) {
    const std::string name = "p" + std::to_string(random.Below(20)) + "~1";
    if (alive.contains(name) && random.Below(2) == 0) {
      kept.OnGone(name, kStart + std::chrono::milliseconds(i));
      alive.erase(name);
    } else {
      const Capacity capacity{ static_cast<std::uint32_t>(100 *
                                                          random.Below(3)) };
      kept.OnAlive(name, capacity);
      alive[name] = capacity;
    }
    JobTakeover fresh("p3~1");
    for (const auto& [other, capacity] : alive) {
      fresh.OnAlive(other, capacity);
    }
    fresh.OnOwner(job, "", kStart);
    REQUIRE(kept.NextDue() == fresh.NextDue());
    REQUIRE(kept.RanksFirst(job) == fresh.RanksFirst(job));
  }
}
