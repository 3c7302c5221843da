/// Hints of which upstream has a prompt's prefix in its cache. Events come
/// late and with gaps, so a hint has an age and is never taken as truth.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

namespace marjoramtally {

/// Names an upstream within one router; stable while the upstream is known.
using UpstreamSlot = std::uint32_t;

/// A table of fixed size; new hints push out the oldest of their bucket.
/// Thread-safe without locks: a torn pair is only a wrong hint.
class PrefixHints
{
public:
  /// Hints that one prefix may have.
  static constexpr std::size_t kWays = 4;

  /// An upstream and the trust in the hint, from 0 to 1.
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

  /// The prefix entered a cache, or a request with it was sent there.
  void Add(std::uint64_t aPrefix, UpstreamSlot aSlot, TimePoint aNow) noexcept;
  /// The prefix left a cache.
  void Remove(std::uint64_t aPrefix, UpstreamSlot aSlot) noexcept;
  /// @returns hints; those without trust mean nothing
  [[nodiscard]] Hints Find(std::uint64_t aPrefix,
                           TimePoint aNow) const noexcept;

private:
  static constexpr std::size_t kBuckets = 1U << 14U;

  struct Way
  {
    /// Upper half of the prefix's hash and the slot; 0 is free.
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
