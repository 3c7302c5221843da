#include "marjoramtally/request/fingerprint.hpp"

#include <xxhash.h>

namespace marjoramtally {

Fingerprint
MakeFingerprint(std::initializer_list<std::string_view> aParts) noexcept
{
  std::uint64_t hash = 0;
  for (const std::string_view part : aParts) {
    // Seeded with the previous hash plus the length of the part, so that the
    // boundaries between parts affect the result.
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash + part.size());
  }
  return Fingerprint{ hash };
}

} // namespace marjoramtally
