#include "marjoramtally/process/poll_plan.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Width of the random variation of a poll interval, as a fraction of it.
constexpr double kJitter = 0.2;

/// An upstream with its rank; lower ranks are chosen first.
using Ranked = std::pair<std::uint64_t, const UpstreamView*>;

/// Depends only on the upstream's name and this process's, so that the subset
/// is stable when the fleet changes.
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
  struct Candidates
  {
    std::vector<Ranked> local_;
    std::vector<Ranked> remote_;
  };
  std::map<ServiceId, Candidates> services;
  for (const UpstreamView& upstream : aUpstreams) {
    Candidates& candidates = services[upstream.service_];
    auto& candidateList =
      upstream.zone_ == zone_ ? candidates.local_ : candidates.remote_;
    candidateList.emplace_back(Rank(self_, upstream.id_), &upstream);
  }
  std::vector<UpstreamView> subset;
  for (auto& [service, candidates] : services) {
    const std::size_t remoteCount = std::min(
      candidates.remote_.size(),
      std::max(settings_.remoteInSubset_,
               settings_.subsetSize_ -
                 std::min(settings_.subsetSize_, candidates.local_.size())));
    TakeFirst(candidates.local_, settings_.subsetSize_ - remoteCount, subset);
    TakeFirst(candidates.remote_, remoteCount, subset);
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
    static_cast<double>(polls_.size()) / settings_.maxPollsPerSecond_;
  return std::max(
    settings_.minPeriod_,
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
