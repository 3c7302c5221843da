/// Command line of `marjoram-load http`.
#pragma once

#include "programs/load/load_plan.hpp"

#include <optional>

namespace marjoramtally {

/// Maximum number of calls in flight. Calls of an open loop beyond it are
/// counted but not made.
inline constexpr std::uint64_t kMaxInFlight = 20'000;

/// A fault to set on a stand-in during the load.
struct PlannedFault
{
  /// From the start of the load.
  Duration at_{ 0 };
  std::string address_;
  std::string body_;
};

/// Options of the command line.
struct LoadOptions
{
  std::vector<std::string> urls_;
  std::vector<std::string> classes_;
  std::vector<std::string> faults_;
  LoadSpec spec_;
  std::vector<PlannedFault> plannedFaults_;
  double seconds_ = 0;
  std::uint64_t inFlight_ = 0;
  std::uint32_t threads_ = 2;
  std::string records_;
  bool json_ = false;
};

/// Parses and checks the command line; prints errors to standard error.
/// @returns true if the load should run; otherwise `aExitCode` is set
[[nodiscard]] bool
ParseLoadOptions(int aArgc,
                 char** aArgv,
                 LoadOptions& aOptions,
                 std::optional<int>& aExitCode);

} // namespace marjoramtally
