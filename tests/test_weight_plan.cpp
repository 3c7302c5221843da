/// The weight plan: which upstreams are replicas of which models, and what they
/// load next.

#include "plan_fleet.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };
const ServiceId kService{ "svc" };

/// Every upstream is a replica of one model and should hold its newest version.
WeightPlanPolicy
LoadAll(std::uint32_t aAtOnce)
{
  WeightPlanPolicy policy;
  policy.minConcurrentLoads_ = aAtOnce;
  policy.newestShare_ = 1.0;
  policy.maxReplicasPerUpstream_ = 1.0;
  return policy;
}

PlanUpstream
MakePlanUpstream(int aNumber, std::uint64_t aA, std::uint64_t aB)
{
  PlanUpstream upstream;
  upstream.id_ = UpstreamId{ "u" + std::to_string(aNumber) };
  upstream.service_ = kService;
  upstream.versions_ = { { "a", WeightVersion{ aA } },
                         { "b", WeightVersion{ aB } } };
  return upstream;
}

/// Plans and completes loads at once until nothing is left to load.
/// @returns the number of loads
std::size_t
LoadAllPlanned(WeightPlan& aPlan, std::vector<PlanUpstream>& aFleet)
{
  std::size_t count = 0;
  for (auto loads = aPlan.Next(aFleet); !loads.empty();
       loads = aPlan.Next(aFleet)) {
    for (const PlannedLoad& load : loads) {
      ++count;
      for (PlanUpstream& upstream : aFleet) {
        if (upstream.id_ == load.upstream_) {
          upstream.versions_[load.model_] = load.version_;
        }
      }
    }
  }
  return count;
}

} // namespace

TEST_CASE("a new version is loaded only by replicas of its model")
{
  WeightPlan plan(LoadAll(8));
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < 4; ++i) {
    fleet.push_back(MakePlanUpstream(i, 1, 1));
  }
  plan.OnVersionAnnounced("a", WeightVersion{ 2 }, kStart);
  std::set<UpstreamId> loaded;
  for (int round = 0; round < 4; ++round) {
    for (const PlannedLoad& load : plan.Next(fleet)) {
      REQUIRE(load.model_ == "a");
      loaded.insert(load.upstream_);
      for (PlanUpstream& upstream : fleet) {
        if (upstream.id_ == load.upstream_) {
          upstream.versions_["a"] = load.version_;
        }
      }
    }
  }
  REQUIRE(loaded.size() == 2);
  for (const UpstreamId& id : loaded) {
    REQUIRE(plan.FirstModelAt(id) == "a");
  }
}

TEST_CASE("half of a model's replicas keep serving while others load")
{
  WeightPlan plan(LoadAll(8));
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < 8; ++i) {
    fleet.push_back(MakePlanUpstream(i, 1, 1));
  }
  plan.OnVersionAnnounced("a", WeightVersion{ 2 }, kStart);
  const auto loads = plan.Next(fleet);
  REQUIRE(loads.size() == 2);
  for (PlanUpstream& upstream : fleet) {
    upstream.busy_ =
      upstream.id_ == loads[0].upstream_ || upstream.id_ == loads[1].upstream_;
  }
  REQUIRE(plan.Next(fleet).empty());
}

TEST_CASE("concurrent loads are limited over all models")
{
  WeightPlan plan(LoadAll(2));
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < 12; ++i) {
    fleet.push_back(MakePlanUpstream(i, 1, 1));
  }
  plan.OnVersionAnnounced("a", WeightVersion{ 2 }, kStart);
  plan.OnVersionAnnounced("b", WeightVersion{ 2 }, kStart);
  REQUIRE(plan.Next(fleet).size() == 2);
}

TEST_CASE("a new holder restores replicas from the versions it finds")
{
  WeightPlan plan(LoadAll(8));
  plan.OnVersionAnnounced("a", WeightVersion{ 9 }, kStart);
  plan.OnVersionAnnounced("b", WeightVersion{ 9 }, kStart);
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < 4; ++i) {
    fleet.push_back(i % 2 == 0 ? MakePlanUpstream(i, 9, 2)
                               : MakePlanUpstream(i, 2, 9));
  }
  REQUIRE(plan.Next(fleet).empty());
  REQUIRE(plan.FirstModelAt(UpstreamId{ "u0" }) == "a");
  REQUIRE(plan.FirstModelAt(UpstreamId{ "u1" }) == "b");
}

TEST_CASE("a model that loses all replicas gets a new one")
{
  WeightPlan plan(LoadAll(8));
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < 4; ++i) {
    fleet.push_back(i < 2 ? MakePlanUpstream(i, 9, 2)
                          : MakePlanUpstream(i, 2, 9));
  }
  plan.OnVersionAnnounced("a", WeightVersion{ 9 }, kStart);
  plan.OnVersionAnnounced("b", WeightVersion{ 9 }, kStart);
  REQUIRE(plan.Next(fleet).empty());
  fleet.resize(2);
  const auto loads = plan.Next(fleet);
  REQUIRE(loads.size() == 1);
  REQUIRE(loads.front().model_ == "b");
}

TEST_CASE("a single upstream is a replica of both models")
{
  WeightPlan plan(LoadAll(8));
  plan.OnVersionAnnounced("a", WeightVersion{ 2 }, kStart);
  plan.OnVersionAnnounced("b", WeightVersion{ 2 }, kStart);
  std::vector<PlanUpstream> fleet{ MakePlanUpstream(0, 1, 1) };
  std::set<std::string> models;
  for (int round = 0; round < 2; ++round) {
    for (const PlannedLoad& load : plan.Next(fleet)) {
      models.insert(load.model_);
      fleet.front().versions_[load.model_] = load.version_;
    }
  }
  REQUIRE(models.size() == 2);
}

TEST_CASE("half of a model's replicas load each version, in turn")
{
  WeightPlan plan;
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < 4; ++i) {
    fleet.push_back(MakePlanUpstream(i, 1, 1));
    fleet.back().versions_.erase("b");
  }
  std::map<UpstreamId, std::vector<std::uint64_t>> loaded;
  for (std::uint64_t version = 2; version <= 5; ++version) {
    plan.OnVersionAnnounced("a", WeightVersion{ version }, kStart);
    for (int round = 0; round < 6; ++round) {
      for (const PlannedLoad& load : plan.Next(fleet)) {
        loaded[load.upstream_].push_back(load.version_.Get());
        for (PlanUpstream& upstream : fleet) {
          if (upstream.id_ == load.upstream_) {
            upstream.versions_["a"] = load.version_;
          }
        }
      }
    }
    for (const PlanUpstream& upstream : fleet) {
      // No upstream is further behind than a step allows.
      REQUIRE(upstream.versions_.at("a").Get() + 1 >= version);
    }
  }
  REQUIRE(loaded.size() == 4);
  for (const auto& [id, versions] : loaded) {
    REQUIRE(versions.size() == 2);
  }
}

TEST_CASE("replicas of several models cost no more loads than an equal share")
{
  WeightPlan plan;
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < 8; ++i) {
    fleet.push_back(MakePlanUpstream(i, 1, 1));
    fleet.back().zone_ = ZoneId{ "z" + std::to_string(i % 3) };
    fleet.back().versions_["c"] = WeightVersion{ 1 };
  }
  for (std::uint64_t version = 2; version <= 9; ++version) {
    for (const char* model : { "a", "b", "c" }) {
      plan.OnVersionAnnounced(model,
                              WeightVersion{ version },
                              kStart + std::chrono::seconds(4 * version));
    }
    const std::size_t loads = LoadAllPlanned(plan, fleet);
    // At most one load for each upstream, summed over the three models.
    REQUIRE(loads <= 8);
    if (version < 4) {
      // Any upstream may serve the first versions.
      continue;
    }
    for (const char* model : { "a", "b", "c" }) {
      std::set<ZoneId> zones;
      std::size_t usable = 0;
      for (const PlanUpstream& upstream : fleet) {
        // A step accepts its version and the one before.
        if (upstream.versions_.at(model).Get() + 1 >= version) {
          zones.insert(upstream.zone_);
          ++usable;
        }
      }
      REQUIRE(usable == 4);
      REQUIRE(zones.size() == 3);
    }
  }
}

TEST_CASE("a single model has replicas on all upstreams")
{
  WeightPlan plan;
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < 20; ++i) {
    fleet.push_back(MakePlanUpstream(i, 1, 1));
    fleet.back().versions_.erase("b");
  }
  plan.OnVersionAnnounced("a", WeightVersion{ 2 }, kStart);
  plan.OnVersionAnnounced("a", WeightVersion{ 3 }, kStart);
  LoadAllPlanned(plan, fleet);
  for (const PlanUpstream& upstream : fleet) {
    REQUIRE(upstream.versions_.at("a") == WeightVersion{ 3 });
  }
}

TEST_CASE("a model has as many replicas as loads can keep up to date")
{
  const auto [upstreams, period, replicas] =
    GENERATE(table<int, int, std::size_t>({
      // Upstreams, seconds between versions, expected replicas. The limits of
      // concurrent loads are 2 and 7.
      { 8, 4, 4 },
      { 8, 2, 3 },
      { 35, 4, 10 },
      { 35, 3, 9 },
      { 35, 2, 9 },
      { 35, 60, 13 },
    }));
  WeightPlan plan;
  std::vector<PlanUpstream> fleet;
  for (int i = 0; i < upstreams; ++i) {
    fleet.push_back(MakePlanUpstream(i, 1, 1));
    fleet.back().versions_["c"] = WeightVersion{ 1 };
    if (upstreams > 8) {
      fleet.back().versions_["d"] = WeightVersion{ 1 };
    }
  }
  constexpr std::uint64_t kVersions = 60;
  for (std::uint64_t version = 2; version <= kVersions; ++version) {
    for (const auto& [model, held] : fleet.front().versions_) {
      const auto second = static_cast<std::int64_t>(version) * period;
      plan.OnVersionAnnounced(
        model, WeightVersion{ version }, kStart + std::chrono::seconds(second));
    }
    LoadAllPlanned(plan, fleet);
  }
  const auto usable = std::count_if(
    fleet.begin(), fleet.end(), [](const PlanUpstream& aUpstream) {
      return aUpstream.versions_.at("a").Get() + 1 >= kVersions;
    });
  REQUIRE(static_cast<std::size_t>(usable) == replicas);
}

TEST_CASE("replicas are spread although upstreams register one by one")
{
  const int upstreams = GENERATE(2, 3, 8, 10, 35, 77, 100);
  const int models = GENERATE(1, 2, 3, 8, 12);
  CAPTURE(upstreams, models);
  WeightPlan plan;
  const std::vector<PlanUpstream> all = MakeFleet(upstreams, models);
  std::vector<PlanUpstream> present;
  for (const PlanUpstream& upstream : all) {
    present.push_back(upstream);
    REQUIRE(plan.Next(present).empty());
  }
  std::size_t replicas = 0;
  std::size_t maxModels = 0;
  for (const PlanUpstream& upstream : all) {
    replicas += plan.CountModelsAt(upstream.id_);
    maxModels = std::max(maxModels, plan.CountModelsAt(upstream.id_));
  }
  REQUIRE(replicas >= static_cast<std::size_t>(models));
  const auto count = static_cast<std::size_t>(upstreams);
  REQUIRE(maxModels <= (replicas + count - 1) / count + 1);
}

TEST_CASE("where loads cannot keep up, no upstream loads all the time")
{
  // Ten upstreams, eight models, two concurrent loads, a version every 4 s. A
  // load takes 1.1 s, so 1.8 loads per second are possible while 2.0 versions
  // per second are announced.
  constexpr int kSeconds = 40;
  WeightPlan plan;
  std::vector<PlanUpstream> fleet;
  for (const PlanUpstream& upstream : MakeFleet(10, 8)) {
    fleet.push_back(upstream);
    REQUIRE(plan.Next(fleet).empty());
  }
  std::map<UpstreamId, int> loadingTicks;
  std::map<UpstreamId, std::pair<PlannedLoad, int>> loading;
  // Ticks of 100 ms.
  for (int tick = 0; tick < 10 * kSeconds; ++tick) {
    const TimePoint now = kStart + std::chrono::milliseconds(100 * tick);
    for (int model = 0; model < 8; ++model) {
      if (tick % 40 == 5 * model) {
        plan.OnVersionAnnounced(
          "m" + std::to_string(model),
          WeightVersion{ 2 + static_cast<unsigned>(tick) / 40 },
          now);
      }
    }
    for (PlanUpstream& upstream : fleet) {
      const auto it = loading.find(upstream.id_);
      if (it != loading.end() && it->second.second <= tick) {
        upstream.versions_[it->second.first.model_] = it->second.first.version_;
        upstream.busy_ = false;
        loading.erase(it);
      }
      loadingTicks[upstream.id_] += upstream.busy_ ? 1 : 0;
    }
    for (const PlannedLoad& load : plan.Next(fleet)) {
      loading[load.upstream_] = { load, tick + 11 };
      for (PlanUpstream& upstream : fleet) {
        upstream.busy_ = upstream.busy_ || upstream.id_ == load.upstream_;
      }
    }
  }
  for (const auto& [id, ticks] : loadingTicks) {
    CAPTURE(id.Get(), ticks);
    REQUIRE(ticks <= 10 * kSeconds / 2);
  }
}

// The first plan of a new holder examined all upstreams once for each replica
// that it assigned: 13 million times with 3,001 upstreams. It blocked its
// process for longer than its lease, as did that of the next holder, so the
// duty moved from holder to holder and a third of a day's requests was not
// served. Every later plan took half a second.
TEST_CASE("the work of a plan is linear in the number of upstreams")
{
  const int upstreams = GENERATE(300, 3000);
  constexpr int kModels = 8;
  CAPTURE(upstreams);
  WeightPlan plan;
  const std::vector<PlanUpstream> fleet = MakeFleet(upstreams, kModels);
  for (int model = 0; model < kModels; ++model) {
    plan.OnVersionAnnounced(
      "m" + std::to_string(model), WeightVersion{ 2 }, kStart);
  }
  // A few examinations of each upstream for each model.
  constexpr std::uint64_t kMaxExaminations = 4;
  const std::uint64_t bound = kMaxExaminations * kModels * fleet.size();
  REQUIRE_FALSE(plan.Next(fleet).empty());
  REQUIRE(plan.ExaminedCandidates() <= bound);
  REQUIRE_FALSE(plan.Next(fleet).empty());
  REQUIRE(plan.ExaminedCandidates() <= bound);
}

// A step waits for its longest text, and a load at its upstream stalls that
// text by a second or moves it.
TEST_CASE("a version is loaded first where no long run is in progress")
{
  WeightPlan plan;
  std::vector<PlanUpstream> upstreams;
  for (int i = 0; i < 12; ++i) {
    PlanUpstream upstream{ UpstreamId{ "u" + std::to_string(10 + i) },
                           ServiceId{ "lm" },
                           ZoneId{ "z" + std::to_string(i % 3) },
                           { { "m", WeightVersion{ 1 } } } };
    upstream.longRuns_ = i < 6 ? 1 : 0;
    upstreams.push_back(upstream);
  }
  plan.OnVersionAnnounced(
    "m", WeightVersion{ 2 }, TimePoint{ std::chrono::seconds(1) });
  const auto loads = plan.Next(upstreams);
  REQUIRE(loads.size() == 2);
  for (const PlannedLoad& load : loads) {
    REQUIRE(load.upstream_ >= UpstreamId{ "u16" });
  }
  // Two versions behind, an upstream cannot serve a step, so its long runs do
  // not matter.
  plan.OnVersionAnnounced(
    "m", WeightVersion{ 3 }, TimePoint{ std::chrono::seconds(5) });
  for (std::size_t i = 6; i < upstreams.size(); ++i) {
    upstreams[i].versions_["m"] = WeightVersion{ 2 };
  }
  for (const PlannedLoad& load : plan.Next(upstreams)) {
    REQUIRE(load.upstream_ < UpstreamId{ "u16" });
  }
}
