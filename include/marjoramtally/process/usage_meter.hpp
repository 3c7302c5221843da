/// What customers use: requests that began to run, by windows of true time.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marjoramtally {

/// Number of a window: how many windows have passed since the Unix epoch.
using UsageWindow = std::uint64_t;
/// Requests of each customer.
using CustomerCounts = std::map<CustomerId, std::uint64_t>;
/// Counts by window.
using UsageCounts = std::map<UsageWindow, CustomerCounts>;

/// Time since the Unix epoch as most instances tell it.
struct TrueTime
{
  Duration sinceEpoch_{ 0 };
  constexpr auto operator<=>(const TrueTime&) const = default;
};

/// @returns the window that an instant lies in
[[nodiscard]] constexpr UsageWindow
WindowOf(TrueTime aTime, Duration aLength) noexcept
{
  return static_cast<UsageWindow>(aTime.sinceEpoch_ / aLength);
}

/// Counts what began to run at one process. Instants are of the process's
/// monotonic clock; whoever asks says what the true time is, so that clocks
/// which differ or jump do not move requests to other windows.
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
  /// Instants are kept to this.
  static constexpr Duration kResolution = std::chrono::milliseconds(5);

  std::map<TimePoint, CustomerCounts> started_;
};

/// Use that one process told of.
struct GatewayUsage
{
  /// Names the run of the process.
  std::string incarnation_;
  /// How far its time of day is ahead of the true time that it was told.
  Duration clockAhead_{ 0 };
  UsageCounts counts_;
  /// Places that its items and requests want, by service.
  std::map<ServiceId, std::uint64_t> demand_;
  /// Places that items want, by model.
  std::map<std::string, std::uint64_t> modelDemand_;
  /// Its long runs in progress, by upstream.
  std::map<UpstreamId, std::uint32_t> longRuns_;
};

/// @returns the median of how far clocks are ahead; 0 if there are none
[[nodiscard]] Duration
MedianClockAhead(std::vector<Duration> aOffsets);

} // namespace marjoramtally
