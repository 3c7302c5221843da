/// The operators' command line.

#include "daemon/cluster.hpp"
#include "marjoramtally/runtime/program.hpp"
#include "programs/ctl/commands.hpp"

#include <boost/program_options.hpp>
#include <iostream>

namespace {

using namespace marjoramtally;
namespace po = boost::program_options;

/// One command and what runs it.
struct Command
{
  std::string_view name_;
  std::string_view help_;
  int (*run_)(const CommandInput&);
};

constexpr std::array<Command, 4> kCommands{ {
  { "check", "check DIR: report every finding in a rules folder", RunCheck },
  { "push", "push DIR: make a rules folder the accepted rules", RunPush },
  { "status", "status: instances, owners, versions, revision", RunStatus },
  { "trace", "trace ID: print the tree of hops of one trace", RunTrace },
} };

void
PrintHelp(const po::options_description& aOptions)
{
  std::cout << "marjoramctl COMMAND [ARGUMENTS] [options]\n\nCommands:\n";
  for (const Command& command : kCommands) {
    std::cout << "  " << command.help_ << '\n';
  }
  std::cout << '\n' << aOptions;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  CommandInput input;
  po::options_description visible("Options");
  auto add = visible.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("store",
      po::value(&input.store_)->default_value("http://127.0.0.1:2379"),
      "URL of the platform's store");
  add("dir",
      po::value(&input.traceDir_)->default_value("."),
      "folder of trace files");
  add("json", po::bool_switch(&input.json_), "print JSON");
  po::options_description all;
  all.add(visible).add_options()("words",
                                 po::value(&input.words_)->multitoken());
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(aArgc, aArgv)
                .options(all)
                .positional(positional)
                .run(),
              values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << "marjoramctl: " << failure.what() << '\n';
    return kExitBadInput;
  }
  if (values.count("help") != 0) {
    PrintHelp(visible);
    return kExitOk;
  }
  if (values.count("version") != 0) {
    std::cout << "marjoramctl " << kVersion << '\n';
    return kExitOk;
  }
  const std::string name = input.words_.empty() ? "" : input.words_.front();
  for (const Command& command : kCommands) {
    if (command.name_ == name) {
      input.words_.erase(input.words_.begin());
      InitLog("marjoramctl", "cli", LogLevel::Warn);
      return command.run_(input);
    }
  }
  std::cerr << "marjoramctl: unknown command '" << name
            << "'; see marjoramctl --help\n";
  return kExitBadInput;
}
