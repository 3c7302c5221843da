/// `marjoram-load`: generates HTTP load and runs benchmarks.

#include "marjoramtally/runtime/program.hpp"
#include "programs/load/experiments.hpp"

#include <array>
#include <iostream>

namespace {

/// One experiment and the function that runs it.
struct Experiment
{
  std::string_view name_;
  std::string_view help_;
  int (*run_)(int, char**);
};

constexpr auto kExperiments = std::to_array<Experiment>({
  { "http",
    "http --url URL ...: bounded HTTP load on loopback; see http --help",
    marjoramtally::RunHttpLoad },
  { "decide",
    "decide [--scenario NAME] [--json]: policies against fake engines",
    marjoramtally::RunDecide },
  { "ledger",
    "ledger: time and memory of a step's ledger, time of the journal",
    marjoramtally::RunLedgerBench },
  { "rollout",
    "rollout [--samplers N] [--store-rate N]: rollout of new weights",
    marjoramtally::RunRolloutBench },
  { "membership",
    "membership [--members N] [--zones N] [--trials N] [--seed N]: membership "
    "on a simulated clock",
    marjoramtally::RunMembershipBench },
  { "allocation",
    "allocation: engines shared among live callers and trainers",
    marjoramtally::RunAllocationBench },
});

} // namespace

int
main(int aArgc, char** aArgv)
{
  const std::string_view name = aArgc > 1 ? aArgv[1] : "--help";
  if (name == "--help") {
    std::cout << "marjoram-load EXPERIMENT [options]\n\nExperiments:\n";
    for (const Experiment& experiment : kExperiments) {
      std::cout << "  " << experiment.help_ << '\n';
    }
    return marjoramtally::kExitOk;
  }
  if (name == "--version") {
    std::cout << "marjoram-load " << marjoramtally::kVersion << '\n';
    return marjoramtally::kExitOk;
  }
  for (const Experiment& experiment : kExperiments) {
    if (experiment.name_ == name) {
      return experiment.run_(aArgc - 1, aArgv + 1);
    }
  }
  std::cerr << "marjoram-load: unknown experiment '" << name
            << "'; see marjoram-load --help\n";
  return marjoramtally::kExitBadInput;
}
