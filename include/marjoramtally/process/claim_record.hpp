/// The stored record of a claimed idempotency key.
#pragma once

#include "marjoramtally/request/fingerprint.hpp"
#include "marjoramtally/request/outcome.hpp"

#include <optional>
#include <string>

namespace marjoramtally {

/// Progress of a claimed request.
enum class ClaimState : std::uint8_t
{
  /// The claimant may be running the request or may have died.
  Claimed,
  Completed,
  /// The request ended without proof of its outcome.
  Unknown,
};

/// The record of one claim.
struct ClaimRecord
{
  /// Unique to one claim.
  std::string token_;
  Fingerprint fingerprint_;
  ClaimState state_ = ClaimState::Claimed;
  /// Status with which the caller was answered; 0 before that.
  int status_ = 0;
  bool operator==(const ClaimRecord&) const = default;
};

/// @returns the record's value in the store
[[nodiscard]] std::string
EncodeClaim(const ClaimRecord& aRecord);

/// @returns nothing if the value is not a valid record
[[nodiscard]] std::optional<ClaimRecord>
DecodeClaim(std::string_view aText);

/// @returns the name of the record for a key of a service: a hash, so that the
/// length is bounded and no escaping is needed
[[nodiscard]] std::string
ClaimName(const ServiceId& aService, const IdempotencyKey& aKey);

} // namespace marjoramtally
