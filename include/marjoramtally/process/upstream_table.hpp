/// The upstreams that are registered, what is in flight at each of them, and
/// the choice of one for a request or an item of a job.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/process/pace_median.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace marjoramtally {

/// A weight version of a model that an upstream holds.
struct ModelVersion
{
  std::string model_;
  WeightVersion version_;
};

/// One upstream as it registered itself. Id and start name one incarnation.
struct UpstreamEntry
{
  UpstreamId id_;
  UpstreamStart start_;
  ServiceId service_;
  /// IP number and port.
  std::string address_;
  ZoneId zone_;
  std::uint32_t slots_ = 1;
  bool draining_ = false;
  std::vector<ModelVersion> models_;
  /// It may be reclaimed at short notice.
  bool spot_ = false;
};

/// What an entry told of its upstream.
enum class EntryEffect
{
  /// The incarnation is new or known and goes on.
  Current,
  /// The upstream has started again under its id: nothing of before holds.
  Restarted,
  /// It speaks of an earlier incarnation and was ignored.
  Outdated,
};

/// How a call to an upstream ended, as far as its health goes.
enum class CallVerdict
{
  /// An answer of the upstream itself, whatever its status.
  Answered,
  /// It said that it is full.
  Full,
  /// It took no item though we know of a free slot, or stands still: its
  /// weights change, or it cannot be reached.
  Loading,
  /// No whole answer: refused, broken, garbled or silent.
  Failed,
  /// Given up by us or by the caller.
  Abandoned,
};

/// A call of which nothing was heard for so long when a restart of its upstream
/// becomes known had gone to the incarnation before. A restart is registered
/// within a second; calls that are heard of go on.
inline constexpr auto kRestartIdleTime = std::chrono::milliseconds(500);

/// Times that govern the choice.
struct SelectionPolicy
{
  /// An entry that vanished may come back this long: registrations that lapse
  /// while the store is away return within two seconds, and an upstream that
  /// left must get nothing two seconds later.
  Duration removalGrace_ = std::chrono::milliseconds(1500);
  /// An upstream that failed a call is avoided this long, doubled with each
  /// further failure.
  Duration initialBackoff_ = std::chrono::milliseconds(300);
  Duration maxBackoff_ = std::chrono::seconds(3);
  /// An upstream that said it is full is avoided this long.
  Duration fullBackoff_ = std::chrono::milliseconds(100);
  /// A change of weights takes 0.9 s.
  Duration loadingBackoff_ = std::chrono::milliseconds(600);
  /// Weight of the newest observation in the smoothed pace.
  double paceWeight_ = 0.2;
  /// Longer gaps are no pace: a change of weights holds a stream up for 0.9 s.
  Duration maxEventGap_ = std::chrono::milliseconds(500);
  /// A pace this many times the median of its service is slow.
  double slowFactor_ = 1.8;
  /// An upstream with calls in progress that lets nothing be heard for this
  /// long, and for so many times its pace, is unresponsive: cut off, frozen,
  /// loading or full. Streams make an event each 35 ms, plain calls take 25 to
  /// 200 ms.
  Duration idleTimeout_ = std::chrono::milliseconds(300);
  std::int64_t idleTimeoutPaces_ = 6;
};

/// One upstream and what this process knows of it.
struct TrackedUpstream
{
  UpstreamEntry entry_;
  /// Calls of this process in progress.
  std::uint32_t inFlight_ = 0;
  /// Failures in a row.
  std::uint32_t failures_ = 0;
  TimePoint avoidUntil_;
  /// When the entry vanished; `kNever` while it is registered.
  TimePoint removedAt_ = kNever;
  /// When it last let anything be heard, or its first call in progress began.
  TimePoint lastReceivedAt_;
  /// Smoothed time between two events of a stream; 0 is unknown.
  Duration pace_{ 0 };
  std::map<std::string, WeightVersion> versions_;
  /// Place in this process's own order of upstreams.
  std::size_t tieBreak_ = 0;
};

/// What is asked of an upstream for an item.
struct ItemNeeds
{
  ServiceId service_;
  std::string model_;
  WeightVersion minVersion_;
  /// Preferred if it has a free slot: it holds the shared prompt.
  UpstreamId preferred_;
  /// Never chosen.
  UpstreamId excluded_;
};

/// All upstreams of the fleet.
class UpstreamTable
{
public:
  /// @param aSelf names this process; empty: the order is that of ids. Among
  /// upstreams that are equal for it, each process has an order of its own,
  /// which stays: with one order for all, the first upstream of a zone got five
  /// times the mean of its service's calls, and the first models' upstreams 24
  /// items for 6 places. Keeping to few upstreams also keeps connections in
  /// use.
  explicit UpstreamTable(ZoneId aZone,
                         SelectionPolicy aPolicy = {},
                         std::string aSelf = {});
  // Its order of upstreams refers to its own objects.
  UpstreamTable(const UpstreamTable&) = delete;
  UpstreamTable& operator=(const UpstreamTable&) = delete;
  UpstreamTable(UpstreamTable&&) = default;
  UpstreamTable& operator=(UpstreamTable&&) = default;
  ~UpstreamTable() = default;

  /// An upstream registered or changed. A restart clears all that is known of
  /// it but the calls in progress, which their drivers settle.
  EntryEffect OnEntry(UpstreamEntry aEntry);
  /// An upstream's registration is gone.
  void OnRemoved(const UpstreamId& aId, TimePoint aNow);
  /// The whole list was read: what is not in it has vanished.
  /// @returns upstreams that have started again
  std::vector<UpstreamId> OnList(std::vector<UpstreamEntry> aEntries,
                                 TimePoint aNow);

  void OnStart(const UpstreamId& aId, TimePoint aNow);
  void OnEnd(const UpstreamId& aId, CallVerdict aVerdict, TimePoint aNow);
  /// The upstream answered for another incarnation: this one is gone.
  void OnReplaced(const UpstreamId& aId, TimePoint aNow);
  /// Part of an answer came.
  void OnReceived(const UpstreamId& aId, TimePoint aNow);
  /// An event of a stream came so long after the one before.
  void OnPace(const UpstreamId& aId, Duration aGap);
  /// The upstream showed its version of a model.
  void OnVersion(const UpstreamId& aId,
                 const std::string& aModel,
                 WeightVersion aVersion);

  /// Chooses for a request: fewest in flight a slot, own zone first, then this
  /// process's own order.
  /// @param aTried upstreams not to be chosen again
  [[nodiscard]] const TrackedUpstream* Pick(const ServiceId& aService,
                                            const std::set<UpstreamId>& aTried,
                                            TimePoint aNow) const;
  /// Chooses for an item: a free slot at an upstream with the version.
  /// @returns nullptr while none is free
  [[nodiscard]] const TrackedUpstream* PickForItem(const ItemNeeds& aNeeds,
                                                   TimePoint aNow) const;
  /// @returns whether an upstream is much slower than its peers
  [[nodiscard]] bool Slow(const UpstreamId& aId) const;
  /// @returns whether calls of this process are in progress at an upstream
  /// and nothing of any of them was heard for a while
  [[nodiscard]] bool Unresponsive(const TrackedUpstream& aUpstream,
                                  TimePoint aNow) const noexcept;
  [[nodiscard]] const TrackedUpstream* Find(const UpstreamId& aId) const;
  /// @returns how many upstreams all choices so far have looked at
  [[nodiscard]] std::uint64_t InspectedCount() const noexcept
  {
    return inspected_;
  }
  /// @returns whether the upstream may get new work
  [[nodiscard]] bool Usable(const TrackedUpstream& aUpstream,
                            TimePoint aNow) const noexcept;

private:
  /// Calls in flight a slot, this process's own order, id.
  using Rank = std::tuple<double, std::size_t, UpstreamId>;
  using Ranking = std::map<Rank, const TrackedUpstream*>;

  /// The upstreams of one service in the order in which they are chosen, so
  /// that a choice looks at the first ones and not at the whole fleet.
  struct Service
  {
    Ranking ranking_;
    /// The same by model and version: after a version is named few hold it.
    std::map<std::string, std::map<WeightVersion, Ranking>> models_;
    PaceMedian paces_;
  };

  [[nodiscard]] static Rank RankOf(const TrackedUpstream& aUpstream);
  /// Takes an upstream out of its service, which a change of its rank or its
  /// pace needs before, and back in after.
  void RemoveFromRankings(const TrackedUpstream& aUpstream);
  void AddToRankings(const TrackedUpstream& aUpstream);
  [[nodiscard]] const Service* FindService(const ServiceId& aService) const;
  /// @returns the rankings of which an upstream for an item is chosen
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
  mutable std::uint64_t inspected_ = 0;
  /// The newest start seen of each id that says when it started; outlives the
  /// entry, so that an old one which comes late brings nothing back. Such ids
  /// are those of the fleet's places and so stay few.
  std::map<UpstreamId, UpstreamStart> latestStarts_;
};

} // namespace marjoramtally
