/// Decides which upstreams an entry polls for their load, and when: a subset of
/// limited size at a limited rate, however large the fleet is.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/upstream.hpp"

namespace marjoramtally {

/// Limits of polling.
struct PollSettings
{
  /// Upstreams of a service that one entry polls, and so sends requests to.
  std::size_t subsetSize_ = 24;
  /// Minimum number of these in other zones, in case the own zone fails.
  std::size_t remoteInSubset_ = 6;
  /// For all services together; at about 250 bytes per poll this stays below
  /// 3 KB/s.
  double maxPollsPerSecond_ = 10;
  /// Minimum time between two polls of one upstream.
  Duration minPeriod_ = std::chrono::milliseconds(200);
};

/// The polling plan of one entry. Not thread-safe.
class PollPlan
{
public:
  /// @param aSelf name of this process; the subset depends on it
  PollPlan(ZoneId aZone, std::string aSelf, PollSettings aSettings = {});

  /// Sets the known upstreams; those that stay in the subset keep the time of
  /// their next poll.
  void SetUpstreams(const std::vector<UpstreamView>& aUpstreams,
                    TimePoint aNow);
  /// @returns upstreams to poll now; schedules their next polls
  [[nodiscard]] std::vector<UpstreamView> Due(TimePoint aNow);
  /// @returns number of upstreams in the subset
  [[nodiscard]] std::size_t size() const noexcept { return polls_.size(); }
  /// @returns time between two polls of one upstream
  [[nodiscard]] Duration Period() const noexcept;

private:
  struct Poll
  {
    UpstreamView upstream_;
    TimePoint next_;
  };

  [[nodiscard]] std::vector<UpstreamView> Subset(
    const std::vector<UpstreamView>& aUpstreams) const;

  ZoneId zone_;
  std::string self_;
  PollSettings settings_;
  Random random_;
  std::map<UpstreamId, Poll> polls_;
};

} // namespace marjoramtally
