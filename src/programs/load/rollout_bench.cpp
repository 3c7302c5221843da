/// `marjoram-load rollout`: rolls out new weights to all samplers with several
/// wave sizes and permit schemes; the baselines are one sampler at a time and
/// all at once.

#include "marjoramtally/runtime/program.hpp"
#include "programs/load/experiments.hpp"
#include "programs/load/rollout_fleet.hpp"

#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>

namespace marjoramtally {

namespace {

namespace po = boost::program_options;
using bench::RolloutOutcome;
using bench::RolloutPlan;

constexpr int kNameWidth = 26;
constexpr int kColumnWidth = 10;

RolloutPlan
MakePlan(const RolloutPlan& aBase,
         std::string aName,
         std::uint64_t aFloor,
         std::uint64_t aControls)
{
  RolloutPlan plan = aBase;
  plan.name_ = std::move(aName);
  plan.floor_ = aFloor;
  plan.controls_ = aControls;
  return plan;
}

std::vector<RolloutPlan>
MakePlans(const RolloutPlan& aBase)
{
  std::vector<RolloutPlan> plans;
  RolloutPlan single = MakePlan(aBase, "one at a time", 99, 1);
  single.wave_ = 1;
  single.parallelLoads_ = 1;
  single.loadsAhead_ = false;
  single.step_ = std::chrono::milliseconds(250);
  single.limit_ = std::chrono::hours(4);
  plans.push_back(single);
  RolloutPlan all = MakePlan(aBase, "all at once, unpaced", 0, 440);
  all.paced_ = false;
  all.loadsAhead_ = false;
  plans.push_back(all);
  for (const std::uint64_t floor : { 99, 95, 90, 80, 50 }) {
    plans.push_back(MakePlan(
      aBase, "share, floor " + std::to_string(floor) + "%", floor, 440));
  }
  for (const std::uint64_t controls : { 9, 27, 110 }) {
    plans.push_back(MakePlan(
      aBase, "share, " + std::to_string(controls) + " controls", 90, controls));
  }
  for (const std::uint64_t controls : { 9, 27, 110, 440 }) {
    RolloutPlan plan = MakePlan(
      aBase, "record, " + std::to_string(controls) + " controls", 90, controls);
    plan.usesPermitRecord_ = true;
    plans.push_back(plan);
  }
  return plans;
}

void
PrintHeader()
{
  std::cout << std::left << std::setw(kNameWidth) << "plan" << std::right;
  for (const char* name : { "owners",
                            "slots",
                            "done",
                            "seconds",
                            "ratio",
                            "answering",
                            "loads",
                            "refused",
                            "peak/s",
                            "failed",
                            "st_reads",
                            "st_writes",
                            "reads/s" }) {
    std::cout << std::setw(kColumnWidth) << name;
  }
  std::cout << '\n';
}

void
PrintRow(const RolloutPlan& aPlan, const RolloutOutcome& aOut, double aBase)
{
  std::cout << std::left << std::setw(kNameWidth) << aPlan.name_ << std::right
            << std::fixed << std::setprecision(1);
  for (const std::uint64_t value : { aOut.owners_, aOut.slots_, aOut.done_ }) {
    std::cout << std::setw(kColumnWidth) << value;
  }
  std::cout << std::setw(kColumnWidth) << aOut.seconds_
            << std::setw(kColumnWidth) << std::setprecision(4)
            << aOut.seconds_ / aBase << std::setprecision(1);
  for (const std::uint64_t value : { aOut.minAnswering_,
                                     aOut.loads_,
                                     aOut.refusedLoads_,
                                     aOut.peakLoads_,
                                     aOut.failedSwaps_,
                                     aOut.storeReads_,
                                     aOut.storeWrites_ }) {
    std::cout << std::setw(kColumnWidth) << value;
  }
  std::cout << std::setw(kColumnWidth) << aOut.readsPerSecond_ << '\n';
}

} // namespace

int
RunRolloutBench(int aArgc, char** aArgv)
{
  RolloutPlan base;
  po::options_description described("marjoram-load rollout");
  auto add = described.add_options();
  add("help", "print this text");
  add("samplers", po::value(&base.samplers_), "samplers, 1 to 10000");
  add("store-rate",
      po::value(&base.storeRate_),
      "loads per second of the weight store");
  add("failures", po::value(&base.failedSwaps_), "share of swaps that fail");
  add("seed", po::value(&base.seed_), "seed");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, described), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << "marjoram-load: " << failure.what() << '\n';
    return kExitBadInput;
  }
  if (values.count("help") != 0) {
    std::cout << described;
    return kExitOk;
  }
  constexpr std::uint64_t kMaxSamplers = 10'000;
  if (base.samplers_ == 0 || base.samplers_ > kMaxSamplers ||
      base.storeRate_ < 1.0 || base.failedSwaps_ < 0.0 ||
      base.failedSwaps_ > 1.0) {
    std::cerr
      << "marjoram-load: --samplers must be from 1 to 10000, --store-rate at "
         "least 1, --failures from 0 to 1\n";
    return kExitBadInput;
  }
  PrintHeader();
  double single = 0.0;
  for (const RolloutPlan& plan : MakePlans(base)) {
    const RolloutOutcome outcome = bench::RunRollout(plan);
    single = single == 0.0 ? outcome.seconds_ : single;
    PrintRow(plan, outcome, single);
  }
  return kExitOk;
}

} // namespace marjoramtally
