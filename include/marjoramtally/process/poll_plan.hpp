/// Which upstreams an entry asks for their load, and when: a subset of
/// bounded size at a bounded rate, however large the fleet is.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/upstream.hpp"

namespace marjoramtally {

/// Bounds of polling.
struct PollSettings
{
  /// Upstreams of a service that one entry asks, and so sends to.
  std::size_t subsetSize_ = 24;
  /// Of these, upstreams of other zones, against the loss of our own.
  std::size_t remoteInSubset_ = 6;
  /// Polls of all services together; at some 250 bytes each they stay below
  /// 3 KB/s.
  double maxPollsPerSecond_ = 10;
  /// Shortest time between two polls of one upstream.
  Duration minPeriod_ = std::chrono::milliseconds(200);
};

/// The plan of one entry. Not thread-safe.
class PollPlan
{
public:
  /// @param aSelf name of this process: subsets of different names differ
  PollPlan(ZoneId aZone, std::string aSelf, PollSettings aSettings = {});

  /// Takes the upstreams that are known; those of the subset that stay keep
  /// their place in time.
  void SetUpstreams(const std::vector<UpstreamView>& aUpstreams,
                    TimePoint aNow);
  /// @returns upstreams to poll now; their next polls are planned
  [[nodiscard]] std::vector<UpstreamView> Due(TimePoint aNow);
  /// @returns upstreams in the subset
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
