/// The operators' command line.

#include "marjoramtally/runtime/program.hpp"
#include "programs/ctl/commands.hpp"

#include <array>
#include <boost/program_options.hpp>
#include <cstdlib>
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

constexpr std::array<Command, 13> kCommands{ {
  { "check",
    "check DIR [--explain KEY]: report every finding in a rules folder",
    RunCheck },
  { "diff", "diff DIR: keys that differ from the accepted rules", RunDiff },
  { "pull", "pull DIR: bring the accepted files into a folder", RunPull },
  { "push", "push DIR [--wait]: have a folder's changes accepted", RunPush },
  { "edit",
    "edit FILE 'SECTION.KEY=VALUE' [--wait]: change one accepted key",
    RunEdit },
  { "drain",
    "drain UPSTREAM [--undo] [--wait]: send it no new work",
    RunDrain },
  { "history", "history: accepted revisions, oldest first", RunHistory },
  { "revert-to",
    "revert-to REVISION [--wait]: a new revision with old content",
    RunRevertTo },
  { "restore",
    "restore ADDRESS: after the store came back older, accept again what "
    "is in force at an instance",
    RunRestore },
  { "status", "status: what is accepted and in force where", RunStatus },
  { "upstreams", "upstreams: as accepted", RunUpstreams },
  { "trainers", "trainers: as accepted", RunTrainers },
  { "trace", "trace ID: print the tree of hops of one trace", RunTrace },
} };

/// @returns the operator's name, as far as the system tells
std::string
DefaultAuthor()
{
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

/// Tokens come by the environment, where other users do not see them.
std::string
TokenOfEnvironment()
{
  const char* token = std::getenv("MARJORAM_TOKEN");
  return token == nullptr ? "" : token;
}

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
  input.token_ = TokenOfEnvironment();
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
  add("wait",
      po::bool_switch(&input.wait_),
      "wait until it is in force at every live instance");
  add("undo", po::bool_switch(&input.undo_), "put a drained upstream back");
  add("explain", po::value(&input.explain_), "a KEY or SECTION.KEY");
  add("author",
      po::value(&input.author_)->default_value(DefaultAuthor()),
      "name that edits carry");
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
