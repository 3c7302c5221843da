#include "marjoramtally/runtime/program.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>
#include <unistd.h>

namespace marjoramtally {

namespace {

sigset_t
StopSignals()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

} // namespace

Result<std::string>
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  if (!file.is_open() || std::filesystem::is_directory(aPath)) {
    return Error{ ErrorKind::NotFound, "cannot read " + aPath.string() };
  }
  text << file.rdbuf();
  return text.str();
}

Result<bool>
WriteFile(const std::filesystem::path& aPath, std::string_view aText)
{
  const std::filesystem::path part =
    aPath.string() + ".part" + std::to_string(getpid());
  std::ofstream file(part, std::ios::binary);
  file << aText;
  file.close();
  std::error_code failure;
  if (file.good()) {
    std::filesystem::rename(part, aPath, failure);
  }
  if (!file.good() || failure) {
    return Error{ ErrorKind::Unavailable, "cannot write " + aPath.string() };
  }
  return true;
}

std::variant<DaemonOptions, int>
ParseDaemonOptions(int aArgc,
                   char** aArgv,
                   const std::string& aProgram,
                   std::string_view aPurpose)
{
  namespace po = boost::program_options;
  DaemonOptions options;
  po::options_description described("Options");
  auto add = described.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("settings",
      po::value(&options.settingsFile_),
      "settings file (INI); required");
  add("check", "check the settings, report all findings and exit");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, described), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << aProgram << ": " << failure.what() << '\n';
    return kExitBadInput;
  }
  if (values.count("help") != 0) {
    std::cout << "Usage: " << aProgram << " --settings FILE [--check]\n"
              << aPurpose << "\n\n"
              << described
              << "\nExit codes: 0 ended by SIGTERM or SIGINT, or settings "
                 "checked; 1 failed; 2 bad input.\n";
    return kExitOk;
  }
  if (values.count("version") != 0) {
    std::cout << aProgram << ' ' << kVersion << '\n';
    return kExitOk;
  }
  if (options.settingsFile_.empty()) {
    std::cerr << aProgram << ": --settings FILE is missing\n";
    return kExitBadInput;
  }
  options.checkOnly_ = values.count("check") != 0;
  return options;
}

Checked<IniDocument>
LoadSettings(const std::string& aFile)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    Findings findings;
    findings.Add(SourcePlace{ aFile, 0 }, text.error().message_);
    return findings;
  }
  return ParseIni(aFile, text.value());
}

void
ReturnLargeBlocks()
{
  // Bodies of requests and responses; the blocks of ordinary work are smaller.
  constexpr int kLargeBlockBytes = 256 << 10;
  // Setting a threshold also fixes this one, at a value that would move the end
  // of the heap with every burst.
  constexpr int kFreeHeapBytes = 8 << 20;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kFreeHeapBytes);
}

void
BlockStopSignals()
{
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void
WaitForStopSignal()
{
  const sigset_t set = StopSignals();
  int signal = 0;
  sigwait(&set, &signal);
}

} // namespace marjoramtally
