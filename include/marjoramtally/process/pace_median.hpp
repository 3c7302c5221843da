/// The median of the paces of a service's upstreams.
///
/// A pace changes with each event of a stream and the median is asked for each
/// run in progress, so neither may cost a look at all upstreams.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <vector>

namespace marjoramtally {

/// Paces that are known; 0 stands for unknown and is left out.
class PaceMedian
{
public:
  void Add(Duration aPace);
  /// Takes out one pace that was added.
  void Remove(Duration aPace);
  /// @returns the median, the upper one of an even count; 0 if none is known
  [[nodiscard]] Duration Get() const noexcept;

private:
  /// Sorted.
  std::vector<Duration> paces_;
};

} // namespace marjoramtally
