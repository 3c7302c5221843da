#include "programs/load/decide.hpp"

#include "marjoramtally/runtime/program.hpp"
#include "programs/load/experiments.hpp"

#include <array>
#include <boost/program_options.hpp>
#include <iostream>

namespace marjoramtally {

namespace {

namespace po = boost::program_options;
using namespace bench;

constexpr std::uint64_t kMaxSeconds = 3600;

constexpr auto kScenarios = std::to_array<DecideScenario>({
  { "routing", "policies at 50, 90 and 150% load", RunRoutingScenario },
  { "sharing",
    "trainers with weights 1:1:2 under variants of fair queueing",
    RunSharingScenario },
  { "overload",
    "live callers, with and without trainers, at up to twice the peak",
    RunOverloadScenario },
  { "queue",
    "time of queue operations per request while others wait",
    RunQueueScenario },
  { "groups",
    "sample groups while one engine at a time is slow",
    RunGroupsScenario },
  { "faults", "one engine of nine is slow or crashes", RunFaultsScenario },
  { "herding",
    "numbers of candidates and cost jitter, with few and many entries",
    RunHerdingScenario },
  { "cost",
    "real time of a decision at 16 and 1,600 upstreams",
    RunCostScenario },
  { "lead",
    "how far generation runs ahead of a trainer, at three loads",
    RunLeadScenario },
});

const DecideScenario*
FindScenario(std::string_view aName)
{
  for (const DecideScenario& scenario : kScenarios) {
    if (scenario.name_ == aName) {
      return &scenario;
    }
  }
  return nullptr;
}

std::string
ListScenarios()
{
  std::string list = "scenario, one of:";
  for (const DecideScenario& scenario : kScenarios) {
    list +=
      "\n" + std::string(scenario.name_) + ": " + std::string(scenario.help_);
  }
  return list;
}

/// @returns an exit code if the program should end without a run
std::optional<int>
ParseOptions(int aArgc, char** aArgv, DecideOptions& aOptions)
{
  std::uint64_t seconds = 120;
  po::options_description described("marjoram-load decide");
  auto add = described.add_options();
  const std::string list = ListScenarios();
  add("help", "print this");
  add("scenario", po::value(&aOptions.scenario_), list.c_str());
  add("seed", po::value(&aOptions.seed_), "seed of all random choices");
  add(
    "seconds", po::value(&seconds), "length of each run, in simulated seconds");
  add("json", po::bool_switch(&aOptions.json_), "print JSON");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, described), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << "marjoram-load: " << failure.what() << '\n';
    return kExitBadInput;
  }
  if (values.count("help") > 0) {
    std::cout << described;
    return kExitOk;
  }
  if (seconds == 0 || seconds > kMaxSeconds ||
      FindScenario(aOptions.scenario_) == nullptr) {
    std::cerr << "marjoram-load: --seconds must be from 1 to 3600; " << list
              << '\n';
    return kExitBadInput;
  }
  aOptions.length_ = std::chrono::seconds(seconds);
  return std::nullopt;
}

} // namespace

int
RunDecide(int aArgc, char** aArgv)
{
  DecideOptions options;
  if (const auto code = ParseOptions(aArgc, aArgv, options)) {
    return *code;
  }
  const DecideRows rows = FindScenario(options.scenario_)->run_(options);
  if (options.json_) {
    PrintJson(rows, std::cout);
  } else {
    PrintTable(rows, std::cout);
  }
  return kExitOk;
}

} // namespace marjoramtally
