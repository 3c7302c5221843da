#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/allocation.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

const EngineUserId kLive{ "live" };
const EngineUserId kFirst{ "a" };
const EngineUserId kSecond{ "b" };

/// An allocation of ten engines with a simulated clock.
struct Pool
{
  Allocation allocation_{ AllocationPolicy{} };
  TimePoint now_;
  std::map<EngineUserId, double> demand_;
  std::uint64_t moves_ = 0;

  explicit Pool(const std::vector<EngineUserRule>& aUsers)
  {
    std::vector<UpstreamId> engines;
    for (int i = 0; i < 10; ++i) {
      engines.emplace_back("e" + std::to_string(i));
    }
    allocation_.SetUsers(aUsers);
    allocation_.SetEngines(engines);
  }
  void Run(Duration aFor)
  {
    for (const TimePoint end = now_ + aFor; now_ < end; now_ = now_ + 1s) {
      for (const auto& [user, engines] : demand_) {
        allocation_.OnDemand(user, engines, now_);
      }
      moves_ += allocation_.Decide(now_).size();
    }
  }
  [[nodiscard]] std::vector<std::uint64_t> Held() const
  {
    return { allocation_.Held(kLive),
             allocation_.Held(kFirst),
             allocation_.Held(kSecond) };
  }
};

} // namespace

TEST_CASE("engines are allocated by floor, share and ceiling")
{
  Pool pool({ { kLive, 2, 8, 1, true },
              { kFirst, 1, 10, 3, false },
              { kSecond, 1, 2, 1, false } });
  pool.demand_ = { { kLive, 1.0 }, { kFirst, 9.0 }, { kSecond, 9.0 } };
  pool.Run(20min);
  CHECK(pool.Held() == std::vector<std::uint64_t>{ 2, 6, 2 });
}

TEST_CASE("live demand reclaims engines at once, down to the floors of others")
{
  Pool pool({ { kLive, 2, 10, 1, true },
              { kFirst, 2, 10, 1, false },
              { kSecond, 1, 10, 1, false } });
  pool.demand_ = { { kLive, 1.0 }, { kFirst, 9.0 }, { kSecond, 9.0 } };
  pool.Run(20min);
  REQUIRE(pool.Held().front() == 2);
  pool.demand_[kLive] = 20.0;
  pool.Run(2s);
  CHECK(pool.Held() == std::vector<std::uint64_t>{ 7, 2, 1 });
}

TEST_CASE("noisy demand does not move engines back and forth")
{
  Pool pool({ { kLive, 2, 10, 1, true },
              { kFirst, 1, 10, 1, false },
              { kSecond, 1, 10, 1, false } });
  pool.demand_ = { { kLive, 3.0 }, { kFirst, 9.0 }, { kSecond, 9.0 } };
  pool.Run(20min);
  pool.moves_ = 0;
  Random noise(5);
  for (int i = 0; i < 3600; ++i) {
    pool.demand_ = { { kLive, 2.6 + 0.8 * noise.Unit() },
                     { kFirst, 18.0 * noise.Unit() },
                     { kSecond, 18.0 * noise.Unit() } };
    pool.Run(1s);
  }
  CHECK(pool.moves_ <= 6);
}

TEST_CASE("engines of a removed user and new engines are assigned")
{
  Pool pool({ { kLive, 2, 10, 1, true },
              { kFirst, 1, 10, 1, false },
              { kSecond, 1, 10, 1, false } });
  pool.demand_ = { { kLive, 1.0 }, { kFirst, 9.0 }, { kSecond, 9.0 } };
  pool.Run(20min);
  pool.allocation_.SetUsers(
    { { kLive, 2, 10, 1, true }, { kFirst, 1, 10, 1, false } });
  pool.allocation_.SetEngines({ UpstreamId{ "e0" },
                                UpstreamId{ "new-1" },
                                UpstreamId{ "new-2" },
                                UpstreamId{ "new-3" } });
  pool.Run(1s);
  CHECK(pool.Held() == std::vector<std::uint64_t>{ 2, 2, 0 });
  CHECK_FALSE(pool.allocation_.UserOf(UpstreamId{ "new-3" }).Get().empty());
}
