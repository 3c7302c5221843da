/// Which processes watch the store for the others, and whom to ask.
///
/// Every process works the plan out from the signs of life, so that nothing
/// has to be agreed: while views differ, a process asks one that does not
/// relay, is told so and turns to the store itself.
#pragma once

#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/result.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// What a process says of itself beside its sign of life.
struct LivenessRecord
{
  ZoneId zone_;
  /// Where its peers call it, as IP:PORT; empty: it cannot be called.
  std::string address_;
};

[[nodiscard]] std::string
WriteLivenessRecord(const LivenessRecord& aRecord);
[[nodiscard]] Result<LivenessRecord>
ReadLivenessRecord(std::string_view aText);

/// Sizes of the plan.
struct RelayPlanPolicy
{
  /// Fewer processes than this watch the store themselves: what relays would
  /// save is less than what they cost in failures.
  std::size_t minPeers_ = 5;
  /// Processes that one relay serves with one prefix. Each prefix has relays
  /// of its own: as many questions reach a relay as with 24 processes and
  /// three prefixes, for a third of the watches.
  std::size_t peersPerRelay_ = 72;
  /// Relays at the least, for one to fail.
  std::size_t minRelays_ = 2;
};

/// The plan as one process sees it.
class RelayPlan
{
public:
  explicit RelayPlan(std::string aSelf, RelayPlanPolicy aPolicy = {});

  void OnAlive(const std::string& aIncarnation, LivenessRecord aRecord);
  void OnGone(const std::string& aIncarnation);

  /// @returns addresses of the relays of a prefix, in the order in which this
  /// process asks them; empty: it watches the store itself
  [[nodiscard]] const std::vector<std::string>& Relays(
    const std::string& aPrefix) const;
  /// @returns addresses of all other processes that can be called
  [[nodiscard]] std::vector<std::string> Peers() const;

private:
  [[nodiscard]] std::vector<std::string> Choose(
    const std::string& aPrefix) const;

  std::string self_;
  RelayPlanPolicy policy_;
  std::map<std::string, LivenessRecord> alive_;
  /// Relays of the prefixes asked for since the processes last changed.
  mutable std::map<std::string, std::vector<std::string>> relays_;
};

} // namespace marjoramtally
