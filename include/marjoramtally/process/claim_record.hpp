/// What the store keeps of a claimed idempotency key.
#pragma once

#include "marjoramtally/request/fingerprint.hpp"
#include "marjoramtally/request/outcome.hpp"

#include <optional>
#include <string>

namespace marjoramtally {

/// How far a claimed request has come.
enum class ClaimState : std::uint8_t
{
  /// Its claimant may be running it, or died.
  Claimed,
  Completed,
  /// It ended without proof of its outcome.
  Unknown,
};

/// One record; the token is unique to one claim.
struct ClaimRecord
{
  std::string token_;
  Fingerprint fingerprint_;
  ClaimState state_ = ClaimState::Claimed;
  /// Status that the caller was given; 0 while there is none.
  int status_ = 0;
  bool operator==(const ClaimRecord&) const = default;
};

/// @returns the record's value in the store
[[nodiscard]] std::string
EncodeClaim(const ClaimRecord& aRecord);

/// @returns nothing if the value is no record
[[nodiscard]] std::optional<ClaimRecord>
DecodeClaim(std::string_view aText);

/// @returns the record's name for a key of a service: a hash, so that its
/// length is bounded and it needs no escaping
[[nodiscard]] std::string
ClaimName(const ServiceId& aService, const IdempotencyKey& aKey);

} // namespace marjoramtally
