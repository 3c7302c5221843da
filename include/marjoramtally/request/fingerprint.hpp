/// Fingerprints of requests: equal for a request and its resends.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <initializer_list>
#include <string_view>

namespace marjoramtally {

/// Hash of what makes an upstream do the same work again.
using Fingerprint = Strong<std::uint64_t, struct FingerprintTag>;

/// Hashes parts with their bounds, so that ("ab", "c") and ("a", "bc")
/// differ.
/// @example `MakeFingerprint({ method, path, body })`
[[nodiscard]] Fingerprint
MakeFingerprint(std::initializer_list<std::string_view> aParts) noexcept;

} // namespace marjoramtally
