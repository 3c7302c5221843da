/// Runs a stand-in of the platform, an engine, a service, a trainer or callers.

#include "standins/standin.hpp"

#include <array>
#include <boost/program_options.hpp>
#include <iostream>

namespace {

using namespace marjoramtally;
using namespace marjoramtally::standin;
namespace po = boost::program_options;

/// A mode of the program and the function that runs it.
struct Mode
{
  std::string_view name_;
  std::string_view help_;
  int (*run_)(const Options&);
};

constexpr auto kModes = std::to_array<Mode>({
  { "store", "the platform's key-value service", RunStore },
  { "instances", "the platform's list of instances", RunInstanceList },
  { "engine", "a model engine", RunEngine },
  { "plain", "a plain service", RunPlain },
  { "weights", "the weight store", RunWeights },
  { "scorer", "a scoring service", RunScorer },
  { "trainer", "a trainer that takes samples step by step", RunTrainer },
  { "callers", "live callers of a plain service", RunCallers },
  { "verify", "compares what trainers and engines recorded", RunVerify },
});

po::options_description
Describe(Options& aOptions)
{
  po::options_description described("Options");
  auto add = described.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("mode", po::value(&aOptions.mode_), "component to stand in for");
  add("name", po::value(&aOptions.name_), "name in records");
  add("port", po::value(&aOptions.port_), "port; 0 lets the kernel choose one");
  add("port-file",
      po::value(&aOptions.portFile_),
      "file that receives the bound address");
  add("record", po::value(&aOptions.recordFile_), "file for records");
  add("records", po::value(&aOptions.records_), "folder of records");
  add("entries",
      po::value(&aOptions.entries_),
      "entry addresses, comma-separated");
  add("trainer", po::value(&aOptions.trainer_), "trainer name");
  add("model", po::value(&aOptions.model_), "model, or service for callers");
  add("prompts",
      po::value(&aOptions.promptsFile_),
      "file with one prompt per line");
  add(
    "weight-store", po::value(&aOptions.weightStore_), "weight store address");
  add("steps", po::value(&aOptions.steps_), "training steps");
  add("groups", po::value(&aOptions.groups_), "groups per step");
  add("group-size", po::value(&aOptions.groupSize_), "samples per group");
  add("staleness",
      po::value(&aOptions.staleness_),
      "staleness bound in versions");
  add("ahead",
      po::value(&aOptions.stepsAhead_),
      "number of steps a trainer opens ahead");
  add("token-us", po::value(&aOptions.tokenMicros_), "microseconds per token");
  add("service-us",
      po::value(&aOptions.serviceMicros_),
      "microseconds per plain call");
  add("train-ms",
      po::value(&aOptions.trainMillis_),
      "milliseconds per training step");
  add("lag-ms",
      po::value(&aOptions.lagMillis_),
      "lag of the instance list in milliseconds");
  add("rate", po::value(&aOptions.rate_), "calls per second");
  add("deadline-ms",
      po::value(&aOptions.deadlineMillis_),
      "deadline of callers in milliseconds");
  add("swap-failures",
      po::value(&aOptions.swapFailures_),
      "failures per 1000 swaps");
  add("load-rate",
      po::value(&aOptions.loadRate_),
      "reads per second of the weight store; 0 is unlimited");
  add("no-resume",
      po::bool_switch(&aOptions.noResume_),
      "restart streams instead of resuming them");
  add("crash-on",
      po::value(&aOptions.crashOn_),
      "exit on prompts that contain this text");
  add("ignore-fencing",
      po::bool_switch(&aOptions.ignoreFencing_),
      "accept orders with any fencing number");
  add("trace-file",
      po::value(&aOptions.traceFile_),
      "file for the spans of callers");
  add("faults",
      po::value(&aOptions.faults_),
      "initial faults, JSON as for POST /faults");
  add("stop-file",
      po::value(&aOptions.stopFile_),
      "callers stop once this file exists");
  return described;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Options options;
  const auto described = Describe(options);
  po::positional_options_description positional;
  positional.add("mode", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(aArgc, aArgv)
                .options(described)
                .positional(positional)
                .run(),
              values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << "marjoram-standin: " << failure.what() << '\n';
    return kExitBadInput;
  }
  if (values.count("help") != 0) {
    std::cout << "marjoram-standin MODE [options]\n\nModes:\n";
    for (const Mode& mode : kModes) {
      std::cout << "  " << mode.name_ << ": " << mode.help_ << '\n';
    }
    std::cout << '\n' << described;
    return kExitOk;
  }
  if (values.count("version") != 0) {
    std::cout << "marjoram-standin " << kVersion << '\n';
    return kExitOk;
  }
  for (const Mode& mode : kModes) {
    if (mode.name_ == options.mode_) {
      InitLog("marjoram-standin", options.name_, LogLevel::Info);
      return mode.run_(options);
    }
  }
  std::cerr << "marjoram-standin: unknown mode '" << options.mode_
            << "'; see --help\n";
  return kExitBadInput;
}
