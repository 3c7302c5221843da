/// Messages between entries about requests that crash upstreams. Clocks of
/// instances differ, so they carry ages and times left.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"
#include "marjoramtally/request/fingerprint.hpp"

#include <vector>

namespace marjoramtally {

/// One crash held against a request.
struct CrashReport
{
  UpstreamId upstream_;
  Duration age_{ 0 };
  /// How long the request had run there.
  Duration ran_{ 0 };
};

/// What is known against one fingerprint.
struct SuspicionUpdate
{
  Fingerprint fingerprint_;
  /// A completion cleared it; then `crashes_` is empty.
  bool cleared_ = false;
  std::vector<CrashReport> crashes_;
  /// Quarantine time left; 0 is none.
  Duration refusedFor_{ 0 };
};

[[nodiscard]] std::string
Encode(const std::vector<SuspicionUpdate>& aUpdates);

/// @returns `BadInput` if the bytes are no message
[[nodiscard]] Result<std::vector<SuspicionUpdate>>
DecodeSuspicionUpdates(std::string_view aBytes);

} // namespace marjoramtally
