/// Exponential backoff with jitter.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/random.hpp"

#include <algorithm>

namespace marjoramtally {

/// Pauses between the attempts of one operation. Each is twice as long as the
/// previous one, up to a maximum, minus jitter.
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

  /// @returns the next pause, reduced by a random jitter of up to one half
  constexpr Duration Next() noexcept
  {
    const Duration pause = next_;
    next_ = std::min(next_ * 2, longest_);
    const auto half = static_cast<std::uint64_t>(pause.count() / 2);
    const auto jitter = static_cast<Duration::rep>(random_.Below(half + 1));
    return pause - Duration{ jitter };
  }
  /// Restarts with the first pause, after a success.
  constexpr void Reset() noexcept { next_ = first_; }

private:
  Duration first_;
  Duration longest_;
  Duration next_;
  Random random_;
};

} // namespace marjoramtally
