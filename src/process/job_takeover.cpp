#include "marjoramtally/process/job_takeover.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Separates the instance's name from the number of the run.
constexpr char kRunSeparator = '~';

} // namespace

std::string
MakeIncarnationName(const InstanceId& aInstance, std::string_view aRun)
{
  return aInstance.Get() + kRunSeparator + std::string(aRun);
}

InstanceId
InstanceOf(std::string_view aIncarnation)
{
  return InstanceId{ std::string(
    aIncarnation.substr(0, aIncarnation.rfind(kRunSeparator))) };
}

JobTakeover::JobTakeover(std::string aSelf, TakeoverPolicy aPolicy)
  : self_(std::move(aSelf))
  , policy_(aPolicy)
{
}

void
JobTakeover::OnAlive(const std::string& aIncarnation, Capacity aCapacity)
{
  const auto gone = gone_.find(aIncarnation);
  if (gone != gone_.end()) {
    goneTimes_.erase(
      std::lower_bound(goneTimes_.begin(), goneTimes_.end(), gone->second));
    gone_.erase(gone);
  }
  const auto known = alive_.find(aIncarnation);
  if (known != alive_.end() && known->second == aCapacity) {
    return;
  }
  if (known != alive_.end()) {
    ChangeRanks(aIncarnation, known->second, false);
  }
  alive_[aIncarnation] = aCapacity;
  ChangeRanks(aIncarnation, aCapacity, true);
}

void
JobTakeover::OnGone(const std::string& aIncarnation, TimePoint aNow)
{
  const auto known = alive_.find(aIncarnation);
  if (known == alive_.end()) {
    return;
  }
  const Capacity capacity = known->second;
  alive_.erase(known);
  ChangeRanks(aIncarnation, capacity, false);
  gone_[aIncarnation] = aNow;
  goneTimes_.insert(
    std::upper_bound(goneTimes_.begin(), goneTimes_.end(), aNow), aNow);
}

bool
JobTakeover::ClaimsFirst(const std::string& aOther,
                         Capacity aCapacity,
                         const JobId& aJob) const
{
  ++inspected_;
  const std::hash<std::string> hash;
  const auto self = alive_.find(self_);
  const std::pair own(self == alive_.end() ? Capacity{} : self->second,
                      hash(self_ + aJob.Get()));
  return aOther != self_ &&
         std::pair(aCapacity, hash(aOther + aJob.Get())) > own;
}

void
JobTakeover::ChangeRanks(const std::string& aOther,
                         Capacity aCapacity,
                         bool aAlive)
{
  for (const auto& [job, ownership] : jobs_) {
    if (!ownership.rank_) {
      continue;
    }
    if (aOther == self_) {
      ownership.rank_.reset();
    } else if (ClaimsFirst(aOther, aCapacity, job)) {
      ownership.rank_ = aAlive ? *ownership.rank_ + 1 : *ownership.rank_ - 1;
    }
  }
}

void
JobTakeover::OnOwner(const JobId& aJob, std::string aOwner, TimePoint aNow)
{
  jobs_[aJob] = Ownership{ std::move(aOwner), aNow, std::nullopt };
}

void
JobTakeover::OnEnded(const JobId& aJob)
{
  jobs_.erase(aJob);
}

std::size_t
JobTakeover::Rank(const JobId& aJob) const
{
  return static_cast<std::size_t>(
    std::count_if(alive_.begin(), alive_.end(), [&](const auto& aOther) {
      return ClaimsFirst(aOther.first, aOther.second, aJob);
    }));
}

std::size_t
JobTakeover::RankOf(const JobId& aJob, const Ownership& aOwnership) const
{
  if (!aOwnership.rank_) {
    aOwnership.rank_ = Rank(aJob);
  }
  return *aOwnership.rank_;
}

Duration
JobTakeover::GraceOf(TimePoint aGone) const
{
  const auto first = std::lower_bound(
    goneTimes_.begin(), goneTimes_.end(), aGone - policy_.correlationWindow_);
  const auto last = std::upper_bound(
    first, goneTimes_.end(), aGone + policy_.correlationWindow_);
  const auto vanished = static_cast<std::size_t>(last - first);
  return vanished < alive_.size() ? policy_.lossGrace_ : policy_.returnGrace_;
}

TimePoint
JobTakeover::ClaimAt(const JobId& aJob, const Ownership& aOwnership) const
{
  if (aOwnership.owner_ == self_) {
    return kNever;
  }
  if (InstanceOf(aOwnership.owner_) == InstanceOf(self_)) {
    // The owner is an earlier run of this instance. It has ended, even if its
    // lease has not expired.
    return aOwnership.since_;
  }
  if (alive_.contains(aOwnership.owner_)) {
    return kNever;
  }
  const Duration rankDelay =
    policy_.rankStep_ * static_cast<std::int64_t>(RankOf(aJob, aOwnership));
  if (aOwnership.owner_.empty()) {
    return aOwnership.since_ + rankDelay;
  }
  const auto gone = gone_.find(aOwnership.owner_);
  const TimePoint since = gone == gone_.end()
                            ? aOwnership.since_
                            : std::max(gone->second, aOwnership.since_);
  const Duration grace =
    gone == gone_.end() ? policy_.returnGrace_ : GraceOf(gone->second);
  return since + grace + rankDelay;
}

std::vector<JobId>
JobTakeover::Due(TimePoint aNow) const
{
  std::vector<JobId> due;
  for (const auto& [job, ownership] : jobs_) {
    if (ClaimAt(job, ownership) <= aNow) {
      due.push_back(job);
    }
  }
  return due;
}

TimePoint
JobTakeover::NextDue() const
{
  TimePoint next = kNever;
  for (const auto& [job, ownership] : jobs_) {
    next = std::min(next, ClaimAt(job, ownership));
  }
  return next;
}

} // namespace marjoramtally
