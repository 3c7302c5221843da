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

/// A command, its help and the function that runs it.
struct Command
{
  std::string_view name_;
  std::string_view arguments_;
  std::string_view help_;
  int (*run_)(const CommandInput&);
};

constexpr std::array<Command, 14> kCommands{ {
  { "check",
    "DIR [--explain KEY]",
    "report every finding in a rules folder",
    RunCheck },
  { "diff", "DIR", "show keys that differ from the accepted rules", RunDiff },
  { "pull", "DIR", "bring the accepted files into a folder", RunPull },
  { "push", "DIR [--wait]", "have a folder's changes accepted", RunPush },
  { "edit",
    "FILE 'SECTION.KEY=VALUE' [--wait]",
    "change one accepted key",
    RunEdit },
  { "drain",
    "UPSTREAM [--undo] [--wait]",
    "send an upstream no new work",
    RunDrain },
  { "history", "", "list accepted revisions, oldest first", RunHistory },
  { "revert-to",
    "REVISION [--wait]",
    "accept a new revision with old content",
    RunRevertTo },
  { "restore",
    "ADDRESS",
    "accept again what an instance has in force (older store)",
    RunRestore },
  { "status", "", "show what is accepted, and in force where", RunStatus },
  { "upstreams", "", "list upstreams as accepted", RunUpstreams },
  { "trainers", "", "list trainers as accepted", RunTrainers },
  { "trace", "ID [--dir DIR]", "print the hops of one trace", RunTrace },
  { "explain",
    "ID < LOGS",
    "tell from the logs how a request, job or item ended, and why",
    RunExplain },
} };

constexpr std::string_view kHelpEnd =
  "\nExamples:\n"
  "  marjoramctl check conf\n"
  "  marjoramctl edit 50-night.ini 'trainer begravelse.weight=2' --wait\n"
  "  marjoramctl drain engine-3 --wait\n"
  "\nAn operator's token is read from the environment's MARJORAM_TOKEN.\n"
  "\nExit codes: 0 done, 1 failed, 2 bad input.\n";

/// @returns the operator's login name, or "unknown"
std::string
DefaultAuthor()
{
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

/// Reads the token from the environment: unlike arguments, it is not visible to
/// other users there.
std::string
TokenOfEnvironment()
{
  const char* token = std::getenv("MARJORAM_TOKEN");
  return token == nullptr ? "" : token;
}

void
PrintHelp(const po::options_description& aOptions)
{
  std::cout << "Usage: marjoramctl COMMAND [ARGUMENTS] [OPTIONS]\n"
               "Reads and changes what the operators' rules say.\n\n"
               "Commands:\n";
  for (const Command& command : kCommands) {
    std::cout << "  " << command.name_ << ' ' << command.arguments_
              << "\n      " << command.help_ << '\n';
  }
  std::cout << '\n' << aOptions << kHelpEnd;
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
      "URL of the platform's store, or file:FOLDER");
  add("dir",
      po::value(&input.traceDir_)->default_value("."),
      "folder of trace files, for trace");
  add("json", po::bool_switch(&input.json_), "print JSON");
  add("wait",
      po::bool_switch(&input.wait_),
      "wait until it is in force at every live instance");
  add(
    "undo", po::bool_switch(&input.undo_), "with drain: put the upstream back");
  add("explain",
      po::value(&input.explain_),
      "with check: tell where a KEY or SECTION.KEY is set");
  add("author",
      po::value(&input.author_)->default_value(DefaultAuthor()),
      "name that edits carry");
  po::options_description all;
  all.add(visible).add_options()("words",
                                 po::value(&input.arguments_)->multitoken());
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
  const std::string name =
    input.arguments_.empty() ? "" : input.arguments_.front();
  for (const Command& command : kCommands) {
    if (command.name_ == name) {
      input.arguments_.erase(input.arguments_.begin());
      InitLog("marjoramctl", "cli", LogLevel::Warn);
      return command.run_(input);
    }
  }
  std::cerr << "marjoramctl: unknown command '" << name
            << "'; see marjoramctl --help\n";
  return kExitBadInput;
}
