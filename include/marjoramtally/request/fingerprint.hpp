/// Fingerprints of requests; a request and its resends have the same one.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <initializer_list>
#include <string_view>

namespace marjoramtally {

/// Hash of the parts of a request that determine the work of an upstream.
using Fingerprint = Strong<std::uint64_t, struct FingerprintTag>;

/// Hashes parts including their boundaries, so that ("ab", "c") and ("a", "bc")
/// differ.
/// @example `MakeFingerprint({ method, path, body })`
[[nodiscard]] Fingerprint
MakeFingerprint(std::initializer_list<std::string_view> aParts) noexcept;

} // namespace marjoramtally
