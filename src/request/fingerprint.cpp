#include "marjoramtally/request/fingerprint.hpp"

#include <xxhash.h>

namespace marjoramtally {

Fingerprint
MakeFingerprint(std::initializer_list<std::string_view> aParts) noexcept
{
  std::uint64_t hash = 0;
  for (const std::string_view part : aParts) {
    // The previous hash is the seed; the length is part of the hash.
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash + part.size());
  }
  return Fingerprint{ hash };
}

} // namespace marjoramtally
