/// Classes and attributes of requests.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <optional>
#include <string_view>

namespace marjoramtally {

/// Priority class of a request; earlier classes have priority.
enum class RequestClass : std::uint8_t
{
  Live,
  Trainer,
  Background,
};

/// Header with the remaining time of a request, such as `250ms`; each hop
/// forwards the time that remains.
inline constexpr std::string_view kDeadlineHeader = "X-Deadline";

/// Number of request classes.
inline constexpr std::size_t kRequestClasses = 3;

/// @returns `live`, `trainer` or `background`
[[nodiscard]] std::string_view
ToString(RequestClass aClass) noexcept;

/// @returns the class with this name, if it exists
[[nodiscard]] std::optional<RequestClass>
ParseRequestClass(std::string_view aText) noexcept;

/// Attributes of a request used by routing, limits and retries.
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
  /// Identifies a non-idempotent request across resends by its caller.
  IdempotencyKey key_;
  /// Model to sample; empty for plain services.
  std::string model_;
  /// Oldest weight version that may be sampled.
  WeightVersion minVersion_;
  /// Expected cost: prompt tokens and generated tokens.
  std::uint64_t promptTokens_ = 0;
  std::uint64_t outputTokens_ = 0;
  /// Hash of the start of the prompt, for routing to cached prefixes; 0 if
  /// unset.
  std::uint64_t prefixHash_ = 0;
  /// Hash of method, path and body, for quarantine.
  std::uint64_t fingerprint_ = 0;
};

} // namespace marjoramtally
