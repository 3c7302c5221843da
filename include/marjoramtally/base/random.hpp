/// Deterministic pseudo-random numbers: the same seed gives the same sequence.
#pragma once

#include <cstdint>

namespace marjoramtally {

/// SplitMix64 generator; fast, not cryptographically secure.
class Random
{
public:
  constexpr explicit Random(std::uint64_t aSeed) noexcept
    : state_(aSeed)
  {
  }

  /// @returns the next 64 bits
  constexpr std::uint64_t Next() noexcept
  {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
  }

  /// @returns a number in [0, aBound); 0 when aBound is 0
  constexpr std::uint64_t Below(std::uint64_t aBound) noexcept
  {
    return aBound == 0 ? 0 : Next() % aBound;
  }

  /// @returns a number in [0, 1)
  constexpr double Unit() noexcept
  {
    constexpr double kScale = 1.0 / 9007199254740992.0;
    return static_cast<double>(Next() >> 11U) * kScale;
  }

private:
  std::uint64_t state_;
};

} // namespace marjoramtally
