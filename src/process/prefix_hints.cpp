#include "marjoramtally/process/prefix_hints.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// A hint of this age has half the trust of a new one.
constexpr double kHalfAgeMicros = 20e6;
/// A key holds half of the hash in its upper bits and the slot below.
constexpr unsigned kHalfBits = 32;
constexpr std::uint64_t kLowHalf = 0xffffffffULL;
constexpr auto kRelaxed = std::memory_order_relaxed;

/// Distributes small hash values over all bits.
std::uint64_t
Mix(std::uint64_t aPrefix) noexcept
{
  std::uint64_t mixed = aPrefix * 0x9e3779b97f4a7c15ULL;
  return mixed ^ (mixed >> kHalfBits);
}

} // namespace

std::uint64_t
PrefixHints::Key(std::uint64_t aPrefix, UpstreamSlot aSlot) noexcept
{
  return (Mix(aPrefix) << kHalfBits) | (aSlot + 1ULL);
}

std::size_t
PrefixHints::BucketOf(std::uint64_t aPrefix) noexcept
{
  return (Mix(aPrefix) >> kHalfBits) % kBuckets;
}

void
PrefixHints::Add(std::uint64_t aPrefix,
                 UpstreamSlot aSlot,
                 TimePoint aNow) noexcept
{
  Bucket& bucket = buckets_[BucketOf(aPrefix)];
  const std::uint64_t key = Key(aPrefix, aSlot);
  Way* target = &bucket.front();
  for (Way& way : bucket) {
    if (way.key_.load(kRelaxed) == key) {
      target = &way;
      break;
    }
    if (way.addedAt_.load(kRelaxed) < target->addedAt_.load(kRelaxed)) {
      target = &way;
    }
  }
  target->key_.store(key, kRelaxed);
  target->addedAt_.store(aNow.sinceStart_.count() + 1, kRelaxed);
}

void
PrefixHints::Remove(std::uint64_t aPrefix, UpstreamSlot aSlot) noexcept
{
  const std::uint64_t key = Key(aPrefix, aSlot);
  for (Way& way : buckets_[BucketOf(aPrefix)]) {
    if (way.key_.load(kRelaxed) == key) {
      way.key_.store(0, kRelaxed);
      way.addedAt_.store(0, kRelaxed);
    }
  }
}

PrefixHints::Hints
PrefixHints::Find(std::uint64_t aPrefix, TimePoint aNow) const noexcept
{
  Hints hints{};
  std::size_t count = 0;
  const std::uint64_t wanted = Key(aPrefix, 0) >> kHalfBits;
  for (const Way& way : buckets_[BucketOf(aPrefix)]) {
    const std::uint64_t key = way.key_.load(kRelaxed);
    if (key == 0 || key >> kHalfBits != wanted) {
      continue;
    }
    const auto age = static_cast<double>(std::max<Duration::rep>(
      aNow.sinceStart_.count() - way.addedAt_.load(kRelaxed), 0));
    hints[count++] = { static_cast<UpstreamSlot>((key & kLowHalf) - 1),
                       kHalfAgeMicros / (kHalfAgeMicros + age) };
  }
  return hints;
}

} // namespace marjoramtally
