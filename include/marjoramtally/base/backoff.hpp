/// Pauses between tries: each twice as long as the one before, with jitter,
/// up to a longest one.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/random.hpp"

#include <algorithm>

namespace marjoramtally {

/// Pauses of one sequence of tries.
/// @example `Backoff pauses(50ms, 2s, seed); timers.After(pauses.Next(), …);`
class Backoff
{
public:
  constexpr Backoff(Duration aFirst,
                    Duration aLongest,
                    std::uint64_t aSeed) noexcept
    : first_(aFirst)
    , longest_(aLongest)
    , next_(aFirst)
    , random_(aSeed)
  {
  }

  /// @returns the next pause, from half of it to all of it at random
  constexpr Duration Next() noexcept
  {
    const Duration pause = next_;
    next_ = std::min(next_ * 2, longest_);
    const auto half = static_cast<std::uint64_t>(pause.count() / 2);
    const auto jitter = static_cast<Duration::rep>(random_.Below(half + 1));
    return pause - Duration{ jitter };
  }
  /// Starts over after a success.
  constexpr void Reset() noexcept { next_ = first_; }

private:
  Duration first_;
  Duration longest_;
  Duration next_;
  Random random_;
};

} // namespace marjoramtally
