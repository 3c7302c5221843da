/// Counts customers' requests that started to run, by windows of true time.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marjoramtally {

/// Index of a window: the number of whole windows since the Unix epoch.
using UsageWindow = std::uint64_t;
/// Number of requests of each customer.
using CustomerCounts = std::map<CustomerId, std::uint64_t>;
/// Counts by window.
using UsageCounts = std::map<UsageWindow, CustomerCounts>;

/// Time since the Unix epoch by the median of the instances' clocks.
struct TrueTime
{
  Duration sinceEpoch_{ 0 };
  constexpr auto operator<=>(const TrueTime&) const = default;
};

/// @returns the window that contains the given time
[[nodiscard]] constexpr UsageWindow
WindowOf(TrueTime aTime, Duration aLength) noexcept
{
  return static_cast<UsageWindow>(aTime.sinceEpoch_ / aLength);
}

/// Counts requests that started at one process. Times are recorded on the
/// monotonic clock of the process and converted with the true time that the
/// caller passes, so that clock differences and jumps do not move requests to
/// other windows.
class UsageMeter
{
public:
  /// How long counts are kept for later holders of the duty.
  static constexpr Duration kRetention = std::chrono::seconds(60);

  void OnRequestStarted(const CustomerId& aCustomer, TimePoint aAt);
  /// @param aTrueNow the true time at `aNow`
  [[nodiscard]] UsageCounts Counts(TimePoint aNow,
                                   TrueTime aTrueNow,
                                   Duration aWindow) const;

private:
  /// Resolution of recorded times.
  static constexpr Duration kResolution = std::chrono::milliseconds(5);

  std::map<TimePoint, CustomerCounts> started_;
};

/// Usage reported by one gateway process.
struct GatewayUsage
{
  /// Identifies the run of the process.
  std::string incarnation_;
  /// Offset of its wall clock from the true time in the request; positive if it
  /// is ahead.
  Duration clockAhead_{ 0 };
  UsageCounts counts_;
  /// Slots wanted by its items and requests, by service.
  std::map<ServiceId, std::uint64_t> demand_;
  /// Slots wanted by its items, by model.
  std::map<std::string, std::uint64_t> modelDemand_;
  /// Number of its long runs in progress, by upstream.
  std::map<UpstreamId, std::uint32_t> longRuns_;
};

/// @returns the median clock offset; 0 if there are none
[[nodiscard]] Duration
MedianClockAhead(std::vector<Duration> aOffsets);

} // namespace marjoramtally
