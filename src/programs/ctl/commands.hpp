/// Commands of `marjoramctl`; each returns the program's exit code.
#pragma once

#include <string>
#include <vector>

namespace marjoramtally {

/// What the command line gave.
struct CommandInput
{
  /// Arguments after the command's name.
  std::vector<std::string> words_;
  std::string store_;
  std::string traceDir_;
  bool json_ = false;
};

int
RunCheck(const CommandInput& aInput);
int
RunPush(const CommandInput& aInput);
int
RunStatus(const CommandInput& aInput);
int
RunTrace(const CommandInput& aInput);

} // namespace marjoramtally
