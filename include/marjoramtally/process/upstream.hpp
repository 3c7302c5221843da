/// Upstreams as seen by the router.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <map>
#include <memory>
#include <vector>

namespace marjoramtally {

/// The latest status report of an upstream.
struct UpstreamReport
{
  /// Weight version of each model that it serves.
  std::map<std::string, WeightVersion> models_;
  std::uint64_t running_ = 0;
  std::uint64_t queued_ = 0;
  /// Whether it announces that it is leaving.
  bool leaving_ = false;
  /// Increases with each start of the upstream; 0 if not reported.
  std::uint64_t incarnation_ = 0;
  /// When the upstream measured these values.
  TimePoint at_;
};

/// An upstream as described by rules and instance lists.
struct UpstreamView
{
  UpstreamId id_;
  ServiceId service_;
  ZoneId zone_;
  std::string address_;
  /// Marked as leaving by a list, a report or a peer; permanent for this
  /// incarnation.
  bool leaving_ = false;
  /// Drained by the operators' rules. Accepted rules never revert to an older
  /// version, so the latest rules apply, also when they return the upstream to
  /// service.
  bool drained_ = false;
  /// Maximum number of requests in flight from this process.
  std::uint64_t limit_ = 64;
  /// Increases with each start of the upstream; 0 if the source does not state
  /// it.
  std::uint64_t incarnation_ = 0;

  /// @returns whether it may receive new requests
  [[nodiscard]] bool TakesWork() const noexcept
  {
    return !leaving_ && !drained_;
  }
};

using UpstreamPtr = std::shared_ptr<const UpstreamView>;

/// Upstreams marked as leaving. A mark is permanent for the incarnation that it
/// was set for: no older list or report clears it. Another address or a higher
/// incarnation number denotes a new start of the upstream. Not thread-safe.
class LeavingMarks
{
public:
  void Mark(const UpstreamView& aUpstream);
  [[nodiscard]] bool Marked(const UpstreamView& aUpstream) const;

private:
  struct Incarnation
  {
    std::string address_;
    std::uint64_t incarnation_ = 0;
  };
  std::map<UpstreamId, std::vector<Incarnation>> marks_;
};

} // namespace marjoramtally
