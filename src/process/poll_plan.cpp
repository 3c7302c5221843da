#include "marjoramtally/process/poll_plan.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Polls of one upstream vary by this share of the period.
constexpr double kJitter = 0.2;

/// An upstream with its rank among those of its service and nearness.
using Ranked = std::pair<std::uint64_t, const UpstreamView*>;

/// Stable under changes of the fleet: an upstream's rank depends on its name
/// and ours only.
std::uint64_t
Rank(const std::string& aSelf, const UpstreamId& aUpstream)
{
  const std::uint64_t seed =
    std::hash<std::string>{}(aSelf + "/" + aUpstream.Get());
  return Random(seed).Next();
}

void
TakeFirst(std::vector<Ranked>& aFrom,
          std::size_t aMost,
          std::vector<UpstreamView>& aTo)
{
  std::sort(aFrom.begin(), aFrom.end());
  for (std::size_t i = 0; i < std::min(aMost, aFrom.size()); ++i) {
    aTo.push_back(*aFrom[i].second);
  }
}

} // namespace

PollPlan::PollPlan(ZoneId aZone, std::string aSelf, PollSettings aSettings)
  : zone_(std::move(aZone))
  , self_(std::move(aSelf))
  , settings_(aSettings)
  , random_(std::hash<std::string>{}(self_))
{
}

std::vector<UpstreamView>
PollPlan::Subset(const std::vector<UpstreamView>& aUpstreams) const
{
  struct Sides
  {
    std::vector<Ranked> near_;
    std::vector<Ranked> far_;
  };
  std::map<ServiceId, Sides> services;
  for (const UpstreamView& upstream : aUpstreams) {
    Sides& sides = services[upstream.service_];
    auto& side = upstream.zone_ == zone_ ? sides.near_ : sides.far_;
    side.emplace_back(Rank(self_, upstream.id_), &upstream);
  }
  std::vector<UpstreamView> subset;
  for (auto& [service, sides] : services) {
    const std::size_t far =
      std::min(sides.far_.size(),
               std::max(settings_.farInSubset_,
                        settings_.subset_ -
                          std::min(settings_.subset_, sides.near_.size())));
    TakeFirst(sides.near_, settings_.subset_ - far, subset);
    TakeFirst(sides.far_, far, subset);
  }
  return subset;
}

void
PollPlan::SetUpstreams(const std::vector<UpstreamView>& aUpstreams,
                       TimePoint aNow)
{
  std::map<UpstreamId, Poll> next;
  for (UpstreamView& upstream : Subset(aUpstreams)) {
    const auto known = polls_.find(upstream.id_);
    const TimePoint at = known == polls_.end() ? aNow : known->second.next_;
    const UpstreamId id = upstream.id_;
    next.emplace(id, Poll{ std::move(upstream), at });
  }
  polls_ = std::move(next);
}

Duration
PollPlan::Period() const noexcept
{
  const double spread =
    static_cast<double>(polls_.size()) / settings_.mostPerSecond_;
  return std::max(
    settings_.shortestPeriod_,
    Duration(static_cast<Duration::rep>(spread * kMicrosPerSecond)));
}

std::vector<UpstreamView>
PollPlan::Due(TimePoint aNow)
{
  std::vector<UpstreamView> due;
  const auto period = static_cast<double>(Period().count());
  for (auto& [id, poll] : polls_) {
    if (poll.next_ > aNow) {
      continue;
    }
    const double jitter = 1 + kJitter * (random_.Unit() - 0.5);
    poll.next_ = aNow + Duration(static_cast<Duration::rep>(period * jitter));
    due.push_back(poll.upstream_);
  }
  return due;
}

} // namespace marjoramtally
