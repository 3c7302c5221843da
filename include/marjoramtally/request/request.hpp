/// What the system knows of one request.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <optional>
#include <string_view>

namespace marjoramtally {

/// Who waits for the answer; earlier classes go first.
enum class RequestClass : std::uint8_t
{
  Live,
  Trainer,
  Background,
};

/// Header with the time left for a request, as `250ms`; each hop passes on
/// what is left there.
inline constexpr std::string_view kDeadlineHeader = "X-Deadline";

/// Number of request classes.
inline constexpr std::size_t kRequestClasses = 3;

/// @returns `live`, `trainer` or `background`
[[nodiscard]] std::string_view
ToString(RequestClass aClass) noexcept;

/// @returns the class of that name, if there is one
[[nodiscard]] std::optional<RequestClass>
ParseRequestClass(std::string_view aText) noexcept;

/// A request as routing, limits and retries see it.
struct RequestSpec
{
  RequestId id_;
  ServiceId service_;
  RequestClass class_ = RequestClass::Live;
  /// Set for trainer requests.
  TrainerId trainer_;
  TimePoint arrived_;
  TimePoint deadline_ = kNever;
  bool idempotent_ = true;
  /// Names a non-idempotent request over its caller's resends.
  IdempotencyKey key_;
  /// Model to be sampled; empty for plain services.
  std::string model_;
  /// Oldest weight version that may be sampled.
  WeightVersion minVersion_;
  /// Expected cost: prompt tokens and tokens to generate.
  std::uint64_t promptTokens_ = 0;
  std::uint64_t outputTokens_ = 0;
  /// Hash of the prompt's head, for cached prefixes; 0 is none.
  std::uint64_t prefixHash_ = 0;
  /// Hash of method, path and body, for quarantine.
  std::uint64_t fingerprint_ = 0;
};

} // namespace marjoramtally
