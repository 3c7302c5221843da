/// Loading of a daemon's settings from its command line and settings file.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/runtime/program.hpp"

#include <iostream>
#include <optional>

namespace marjoramtally {

/// Parses the command line, reads the settings and reports all findings to
/// standard error.
/// @param aRead converts a file's name and document to settings, or to findings
/// @returns nothing if the program is to exit with `aExitCode`
template<typename Settings>
std::optional<Settings>
LoadDaemonSettings(int aArgc,
                   char** aArgv,
                   const std::string& aProgram,
                   std::string_view aPurpose,
                   Checked<Settings> (*aRead)(const std::string&,
                                              const IniDocument&),
                   int& aExitCode)
{
  const auto parsed = ParseDaemonOptions(aArgc, aArgv, aProgram, aPurpose);
  if (const int* code = std::get_if<int>(&parsed)) {
    aExitCode = *code;
    return std::nullopt;
  }
  const auto& options = std::get<DaemonOptions>(parsed);
  const auto document = LoadSettings(options.settingsFile_);
  if (!document) {
    std::cerr << document.error().Render();
    aExitCode = kExitBadInput;
    return std::nullopt;
  }
  auto settings = aRead(options.settingsFile_, document.value());
  if (!settings) {
    std::cerr << settings.error().Render();
    aExitCode = kExitBadInput;
    return std::nullopt;
  }
  if (options.checkOnly_) {
    std::cout << options.settingsFile_ << ": ok\n";
    aExitCode = kExitOk;
    return std::nullopt;
  }
  return std::move(settings).value();
}

} // namespace marjoramtally
