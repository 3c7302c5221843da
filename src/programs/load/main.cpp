/// Load and experiments.

#include "marjoramtally/runtime/program.hpp"
#include "programs/load/experiments.hpp"

#include <array>
#include <iostream>

namespace {

/// One experiment and what runs it.
struct Experiment
{
  std::string_view name_;
  std::string_view help_;
  int (*run_)(int, char**);
};

constexpr auto kExperiments = std::to_array<Experiment>({
  { "http",
    "http --url URL ...: bounded load on loopback; http --help",
    marjoramtally::RunHttpLoad },
  { "decide",
    "decide [--scenario NAME] [--json]: policies against fake engines",
    marjoramtally::RunDecide },
  { "ledger",
    "ledger: time and memory of a step's ledger, time of the journal",
    marjoramtally::RunLedgerBench },
  { "rollout",
    "rollout [--samplers N] [--store-rate N]: new weights on all samplers",
    marjoramtally::RunRolloutBench },
  { "membership",
    "membership [--members N] [--zones N] [--trials N] [--seed N]: membership "
    "on a paused clock",
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
