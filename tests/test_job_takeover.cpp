/// Which process takes over a job whose owner is gone, and after which delay.

#include "marjoramtally/process.hpp"

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
      takeover.OnAlive(name, kStart);
    }
    takeover.OnAlive("w~1", kStart);
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
    takeover.OnAlive(name, kStart);
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
  takeover.OnAlive("x~1", kStart);
  takeover.OnAlive("w~1", kStart);
  takeover.OnOwner(JobId{ "j" }, "w~1", kStart);
  takeover.OnGone("w~1", kStart);
  takeover.OnAlive("w~1", kStart + 1s);
  REQUIRE(takeover.Due(kStart + 60s).empty());
}

TEST_CASE("a restarted instance reclaims its jobs at once")
{
  JobTakeover takeover("x~2");
  takeover.OnAlive("x~1", kStart);
  takeover.OnAlive("y~1", kStart);
  takeover.OnOwner(JobId{ "j" }, "x~1", kStart);
  REQUIRE(takeover.Due(kStart) == std::vector{ JobId{ "j" } });
  REQUIRE(InstanceOf(MakeIncarnationName(InstanceId{ "a~b" }, "7")) ==
          InstanceId{ "a~b" });
}

TEST_CASE("a job that its owner returned is claimed without a grace period")
{
  JobTakeover takeover("x~1");
  takeover.OnAlive("x~1", kStart);
  takeover.OnOwner(JobId{ "j" }, "", kStart);
  REQUIRE(takeover.Due(kStart).size() == 1);
  takeover.OnEnded(JobId{ "j" });
  REQUIRE(takeover.Due(kStart).empty());
}
