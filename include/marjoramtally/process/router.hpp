/// Chooses the upstream of a request.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/request/request.hpp"

#include <map>
#include <vector>

namespace marjoramtally {

/// What an upstream last reported of itself.
struct UpstreamReport
{
  /// Weight version of each model that it serves.
  std::map<std::string, WeightVersion> models_;
  std::uint64_t running_ = 0;
  std::uint64_t queued_ = 0;
  TimePoint at_;
};

/// An upstream as routing sees it.
struct UpstreamView
{
  UpstreamId id_;
  ServiceId service_;
  ZoneId zone_;
  std::string address_;
  bool leaving_ = false;
  std::uint64_t limit_ = 64;
  UpstreamReport report_;
  std::uint64_t inFlight_ = 0;
};

/// Routing state of one entry process. Not thread-safe.
class Router
{
public:
  Router(ZoneId aZone, std::uint64_t aSeed) noexcept;

  /// Replaces the set of upstreams, keeping the state of those that stay.
  void SetUpstreams(const std::vector<UpstreamView>& aUpstreams);
  void OnReport(const UpstreamId& aId, UpstreamReport aReport);
  /// @returns the upstream to send to, if one may take the request now
  [[nodiscard]] std::optional<UpstreamView> Pick(
    const RequestSpec& aRequest,
    const std::vector<UpstreamId>& aTried);
  void OnSent(const UpstreamId& aId);
  void OnDone(const UpstreamId& aId);
  [[nodiscard]] std::vector<UpstreamView> Upstreams() const;

private:
  [[nodiscard]] static bool Eligible(const UpstreamView& aUpstream,
                                     const RequestSpec& aRequest) noexcept;

  ZoneId zone_;
  Random random_;
  std::map<UpstreamId, UpstreamView> upstreams_;
};

} // namespace marjoramtally
