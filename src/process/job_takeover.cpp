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
JobTakeover::OnAlive(const std::string& aIncarnation, TimePoint /*aNow*/)
{
  alive_.insert(aIncarnation);
  gone_.erase(aIncarnation);
}

void
JobTakeover::OnGone(const std::string& aIncarnation, TimePoint aNow)
{
  if (alive_.erase(aIncarnation) != 0) {
    gone_[aIncarnation] = aNow;
  }
}

void
JobTakeover::OnOwner(const JobId& aJob, std::string aOwner, TimePoint aNow)
{
  jobs_[aJob] = Ownership{ std::move(aOwner), aNow };
}

void
JobTakeover::OnEnded(const JobId& aJob)
{
  jobs_.erase(aJob);
}

std::size_t
JobTakeover::Rank(const JobId& aJob) const
{
  const std::hash<std::string> hash;
  const std::size_t own = hash(self_ + aJob.Get());
  return static_cast<std::size_t>(
    std::count_if(alive_.begin(), alive_.end(), [&](const std::string& aOther) {
      return aOther != self_ && hash(aOther + aJob.Get()) > own;
    }));
}

Duration
JobTakeover::GraceOf(TimePoint aGone) const
{
  const auto vanished = static_cast<std::size_t>(
    std::count_if(gone_.begin(), gone_.end(), [&](const auto& aEntry) {
      return aEntry.second <= aGone + policy_.correlationWindow_ &&
             aGone <= aEntry.second + policy_.correlationWindow_;
    }));
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
    policy_.rankStep_ * static_cast<std::int64_t>(Rank(aJob));
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
