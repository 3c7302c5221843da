/// Decides which processes watch the store on behalf of the others (relays),
/// and which relays a process uses. Every process computes the plan from the
/// liveness records, so that no agreement is needed. While views differ, a
/// process may query one that is not a relay; that one refuses, and the process
/// watches the store itself.
#pragma once

#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/result.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// Contents of a process's liveness record.
struct LivenessRecord
{
  ZoneId zone_;
  /// Address for calls by peers, as IP:PORT; empty: it cannot be called.
  std::string address_;
};

[[nodiscard]] std::string
WriteLivenessRecord(const LivenessRecord& aRecord);
[[nodiscard]] Result<LivenessRecord>
ReadLivenessRecord(std::string_view aText);

/// Limits of the plan.
struct RelayPlanPolicy
{
  /// With fewer processes than this, each watches the store itself: relays
  /// would save less than they cost in failures.
  std::size_t minPeers_ = 5;
  /// Processes that one relay serves with one prefix. Each prefix has its own
  /// relays. A relay receives as many requests as one that serves 24 processes
  /// with three prefixes, for a third of the watches.
  std::size_t peersPerRelay_ = 72;
  /// Minimum number of relays of a prefix, so that one may fail.
  std::size_t minRelays_ = 2;
};

/// The plan as computed by one process.
class RelayPlan
{
public:
  explicit RelayPlan(std::string aSelf, RelayPlanPolicy aPolicy = {});

  void OnAlive(const std::string& aIncarnation, LivenessRecord aRecord);
  void OnGone(const std::string& aIncarnation);

  /// @returns addresses of the relays of a prefix, in the order in which this
  /// process tries them; empty: it watches the store itself
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
  /// Relays by prefix, cached until the set of processes changes.
  mutable std::map<std::string, std::vector<std::string>> relays_;
};

} // namespace marjoramtally
