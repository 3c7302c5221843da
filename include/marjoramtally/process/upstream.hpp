/// Upstreams as routing sees them.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <map>
#include <memory>
#include <vector>

namespace marjoramtally {

/// What an upstream last reported of itself.
struct UpstreamReport
{
  /// Weight version of each model that it serves.
  std::map<std::string, WeightVersion> models_;
  std::uint64_t running_ = 0;
  std::uint64_t queued_ = 0;
  /// Whether it says that it is leaving.
  bool leaving_ = false;
  /// Grows with each start of the upstream; 0 if it does not say.
  std::uint64_t incarnation_ = 0;
  /// When it was true.
  TimePoint at_;
};

/// An upstream as rules and lists describe it.
struct UpstreamView
{
  UpstreamId id_;
  ServiceId service_;
  ZoneId zone_;
  std::string address_;
  /// Marked as leaving by a list, a report or a peer; holds for good.
  bool leaving_ = false;
  /// Taken out by the operators' rules. As accepted rules never go back, the
  /// latest word counts, also one that puts the upstream back.
  bool drained_ = false;
  /// Requests in flight from this process.
  std::uint64_t limit_ = 64;
  /// Grows with each start of the upstream; 0 if the source does not say.
  std::uint64_t incarnation_ = 0;

  /// @returns whether it may be given new work
  [[nodiscard]] bool TakesWork() const noexcept
  {
    return !leaving_ && !drained_;
  }
};

using UpstreamPtr = std::shared_ptr<const UpstreamView>;

/// Leaving marks. A mark holds for good for the incarnation that it was set
/// for: no older list or report undoes it. Another address or a higher
/// incarnation is another start of the upstream. Not thread-safe.
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
