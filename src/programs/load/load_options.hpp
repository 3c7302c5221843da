/// Command line of `marjoram-load http`.
#pragma once

#include "programs/load/load_plan.hpp"

#include <optional>

namespace marjoramtally {

/// Bound of calls in flight of an open loop; arrivals beyond it are counted
/// and not made.
inline constexpr std::uint64_t kMaxInFlight = 20'000;

/// Something to ask of a stand-in during the load.
struct PlannedFault
{
  Duration at_{ 0 };
  std::string address_;
  std::string body_;
};

/// What the command line gave.
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

/// Parses and checks the command line, telling standard error what is wrong.
/// @returns whether to run; otherwise `aExitCode` is set
[[nodiscard]] bool
ParseLoadOptions(int aArgc,
                 char** aArgv,
                 LoadOptions& aOptions,
                 std::optional<int>& aExitCode);

} // namespace marjoramtally
