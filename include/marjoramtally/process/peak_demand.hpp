/// The largest demand for places of the last while.
///
/// Steps begin together, so that what is wanted now says little of the next
/// burst.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <cstdint>
#include <deque>

namespace marjoramtally {

/// Remembers demand for a while.
class PeakDemand
{
public:
  /// @param aWindow how long demand counts
  explicit PeakDemand(Duration aWindow)
    : window_(aWindow)
  {
  }

  /// Places that are wanted now.
  void OnDemand(std::uint64_t aSlots, TimePoint aNow);
  /// @returns 0 if nothing was wanted
  [[nodiscard]] std::uint64_t At(TimePoint aNow) const;

private:
  struct Demand
  {
    TimePoint at_;
    std::uint64_t slots_ = 0;
  };

  Duration window_;
  /// Falling: what a later demand exceeds can not become the largest.
  std::deque<Demand> history_;
};

} // namespace marjoramtally
