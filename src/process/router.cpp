#include "marjoramtally/process/router.hpp"

#include <algorithm>

namespace marjoramtally {

Router::Router(ZoneId aZone, std::uint64_t aSeed) noexcept
  : zone_(std::move(aZone))
  , random_(aSeed)
{
}

void
Router::SetUpstreams(const std::vector<UpstreamView>& aUpstreams)
{
  std::map<UpstreamId, UpstreamView> next;
  for (UpstreamView view : aUpstreams) {
    const auto known = upstreams_.find(view.id_);
    if (known != upstreams_.end()) {
      view.report_ = known->second.report_;
      view.inFlight_ = known->second.inFlight_;
    }
    next.emplace(view.id_, std::move(view));
  }
  upstreams_ = std::move(next);
}

void
Router::OnReport(const UpstreamId& aId, UpstreamReport aReport)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end()) {
    it->second.report_ = std::move(aReport);
  }
}

bool
Router::Eligible(const UpstreamView& aUpstream,
                 const RequestSpec& aRequest) noexcept
{
  if (aUpstream.service_ != aRequest.service_ || aUpstream.leaving_ ||
      aUpstream.inFlight_ >= aUpstream.limit_) {
    return false;
  }
  if (aRequest.model_.empty()) {
    return true;
  }
  const auto model = aUpstream.report_.models_.find(aRequest.model_);
  return model != aUpstream.report_.models_.end() &&
         model->second >= aRequest.minVersion_;
}

std::optional<UpstreamView>
Router::Pick(const RequestSpec& aRequest, const std::vector<UpstreamId>& aTried)
{
  /// Orders candidates: not yet tried, near, least in flight, at random.
  struct Rank
  {
    bool tried_;
    bool far_;
    std::uint64_t inFlight_;
    std::uint64_t tieBreak_;
    auto operator<=>(const Rank&) const = default;
  };
  std::optional<Rank> bestRank;
  const UpstreamView* best = nullptr;
  for (const auto& [id, upstream] : upstreams_) {
    if (!Eligible(upstream, aRequest)) {
      continue;
    }
    const bool tried =
      std::find(aTried.begin(), aTried.end(), id) != aTried.end();
    const Rank rank{
      tried, upstream.zone_ != zone_, upstream.inFlight_, random_.Next()
    };
    if (!bestRank || rank < *bestRank) {
      bestRank = rank;
      best = &upstream;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

void
Router::OnSent(const UpstreamId& aId)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end()) {
    ++it->second.inFlight_;
  }
}

void
Router::OnDone(const UpstreamId& aId)
{
  const auto it = upstreams_.find(aId);
  if (it != upstreams_.end() && it->second.inFlight_ > 0) {
    --it->second.inFlight_;
  }
}

std::vector<UpstreamView>
Router::Upstreams() const
{
  std::vector<UpstreamView> views;
  for (const auto& [id, upstream] : upstreams_) {
    views.push_back(upstream);
  }
  return views;
}

} // namespace marjoramtally
