#include "marjoramtally/process/router.hpp"

#include "process/completion_cost.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Weight of the newest report in the moving mean of a service.
constexpr double kMeanWeight = 0.05;
/// The concurrency limit shrinks when an upstream queues more than 1/8 of the
/// requests that it runs.
constexpr std::uint64_t kBatchToQueueRatio = 8;
/// Minimum time between two snapshots that are published for reports. Versions
/// change on many upstreams at once, so their reports share one snapshot.
constexpr Duration kPublishPeriod = std::chrono::milliseconds(100);
/// Age given to the upstreams of the first list, which skip slow start.
constexpr Duration kWarmUpstreamAge = std::chrono::minutes(10);

void
UpdateMean(std::atomic<double>& aMean, double aValue) noexcept
{
  const double mean = aMean.load(std::memory_order_relaxed);
  aMean.store(mean + kMeanWeight * (aValue - mean), std::memory_order_relaxed);
}

/// @returns time per unit of work of an attempt that ends at `aNow`
double
MicrosPerUnit(const RoutedUpstream& aUpstream,
              const RequestSpec& aRequest,
              const AttemptResult& aResult,
              const RouterTuning& aTuning,
              TimePoint aNow) noexcept
{
  const auto tokens = static_cast<double>(
    aResult.tokens_ > 0 ? aResult.tokens_ : aRequest.outputTokens_);
  const double load = ExpectedLoad(aUpstream, aTuning, aNow) + 1;
  const auto took = static_cast<double>((aNow - aResult.sentAt_).count());
  return std::max(took, 1.0) / WorkUnits(tokens, load);
}

/// Updates the adaptive limit after an answer.
void
AdjustLimit(ConcurrencyLimit& aLimit,
            const RequestSpec& aRequest,
            const AttemptResult& aResult,
            std::uint64_t aInFlight,
            TimePoint aNow) noexcept
{
  if (aRequest.class_ == RequestClass::Live) {
    if (aRequest.deadline_ != kNever && aRequest.deadline_ > aResult.sentAt_) {
      const auto had =
        static_cast<double>((aRequest.deadline_ - aRequest.arrived_).count());
      const auto took = static_cast<double>((aNow - aResult.sentAt_).count());
      aLimit.OnLiveAnswer(took / std::max(had, 1.0), aNow);
    }
  } else if (aInFlight + 1 >= aLimit.Get()) {
    aLimit.OnAnswerAtLimit(aNow);
  }
}

} // namespace

Router::Router(ZoneId aZone, std::uint64_t aSeed, RouterTuning aTuning)
  : zone_(std::move(aZone))
  , seed_(Random(aSeed).Next())
  , tuning_(aTuning)
  , snapshot_(std::make_unique<RoutingSnapshot>())
{
}

Router::~Router() = default;

Router::RoutedPtr
Router::MakeRouted(UpstreamView aView, TimePoint aNow)
{
  const auto known = upstreams_.find(aView.id_);
  auto made = std::make_shared<RoutedUpstream>();
  if (known != upstreams_.end() &&
      known->second->view_.address_ == aView.address_ &&
      known->second->view_.service_ == aView.service_) {
    *made = *known->second;
    aView.incarnation_ = std::max(aView.incarnation_, made->view_.incarnation_);
  } else {
    const TimePoint seenAt =
      upstreams_.empty() ? aNow - kWarmUpstreamAge : aNow;
    made->state_ = std::make_shared<UpstreamState>(seenAt);
    made->slot_ = nextSlot_++;
  }
  made->view_ = std::move(aView);
  return made;
}

void
Router::SetUpstreams(const std::vector<UpstreamView>& aUpstreams,
                     TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  std::map<ServiceId, std::shared_ptr<ServiceState>> services;
  for (const auto& [id, upstream] : upstreams_) {
    services.emplace(upstream->view_.service_, upstream->service_);
  }
  std::map<UpstreamId, RoutedPtr> next;
  for (const UpstreamView& view : aUpstreams) {
    auto made = std::const_pointer_cast<RoutedUpstream>(MakeRouted(view, aNow));
    if (made->view_.leaving_) {
      leaving_.Mark(made->view_);
    }
    made->view_.leaving_ = leaving_.Marked(made->view_);
    auto& service = services[view.service_];
    service = service ? service : std::make_shared<ServiceState>();
    made->service_ = service;
    next.emplace(view.id_, std::move(made));
  }
  upstreams_ = std::move(next);
  Publish(aNow);
}

void
Router::Edit(const UpstreamId& aId,
             const std::function<void(RoutedUpstream&)>& aEdit)
{
  const auto found = upstreams_.find(aId);
  if (found == upstreams_.end()) {
    return;
  }
  auto next = std::make_shared<RoutedUpstream>(*found->second);
  aEdit(*next);
  found->second = std::move(next);
  changed_ = true;
}

void
Router::Publish(TimePoint aNow)
{
  publishedAt_ = aNow;
  changed_ = false;
  snapshot_.Publish(BuildSnapshot(upstreams_, zone_));
}

void
Router::OnReport(const UpstreamId& aId,
                 const UpstreamReport& aReport,
                 TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const auto found = upstreams_.find(aId);
  if (found == upstreams_.end()) {
    return;
  }
  const RoutedUpstream& upstream = *found->second;
  UpstreamState& state = *upstream.state_;
  state.load_.OnReport(aReport.running_ + aReport.queued_, aReport.at_);
  UpdateMean(upstream.service_->meanOthers_, state.load_.Others());
  if (aReport.queued_ * kBatchToQueueRatio > aReport.running_) {
    state.limit_.OnQueued(aNow);
  }
  const bool restarted = aReport.incarnation_ > upstream.view_.incarnation_;
  const bool leaves = aReport.leaving_ && !upstream.view_.leaving_;
  if (upstream.models_ != aReport.models_ || restarted || leaves) {
    Edit(aId, [&](RoutedUpstream& aNext) {
      aNext.models_ = aReport.models_;
      aNext.view_.incarnation_ =
        std::max(aNext.view_.incarnation_, aReport.incarnation_);
      if (leaves) {
        leaving_.Mark(aNext.view_);
      }
      aNext.view_.leaving_ = leaving_.Marked(aNext.view_);
    });
  }
  const bool due = leaves || aNow - publishedAt_ >= kPublishPeriod;
  if (changed_ && due) {
    Publish(aNow);
  }
}

void
Router::Refresh(TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  if (changed_) {
    Publish(aNow);
  }
}

void
Router::MarkLeaving(const UpstreamId& aId, TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  Edit(aId, [this](RoutedUpstream& aNext) {
    leaving_.Mark(aNext.view_);
    aNext.view_.leaving_ = true;
  });
  Publish(aNow);
}

void
Router::OnCacheEvent(const UpstreamId& aId,
                     std::uint64_t aPrefix,
                     bool aCached,
                     TimePoint aNow)
{
  const RcuReadGuard guard;
  const RoutedUpstream* upstream = snapshot_.Read(guard).Find(aId);
  if (upstream == nullptr) {
    return;
  }
  if (aCached) {
    hints_.Add(aPrefix, upstream->slot_, aNow);
  } else {
    hints_.Remove(aPrefix, upstream->slot_);
  }
}

void
Router::OnSent(const UpstreamId& aId,
               const RequestSpec& aRequest,
               TimePoint aNow)
{
  const RcuReadGuard guard;
  const RoutedUpstream* upstream = snapshot_.Read(guard).Find(aId);
  if (upstream == nullptr) {
    return;
  }
  upstream->state_->load_.OnSent(aNow);
  if (aRequest.prefixHash_ != 0) {
    hints_.Add(aRequest.prefixHash_, upstream->slot_, aNow);
  }
}

void
Router::OnDone(const UpstreamId& aId,
               const RequestSpec& aRequest,
               const AttemptResult& aResult,
               TimePoint aNow)
{
  const RcuReadGuard guard;
  const RoutedUpstream* upstream = snapshot_.Read(guard).Find(aId);
  if (upstream == nullptr) {
    return;
  }
  UpstreamState& state = *upstream->state_;
  state.load_.OnDone(aNow);
  if (aResult.cancelled_) {
    return;
  }
  const double unitTime =
    MicrosPerUnit(*upstream, aRequest, aResult, tuning_, aNow);
  TypicalUnitTime& typical = upstream->service_->typicalUnitTime_;
  if (aResult.timedOut_) {
    static_cast<void>(state.health_.OnTimeout(unitTime, typical, aNow));
  } else if (aResult.end_ == AttemptEnd::Complete) {
    static_cast<void>(state.health_.OnComplete(unitTime, typical, aNow));
  } else {
    static_cast<void>(state.health_.OnFailure(aNow));
  }
  AdjustLimit(state.limit_, aRequest, aResult, state.load_.InFlight(), aNow);
}

std::vector<UpstreamView>
Router::Upstreams() const
{
  const std::lock_guard lock(mutex_);
  std::vector<UpstreamView> views;
  for (const auto& [id, upstream] : upstreams_) {
    views.push_back(upstream->view_);
  }
  return views;
}

} // namespace marjoramtally
