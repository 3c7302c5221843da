/// Chooses the upstream of a request.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/prefix_hints.hpp"
#include "marjoramtally/process/rcu_cell.hpp"
#include "marjoramtally/process/upstream.hpp"
#include "marjoramtally/request/outcome.hpp"
#include "marjoramtally/request/request.hpp"

#include <functional>

namespace marjoramtally {

/// What the router may be tuned by.
struct RouterTuning
{
  /// Candidates drawn for a request; the best of them gets it.
  std::size_t candidates_ = 2;
  /// Share by which costs are blurred, so that routers with the same reports
  /// do not choose alike.
  double costJitter_ = 0.1;
  /// Whether reports are corrected by own requests and by their age.
  bool correctReports_ = true;
  /// Whether hints of cached prefixes count.
  bool prefixHints_ = true;
  /// Whether trainers' requests are bound by the adaptive limit.
  bool adaptiveLimit_ = true;
  /// Time that a request to another zone takes longer.
  Duration crossZoneLatency_ = std::chrono::milliseconds(1);
};

/// How an attempt at an upstream ended.
struct AttemptResult
{
  AttemptEnd end_ = AttemptEnd::Whole;
  /// Set if its deadline ended it.
  bool timedOut_ = false;
  /// Set if the caller or a faster attempt ended it: says nothing of the
  /// upstream.
  bool cancelled_ = false;
  TimePoint sentAt_;
  /// Tokens generated; 0 if unknown.
  std::uint64_t tokens_ = 0;
};

struct RoutingSnapshot;
struct RoutedUpstream;

/// Routing state of one entry process. Thread-safe; `Pick`, `OnSent` and
/// `OnDone` take no lock and their work does not grow with the fleet.
class Router
{
public:
  Router(ZoneId aZone, std::uint64_t aSeed, RouterTuning aTuning = {});
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Replaces the set of upstreams, keeping the state of those that stay.
  void SetUpstreams(const std::vector<UpstreamView>& aUpstreams,
                    TimePoint aNow);
  void OnReport(const UpstreamId& aId,
                const UpstreamReport& aReport,
                TimePoint aNow);
  /// Puts reported versions in force that `OnReport` has put off to change
  /// the routing state less often; to be called several times a second.
  void Refresh(TimePoint aNow);
  /// Marks this incarnation as leaving, for good.
  void MarkLeaving(const UpstreamId& aId, TimePoint aNow);
  /// A prefix entered the cache of an upstream or left it.
  void OnCacheEvent(const UpstreamId& aId,
                    std::uint64_t aPrefix,
                    bool aCached,
                    TimePoint aNow);
  /// @param aTried upstreams that failed this request; taken last
  /// @returns the upstream to send to, or null if none may take it now
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
  /// Writers' state.
  mutable std::mutex mutex_;
  std::map<UpstreamId, RoutedPtr> upstreams_;
  LeavingMarks leaving_;
  UpstreamSlot nextSlot_ = 0;
  TimePoint publishedAt_;
  /// Whether there are edits that are not published.
  bool changed_ = false;
};

} // namespace marjoramtally
