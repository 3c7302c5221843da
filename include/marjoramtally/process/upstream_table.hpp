/// Registered upstreams, the calls in flight at each of them, and the selection
/// of one for a request or an item of a job.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/process/pace_median.hpp"
#include "marjoramtally/process/upstream_load.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace marjoramtally {

/// A model that an upstream holds, and its weight version.
struct ModelVersion
{
  std::string model_;
  WeightVersion version_;

  bool operator==(const ModelVersion&) const = default;
};

/// Registration of an upstream. Id and start together identify an incarnation.
struct UpstreamEntry
{
  UpstreamId id_;
  UpstreamStart start_;
  ServiceId service_;
  /// IP address and port.
  std::string address_;
  ZoneId zone_;
  std::uint32_t slots_ = 1;
  bool draining_ = false;
  std::vector<ModelVersion> models_;
  /// Whether the platform may reclaim it at short notice.
  bool spot_ = false;

  bool operator==(const UpstreamEntry&) const = default;
};

/// Effect of a registry entry on the known state of its upstream.
enum class EntryEffect
{
  /// A new upstream, or the known incarnation of one.
  Current,
  /// The upstream restarted under its id; its previous state was discarded.
  Restarted,
  /// The entry describes an earlier incarnation and was ignored.
  Outdated,
};

/// How a call to an upstream ended, with regard to the health of the upstream.
enum class CallVerdict
{
  /// The upstream itself answered, with any status.
  Answered,
  /// The upstream reported that all its slots are in use.
  Full,
  /// The upstream accepted no item despite a free slot, or made no progress: it
  /// is loading weights or is unreachable.
  Loading,
  /// No complete answer: connection refused or broken, malformed data or no
  /// response.
  Failed,
  /// Abandoned by this process or by the caller.
  Abandoned,
};

/// When a restart of an upstream becomes known, calls that received no data for
/// this long are taken to be lost with the previous incarnation; other calls
/// continue. A restart is registered within one second.
inline constexpr auto kRestartIdleTime = std::chrono::milliseconds(500);

/// Parameters of the selection.
struct SelectionPolicy
{
  /// Time that an upstream remains selectable, as a last resort, after its
  /// entry was removed. Registrations that expire while the store is
  /// unavailable return within 2 s, and an upstream that left must receive no
  /// calls after 2 s.
  Duration removalGrace_ = std::chrono::milliseconds(1500);
  /// Time that an upstream is avoided after a failed call; doubles with each
  /// consecutive failure.
  Duration initialBackoff_ = std::chrono::milliseconds(300);
  /// Upper bound of the doubled time.
  Duration maxBackoff_ = std::chrono::seconds(3);
  /// Time that an upstream is avoided after it reported that it is full.
  Duration fullBackoff_ = std::chrono::milliseconds(100);
  /// Time that an upstream is avoided while it loads weights (0.9 s).
  Duration loadingBackoff_ = std::chrono::milliseconds(600);
  /// Weight of the newest gap in the smoothed pace.
  double paceWeight_ = 0.2;
  /// Longer gaps between events are left out of the pace, because loading
  /// weights interrupts a stream for 0.9 s.
  Duration maxEventGap_ = std::chrono::milliseconds(500);
  /// An upstream is slow if its pace exceeds the median of its service by this
  /// factor.
  double slowFactor_ = 1.8;
  /// An upstream with calls in flight is unresponsive if none of them received
  /// data for this long and for `idleTimeoutPaces_` times its pace: it is
  /// unreachable, frozen, loading or full. Streams produce an event every 35
  /// ms; plain calls take 25 to 200 ms.
  Duration idleTimeout_ = std::chrono::milliseconds(300);
  std::int64_t idleTimeoutPaces_ = 6;
  /// Load reports of upstreams decide for all services. Otherwise they decide
  /// for the services whose upstreams report how long work takes.
  bool loadAware_ = false;
};

/// An upstream and the state that this process keeps for it.
struct TrackedUpstream
{
  UpstreamEntry entry_;
  /// Calls of this process in flight.
  std::uint32_t inFlight_ = 0;
  /// Consecutive failures.
  std::uint32_t failures_ = 0;
  /// Until then it receives no items, and calls only as a last resort.
  TimePoint avoidUntil_;
  /// When the entry was removed; `kNever` while it is registered.
  TimePoint removedAt_ = kNever;
  /// When data was last received from it, or a call began while none was in
  /// flight.
  TimePoint lastReceivedAt_;
  /// Smoothed time between two events of a stream; 0 if unknown.
  Duration pace_{ 0 };
  std::map<std::string, WeightVersion> versions_;
  /// Orders upstreams that are otherwise equal; specific to this process.
  std::size_t tieBreak_ = 0;
  /// What is believed of its load; kept for services that are load-aware.
  UpstreamLoad load_;

  /// @returns calls of this process in flight per slot
  [[nodiscard]] double LoadPerSlot() const noexcept
  {
    return static_cast<double>(inFlight_) /
           static_cast<double>(entry_.slots_ > 0 ? entry_.slots_ : 1);
  }
};

/// Requirements of an item on its upstream.
struct ItemNeeds
{
  ServiceId service_;
  std::string model_;
  WeightVersion minVersion_;
  /// Selected if it has a free slot, because it has the shared prompt cached.
  UpstreamId preferred_;
  /// Never selected.
  UpstreamId excluded_;
};

/// All upstreams of the fleet. Not thread-safe.
class UpstreamTable
{
public:
  /// @param aSelf name of this process; if empty, ties are broken by upstream
  /// id. Otherwise each process breaks ties in a fixed order of its own: with
  /// one order for all processes, the first upstream of a zone received five
  /// times the mean number of calls of its service, and the first upstreams of
  /// a model 24 items for 6 slots. Preferring the same few upstreams also keeps
  /// connections in use.
  explicit UpstreamTable(ZoneId aZone,
                         SelectionPolicy aPolicy = {},
                         std::string aSelf = {});
  // Not copyable: the rankings point to elements of `upstreams_`.
  UpstreamTable(const UpstreamTable&) = delete;
  UpstreamTable& operator=(const UpstreamTable&) = delete;
  UpstreamTable(UpstreamTable&&) = default;
  UpstreamTable& operator=(UpstreamTable&&) = default;
  ~UpstreamTable() = default;

  /// Handles a new or changed registration. A restart discards the state of the
  /// upstream except the count of calls in flight, which their owners end.
  EntryEffect OnEntry(UpstreamEntry aEntry);
  /// Handles the removal of a registration.
  void OnRemoved(const UpstreamId& aId, TimePoint aNow);
  /// Handles a complete list: entries that it does not contain were removed,
  /// and are selectable for `removalGrace_` only if most are missing.
  /// @returns upstreams that have restarted
  std::vector<UpstreamId> OnList(std::vector<UpstreamEntry> aEntries,
                                 TimePoint aNow);

  void OnStart(const UpstreamId& aId, TimePoint aNow);
  void OnEnd(const UpstreamId& aId, CallVerdict aVerdict, TimePoint aNow);
  /// The upstream answered as another incarnation, so this one has ended.
  void OnReplaced(const UpstreamId& aId, TimePoint aNow);
  /// Part of an answer was received.
  void OnReceived(const UpstreamId& aId, TimePoint aNow);
  /// @param aGap time between the latest two events of a stream
  void OnPace(const UpstreamId& aId, Duration aGap);
  /// The upstream reported its weight version of a model.
  void OnVersion(const UpstreamId& aId,
                 const std::string& aModel,
                 WeightVersion aVersion);

  /// The upstream reported its load.
  /// @param aAt when it measured the load
  /// @returns why the report is ignored; empty if it is not
  std::string_view OnLoad(const UpstreamId& aId,
                          const LoadReport& aReport,
                          TimePoint aAt);
  /// @returns whether load reports decide for a service
  [[nodiscard]] bool LoadAware(const ServiceId& aService) const;

  /// Selects an upstream for a request: the fewest calls in flight per slot,
  /// then the local zone, then the tie-breaking order of this process.
  /// @param aTried upstreams that must not be selected again
  /// @returns nullptr if there is none
  [[nodiscard]] const TrackedUpstream* Pick(const ServiceId& aService,
                                            const std::set<UpstreamId>& aTried,
                                            TimePoint aNow) const;
  /// Selects an upstream for an item: one with the required weight version and
  /// a free slot.
  /// @returns nullptr if there is none
  [[nodiscard]] const TrackedUpstream* PickForItem(const ItemNeeds& aNeeds,
                                                   TimePoint aNow) const;
  /// @returns whether an upstream is much slower than the median of its service
  [[nodiscard]] bool Slow(const UpstreamId& aId) const;
  /// @returns whether calls of this process are in flight at an upstream and
  /// none of them received data within the idle timeout
  [[nodiscard]] bool Unresponsive(const TrackedUpstream& aUpstream,
                                  TimePoint aNow) const noexcept;
  [[nodiscard]] const TrackedUpstream* Find(const UpstreamId& aId) const;
  /// @returns how many upstreams all selections and removals so far have
  /// inspected
  [[nodiscard]] std::uint64_t InspectedCount() const noexcept
  {
    return inspected_;
  }
  /// @returns whether the upstream may receive new calls
  [[nodiscard]] bool Usable(const TrackedUpstream& aUpstream,
                            TimePoint aNow) const noexcept;

private:
  /// Calls in flight per slot, tie-breaking value, id.
  using Rank = std::tuple<double, std::size_t, UpstreamId>;
  using Ranking = std::map<Rank, const TrackedUpstream*>;

  /// The upstreams of one service in the order of selection, so that a
  /// selection inspects the first ones instead of the whole fleet.
  struct Service
  {
    Ranking ranking_;
    /// Rankings by model and weight version: few upstreams hold a version that
    /// was just released.
    std::map<std::string, std::map<WeightVersion, Ranking>> models_;
    PaceMedian paces_;
    /// An upstream has reported how long work takes.
    bool reportsSlowdown_ = false;
  };

  /// Records when an entry was removed; the first time counts.
  void MarkRemoved(const UpstreamId& aId, TimePoint aAt);

  /// Drops upstreams whose grace period has expired and that have no calls in
  /// flight.
  void DropExpired(TimePoint aNow);
  [[nodiscard]] static Rank RankOf(const TrackedUpstream& aUpstream);
  /// An upstream must be removed from the rankings before its rank or its pace
  /// changes, and added again afterwards.
  void RemoveFromRankings(const TrackedUpstream& aUpstream);
  void AddToRankings(const TrackedUpstream& aUpstream);
  [[nodiscard]] const Service* FindService(const ServiceId& aService) const;
  /// @returns the rankings that contain the upstreams eligible for an item
  [[nodiscard]] std::vector<const Ranking*> RankingsFor(
    const ItemNeeds& aNeeds) const;
  [[nodiscard]] bool Fits(const TrackedUpstream& aUpstream,
                          const ItemNeeds& aNeeds,
                          TimePoint aNow) const;
  [[nodiscard]] bool SlowerThan(const TrackedUpstream& aUpstream,
                                Duration aMedian) const noexcept;

  ZoneId zone_;
  SelectionPolicy policy_;
  std::string self_;
  std::map<UpstreamId, TrackedUpstream> upstreams_;
  std::map<ServiceId, Service> services_;
  /// Upstreams whose entry was removed, in the order of the removals.
  std::set<std::pair<TimePoint, UpstreamId>> removed_;
  mutable std::uint64_t inspected_ = 0;
  /// Latest known start of each id whose entry has one. Kept after the entry is
  /// removed, so that a delayed entry of an earlier incarnation is ignored.
  /// Such ids belong to fixed locations of the fleet and are reused after a
  /// restart, so the map stays small.
  std::map<UpstreamId, UpstreamStart> latestStarts_;
};

} // namespace marjoramtally
