/// Median pace (time between two events of a stream) of the upstreams of a
/// service.
///
/// A pace changes with each event of a stream and the median is read for each
/// run in progress, so neither operation may iterate over all upstreams.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <vector>

namespace marjoramtally {

/// Set of known paces. A pace of 0 is unknown and is ignored.
class PaceMedian
{
public:
  void Add(Duration aPace);
  /// Removes a pace that was added before.
  void Remove(Duration aPace);
  /// @returns the median, the upper one for an even count; 0 if none is known
  [[nodiscard]] Duration Get() const noexcept;

private:
  /// Sorted.
  std::vector<Duration> paces_;
};

} // namespace marjoramtally
