/// Commands of `marjoramctl`; each returns the program's exit code.
#pragma once

#include <string>
#include <vector>

namespace marjoramtally {

/// What the command line gave.
struct CommandInput
{
  /// Arguments after the command's name.
  std::vector<std::string> arguments_;
  std::string store_;
  std::string traceDir_;
  /// Key to explain.
  std::string explain_;
  /// Name that edits carry.
  std::string author_;
  /// Bearer token for routes that need one.
  std::string token_;
  bool json_ = false;
  /// Wait until every live instance has the revision.
  bool wait_ = false;
  /// Put a drained upstream back.
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
