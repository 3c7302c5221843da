/// The largest demand for slots within a sliding window.
///
/// Steps of several trainers begin together, so the current demand does not
/// predict the next burst.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <cstdint>
#include <deque>

namespace marjoramtally {

/// Maximum of the demand over a sliding window.
class PeakDemand
{
public:
  /// @param aWindow length of the window
  explicit PeakDemand(Duration aWindow)
    : window_(aWindow)
  {
  }

  /// Records the slots that are wanted now.
  void OnDemand(std::uint64_t aSlots, TimePoint aNow);
  /// @returns the maximum within the window; 0 if there was no demand
  [[nodiscard]] std::uint64_t At(TimePoint aNow) const;

private:
  struct Demand
  {
    TimePoint at_;
    std::uint64_t slots_ = 0;
  };

  Duration window_;
  /// Strictly decreasing: a demand that a later one reaches cannot become the
  /// maximum.
  std::deque<Demand> history_;
};

} // namespace marjoramtally
