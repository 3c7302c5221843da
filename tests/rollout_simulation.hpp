/// Simulates training steps on a fleet: the real weight plan, a real ledger for
/// each step and a real upstream table for its owner, with upstreams that share
/// their slots, slow down as they fill and stop while weights change.
#pragma once

#include "marjoramtally/process.hpp"
#include "marjoramtally/version/job_ledger.hpp"

#include <deque>
#include <functional>

namespace marjoramtally::test {

/// Items of a trainer's steps.
struct StepSize
{
  std::size_t groups_ = 0;
  std::size_t groupItems_ = 0;
  /// Mean length of most texts in events; one text in twelve is five times as
  /// long.
  double events_ = 18.0;
};

/// The fleet and its load.
struct SimulationSetup
{
  std::size_t upstreams_ = 8;
  std::size_t zones_ = 3;
  std::uint32_t slots_ = 8;
  /// One entry for each trainer.
  std::vector<StepSize> trainers_{ { 6, 8 }, { 12, 4 }, { 7, 4 } };
  std::size_t steps_ = 12;
  Duration stepTime_ = std::chrono::seconds(4);
  Duration trainTime_ = std::chrono::seconds(1);
  /// Duration of an event on an upstream with one run, and the relative
  /// slowdown for each further run.
  double eventMillis_ = 25.0;
  double slowdownOfRun_ = 0.035;
  std::uint32_t maxEvents_ = 176;
  /// Whether the plan sees the upstreams one after the other instead of all at
  /// once.
  bool registerInTurn_ = false;
  WeightPlanPolicy plan_;
  JobPolicy job_;
  std::uint64_t seed_ = 1;
};

/// Results for the trainers.
struct SimulationResult
{
  std::size_t steps_ = 0;
  /// Steps with all awaited groups complete within 7.5 s.
  std::size_t onTime_ = 0;
  /// Mean time until the awaited groups of a step were complete.
  Duration meanStep_{ 0 };
  Duration longestStep_{ 0 };
  /// Groups that were complete within 7.5 s of the start of their step.
  std::size_t groupsOnTime_ = 0;
  std::size_t loads_ = 0;
};

/// One simulation. Advances in ticks of 10 ms.
class RolloutSimulation
{
public:
  explicit RolloutSimulation(SimulationSetup aSetup);
  [[nodiscard]] SimulationResult Run();

private:
  struct Item
  {
    std::uint32_t trainer_ = 0;
    std::uint64_t step_ = 0;
    std::size_t group_ = 0;
    ItemIndex index_ = 0;
    /// Events still to generate.
    double left_ = 0;
    std::size_t upstream_ = kNowhere;
  };
  struct Step
  {
    TimePoint begun_;
    JobLedger ledger_;
    std::vector<Item*> items_;
    /// Number of incomplete items of each group.
    std::vector<std::size_t> open_;
    /// Number of groups that the trainer still waits for.
    std::size_t awaited_ = 0;
  };
  struct Trainer
  {
    std::string model_;
    std::uint64_t step_ = 0;
    TimePoint next_{ kTick };
    std::optional<Step> open_;
    UpstreamTable upstreamTable_{ ZoneId{ "z0" } };
  };
  struct Upstream
  {
    UpstreamEntry entry_;
    std::map<std::string, WeightVersion> versions_;
    std::string loading_;
    WeightVersion target_;
    TimePoint loaded_ = kNever;
    std::vector<Item*> running_;
    std::deque<Item*> queue_;
  };

  static constexpr Duration kTick{ 10000 };
  static constexpr std::size_t kNowhere = SIZE_MAX;

  void BeginStep(Trainer& aTrainer);
  void Place(Trainer& aTrainer);
  void Advance(std::size_t aUpstream);
  void Finish(Item& aItem);
  void EndStep(Trainer& aTrainer);
  void Load();
  [[nodiscard]] std::vector<PlanUpstream> PlanView() const;
  void PublishEntry(std::size_t aUpstream);
  [[nodiscard]] std::uint32_t DrawLength(double aMean);

  SimulationSetup setup_;
  Random random_;
  WeightPlan plan_;
  TimePoint now_{ kTick };
  std::vector<Upstream> upstreams_;
  std::deque<Trainer> trainers_;
  std::deque<Item> items_;
  SimulationResult result_;
};

} // namespace marjoramtally::test
