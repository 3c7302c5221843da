/// Plan of an HTTP load: the calls and their times, determined by a seed.
#pragma once

#include "marjoramtally/base.hpp"

namespace marjoramtally {

/// One class of callers.
struct LoadClass
{
  /// Sent as `X-Class`: `live` or `background`.
  std::string name_;
  /// Weight relative to the other classes.
  double weight_ = 1;
  Duration deadline_{ 0 };
};

/// Parses `NAME:WEIGHT:DEADLINE`, such as `live:3:100ms`.
[[nodiscard]] Result<LoadClass>
ParseLoadClass(const std::string& aText);

/// Parameters of a plan.
struct LoadSpec
{
  std::vector<LoadClass> classes_;
  /// Calls per second, with Poisson arrivals; 0 for a closed loop.
  double rate_ = 0;
  std::uint64_t calls_ = 0;
  /// Share of non-idempotent calls, from 0 to 1.
  double nonIdempotentShare_ = 0;
  std::uint64_t seed_ = 1;
};

/// One planned call.
struct PlannedCall
{
  /// From the start of the load; 0 for all calls of a closed loop.
  Duration at_{ 0 };
  std::size_t class_ = 0;
  bool idempotent_ = true;
};

/// @returns the calls in order of arrival
[[nodiscard]] std::vector<PlannedCall>
PlanCalls(const LoadSpec& aSpec);

} // namespace marjoramtally
