/// Messages between entries about requests that crash upstreams. The clocks of
/// instances differ, so messages carry ages and remaining times.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"
#include "marjoramtally/request/fingerprint.hpp"

#include <vector>

namespace marjoramtally {

/// One upstream crash attributed to a request.
struct CrashReport
{
  UpstreamId upstream_;
  Duration age_{ 0 };
  /// How long the request had been running on the upstream.
  Duration ran_{ 0 };
  /// Whether the upstream's registration has ended, so that it has crashed.
  bool proven_ = true;
};

/// Crashes and quarantine of one request fingerprint.
struct SuspicionUpdate
{
  Fingerprint fingerprint_;
  /// A completed request cleared the suspicion; then `crashes_` is empty.
  bool cleared_ = false;
  std::vector<CrashReport> crashes_;
  /// Remaining quarantine time; 0 if not in quarantine.
  Duration refusedFor_{ 0 };
};

[[nodiscard]] std::string
Encode(const std::vector<SuspicionUpdate>& aUpdates);

/// @returns `BadInput` if the bytes are not a valid message
[[nodiscard]] Result<std::vector<SuspicionUpdate>>
DecodeSuspicionUpdates(std::string_view aBytes);

} // namespace marjoramtally
