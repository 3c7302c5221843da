/// What an HTTP load asks for and when; a seed fixes all of it.
#pragma once

#include "marjoramtally/base.hpp"

namespace marjoramtally {

/// One class of callers.
struct LoadClass
{
  /// Sent as `X-Class`: `live` or `background`.
  std::string name_;
  /// Weight against the other classes.
  double weight_ = 1;
  Duration deadline_{ 0 };
};

/// Parses `NAME:WEIGHT:DEADLINE`, such as `live:3:100ms`.
[[nodiscard]] Result<LoadClass>
ParseLoadClass(const std::string& aText);

/// What to plan.
struct LoadSpec
{
  std::vector<LoadClass> classes_;
  /// Calls a second; arrivals are a Poisson process.
  double rate_ = 0;
  std::uint64_t calls_ = 0;
  /// Share of calls that must not run twice, from 0 to 1.
  double nonIdempotentShare_ = 0;
  std::uint64_t seed_ = 1;
};

/// One call to make.
struct PlannedCall
{
  /// From the start of the load; zero throughout if there is no rate.
  Duration at_{ 0 };
  std::size_t class_ = 0;
  bool idempotent_ = true;
};

/// @returns the calls in the order of their arrival
[[nodiscard]] std::vector<PlannedCall>
PlanCalls(const LoadSpec& aSpec);

} // namespace marjoramtally
