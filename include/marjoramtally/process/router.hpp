/// Selects an upstream for each request.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/prefix_hints.hpp"
#include "marjoramtally/process/rcu_cell.hpp"
#include "marjoramtally/process/upstream.hpp"
#include "marjoramtally/request/outcome.hpp"
#include "marjoramtally/request/request.hpp"

#include <functional>

namespace marjoramtally {

/// Tuning parameters of the router.
struct RouterTuning
{
  /// Candidates drawn for each request; the one with the lowest cost gets it.
  std::size_t candidates_ = 2;
  /// Maximum random increase of a cost, as a fraction of it. It keeps routers
  /// with the same reports from making the same choice.
  double costJitter_ = 0.1;
  /// Whether reported loads are corrected for requests sent since the report
  /// and discounted by the age of the report.
  bool correctReports_ = true;
  /// Whether hints of cached prefixes lower the cost.
  bool prefixHints_ = true;
  /// Whether requests of trainers and background callers are bound by the
  /// adaptive limit.
  bool adaptiveLimit_ = true;
  /// Extra latency of a request to another zone.
  Duration crossZoneLatency_ = std::chrono::milliseconds(1);
};

/// How an attempt at an upstream ended.
struct AttemptResult
{
  AttemptEnd end_ = AttemptEnd::Complete;
  /// Whether the deadline ended the attempt.
  bool timedOut_ = false;
  /// Whether the caller or a faster attempt cancelled it, which is no evidence
  /// about the health of the upstream.
  bool cancelled_ = false;
  TimePoint sentAt_;
  /// Tokens generated; 0 if unknown.
  std::uint64_t tokens_ = 0;
};

struct RoutingSnapshot;
struct RoutedUpstream;

/// Routing state of one entry process. Thread-safe; `Pick`, `OnSent` and
/// `OnDone` take no lock and their cost does not depend on the fleet size.
class Router
{
public:
  Router(ZoneId aZone, std::uint64_t aSeed, RouterTuning aTuning = {});
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Replaces the set of upstreams. Those that remain keep their state.
  void SetUpstreams(const std::vector<UpstreamView>& aUpstreams,
                    TimePoint aNow);
  void OnReport(const UpstreamId& aId,
                const UpstreamReport& aReport,
                TimePoint aNow);
  /// Publishes changes from reports that `OnReport` deferred to publish fewer
  /// snapshots. To be called several times a second.
  void Refresh(TimePoint aNow);
  /// Marks this incarnation as leaving, permanently.
  void MarkLeaving(const UpstreamId& aId, TimePoint aNow);
  /// Records that a prefix entered the cache of an upstream or left it.
  void OnCacheEvent(const UpstreamId& aId,
                    std::uint64_t aPrefix,
                    bool aCached,
                    TimePoint aNow);
  /// @param aTried upstreams that failed this request; used as a last resort
  /// @returns the selected upstream, or null if none accepts the request now
  [[nodiscard]] UpstreamPtr Pick(const RequestSpec& aRequest,
                                 const std::vector<UpstreamId>& aTried,
                                 TimePoint aNow) const;
  void OnSent(const UpstreamId& aId,
              const RequestSpec& aRequest,
              TimePoint aNow);
  void OnDone(const UpstreamId& aId,
              const RequestSpec& aRequest,
              const AttemptResult& aResult,
              TimePoint aNow);
  [[nodiscard]] std::vector<UpstreamView> Upstreams() const;

private:
  using RoutedPtr = std::shared_ptr<const RoutedUpstream>;

  [[nodiscard]] RoutedPtr MakeRouted(UpstreamView aView, TimePoint aNow);
  void Edit(const UpstreamId& aId,
            const std::function<void(RoutedUpstream&)>& aEdit);
  void Publish(TimePoint aNow);

  ZoneId zone_;
  std::uint64_t seed_;
  RouterTuning tuning_;
  mutable std::atomic<std::uint64_t> picks_{ 0 };
  PrefixHints hints_;
  RcuCell<RoutingSnapshot> snapshot_;
  /// Guards the members below, which only writers use.
  mutable std::mutex mutex_;
  std::map<UpstreamId, RoutedPtr> upstreams_;
  LeavingMarks leaving_;
  UpstreamSlot nextSlot_ = 0;
  TimePoint publishedAt_;
  /// Whether there are unpublished edits.
  bool changed_ = false;
};

} // namespace marjoramtally
