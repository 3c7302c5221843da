/// Hints about which upstreams have the prefix of a prompt cached. Cache events
/// are delayed and may be lost, so the trust in a hint decreases with its age
/// and no decision relies on it alone.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

namespace marjoramtally {

/// Identifies an upstream within one router; stable while the upstream is
/// known.
using UpstreamSlot = std::uint32_t;

/// Set-associative table of fixed size; a new hint replaces the oldest of its
/// bucket. Lock-free and thread-safe: an inconsistent key and time only cause a
/// wrong hint.
class PrefixHints
{
public:
  /// Maximum number of hints per prefix.
  static constexpr std::size_t kWays = 4;

  /// An upstream and the trust in the hint, between 0 and 1.
  struct Hint
  {
    UpstreamSlot slot_ = 0;
    double trust_ = 0;
  };
  using Hints = std::array<Hint, kWays>;

  PrefixHints()
    : buckets_(kBuckets)
  {
  }

  /// Records that the prefix entered a cache or that a request with it was
  /// sent.
  void Add(std::uint64_t aPrefix, UpstreamSlot aSlot, TimePoint aNow) noexcept;
  /// Records that the prefix left a cache.
  void Remove(std::uint64_t aPrefix, UpstreamSlot aSlot) noexcept;
  /// @returns hints; entries with a trust of 0 are unused
  [[nodiscard]] Hints Find(std::uint64_t aPrefix,
                           TimePoint aNow) const noexcept;

private:
  static constexpr std::size_t kBuckets = 1U << 14U;

  struct Way
  {
    /// Half of the prefix hash and the slot; 0 if unused.
    std::atomic<std::uint64_t> key_{ 0 };
    std::atomic<Duration::rep> addedAt_{ 0 };
  };
  using Bucket = std::array<Way, kWays>;

  [[nodiscard]] static std::uint64_t Key(std::uint64_t aPrefix,
                                         UpstreamSlot aSlot) noexcept;
  [[nodiscard]] static std::size_t BucketOf(std::uint64_t aPrefix) noexcept;

  std::vector<Bucket> buckets_;
};

} // namespace marjoramtally
