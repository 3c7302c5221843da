/// Decides which processes watch the store on behalf of the others (relays),
/// and which relays a process uses. Every process computes the plan from the
/// liveness records, so that no agreement is needed. While views differ, a
/// process may query one that is not a relay; that one refuses, and the process
/// watches the store itself.
#pragma once

#include "marjoramtally/base/capacity.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/result.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace marjoramtally {

/// Contents of a process's liveness record.
struct LivenessRecord
{
  ZoneId zone_;
  /// Address for calls by peers, as IP:PORT; empty: it cannot be called.
  std::string address_;
  Capacity capacity_{ 0 };
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

/// The plan as computed by one process. The newest incarnation of each instance
/// takes part in it. Earlier ones have ended, even if their leases have not
/// expired, and would be half of the plan after a restart of all. A restart
/// changes no relay, so that views agree while a fleet restarts.
class RelayPlan
{
public:
  explicit RelayPlan(std::string aSelf, RelayPlanPolicy aPolicy = {});
  // Not copyable: the orders point to elements of `processes_`.
  RelayPlan(const RelayPlan&) = delete;
  RelayPlan& operator=(const RelayPlan&) = delete;
  RelayPlan(RelayPlan&&) = default;
  RelayPlan& operator=(RelayPlan&&) = default;
  ~RelayPlan() = default;

  /// Sets the relays that are used while too few processes are known: those
  /// that served before this process started. Its own address among them makes
  /// it a relay.
  void SetSeeds(std::vector<std::string> aAddresses,
                const std::string& aOwnAddress);
  void OnAlive(const std::string& aIncarnation, LivenessRecord aRecord);
  void OnGone(const std::string& aIncarnation);

  /// @returns addresses of the relays of a prefix, in the order in which this
  /// process tries them; empty: it watches the store itself
  [[nodiscard]] const std::vector<std::string>& Relays(
    const std::string& aPrefix) const;
  /// @returns addresses of all relays of a prefix; empty if this process is not
  /// the first of them, or there are none
  [[nodiscard]] std::vector<std::string> RelaysIfFirst(
    const std::string& aPrefix) const;
  /// @returns addresses of all other processes that can be called
  [[nodiscard]] std::vector<std::string> Peers() const;
  /// @returns how many processes all computations so far have inspected
  [[nodiscard]] std::uint64_t InspectedCount() const noexcept
  {
    return inspected_;
  }

private:
  struct Process
  {
    InstanceId instance_;
    std::string incarnation_;
    LivenessRecord record_;
  };
  /// Negative capacity, hash of the prefix and the instance, instance.
  using Rank = std::tuple<std::int64_t, std::size_t, std::string_view>;
  using Order = std::map<Rank, const Process*>;

  /// The callable processes in the order in which they become relays of one
  /// prefix, kept up to date, so that a change does not sort the whole fleet.
  struct Prefix
  {
    Order order_;
    std::vector<std::string> relays_;
    bool current_ = false;
  };

  [[nodiscard]] static Rank RankOf(const std::string& aPrefix,
                                   const Process& aProcess);
  void AddToOrders(const Process& aProcess);
  void RemoveFromOrders(const Process& aProcess);
  [[nodiscard]] Order MakeOrder(const std::string& aPrefix) const;
  [[nodiscard]] Prefix& PrefixFor(const std::string& aPrefix) const;
  [[nodiscard]] std::vector<const Process*> ChooseProcesses(
    const Order& aOrder) const;
  [[nodiscard]] std::vector<std::string> Choose(const Order& aOrder) const;
  /// Rotates addresses by a hash of this process, so that processes begin at
  /// different relays.
  void Rotate(std::vector<std::string>& aAddresses) const;

  std::string self_;
  InstanceId instance_;
  RelayPlanPolicy policy_;
  std::vector<std::string> seeds_;
  std::map<InstanceId, Process> processes_;
  /// Number of processes that can be called.
  std::size_t callable_ = 0;
  /// Number of these in each zone that has any.
  std::map<ZoneId, std::size_t> zones_;
  mutable std::map<std::string, Prefix> prefixes_;
  mutable std::uint64_t inspected_ = 0;
};

} // namespace marjoramtally
