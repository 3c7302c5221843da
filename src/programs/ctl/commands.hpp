/// Commands of `marjoramctl`; each returns the program's exit code.
#pragma once

#include <string>
#include <vector>

namespace marjoramtally {

/// Parsed command line.
struct CommandInput
{
  /// Arguments after the command's name.
  std::vector<std::string> arguments_;
  std::string store_;
  std::string traceDir_;
  /// Key to explain.
  std::string explain_;
  /// Author recorded with edits.
  std::string author_;
  /// Bearer token for routes that need one.
  std::string token_;
  bool json_ = false;
  /// Wait until the revision is in force at every live instance.
  bool wait_ = false;
  /// Return a drained upstream to service.
  bool undo_ = false;
};

int
RunCheck(const CommandInput& aInput);
int
RunDiff(const CommandInput& aInput);
int
RunPull(const CommandInput& aInput);
int
RunPush(const CommandInput& aInput);
int
RunEdit(const CommandInput& aInput);
int
RunDrain(const CommandInput& aInput);
int
RunRevertTo(const CommandInput& aInput);
int
RunRestore(const CommandInput& aInput);
int
RunHistory(const CommandInput& aInput);
int
RunStatus(const CommandInput& aInput);
int
RunUpstreams(const CommandInput& aInput);
int
RunTrainers(const CommandInput& aInput);
int
RunTrace(const CommandInput& aInput);
int
RunExplain(const CommandInput& aInput);

} // namespace marjoramtally
