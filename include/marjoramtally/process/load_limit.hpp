/// How many upstreams may load weights at the same time.
///
/// The store of weights bears some loads at once; with more, each takes longer
/// and holds the runs of its upstream up for as long. Upstreams that were added
/// do not make it faster, so the limit follows what loads take: it shrinks
/// while they take much longer than the fastest, and grows slowly while it is
/// used up and they do not.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <cstdint>

namespace marjoramtally {

/// Learns the limit from loads that ended.
class LoadLimit
{
public:
  /// @param aLeast the limit never goes below
  explicit LoadLimit(std::uint32_t aLeast)
    : least_(aLeast)
  {
  }

  /// A load ended.
  /// @param aInProgress loads in progress until then, this one included
  void OnLoaded(Duration aTook, std::uint32_t aInProgress, TimePoint aNow);
  /// @param aFirst the limit as long as nothing was learned
  [[nodiscard]] std::uint32_t AtOnce(std::uint32_t aFirst);

private:
  std::uint32_t least_;
  double limit_ = 0;
  /// What the fastest load took.
  Duration fastest_{ 0 };
  TimePoint shrunk_;
};

} // namespace marjoramtally
