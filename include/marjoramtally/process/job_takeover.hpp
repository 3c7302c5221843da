/// Which process takes over a job whose owner is gone.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/version/job.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramtally {

/// Names one run of the process of an instance.
[[nodiscard]] std::string
MakeIncarnationName(const InstanceId& aInstance, std::string_view aRun);

/// @returns the instance that an incarnation runs on
[[nodiscard]] InstanceId
InstanceOf(std::string_view aIncarnation);

/// Times that govern takeovers.
struct TakeoverPolicy
{
  /// A sign of life that vanished may come back this long: all vanish at once
  /// when leases lapse while the store is away, and their processes live.
  Duration returnGrace_ = std::chrono::milliseconds(1200);
  /// Where most other signs of life stay, the store was not away, and those
  /// that vanished within this time of each other are gone: a zone that was
  /// cut off, or processes that died. Their jobs are taken over at once.
  Duration correlationWindow_ = std::chrono::milliseconds(1500);
  Duration lossGrace_{ 0 };
  /// Each further candidate waits this much longer than the one before.
  Duration rankStep_ = std::chrono::milliseconds(700);
};

/// The processes that may own jobs, by their signs of life, and the jobs.
class JobTakeover
{
public:
  /// @param aSelf this process's incarnation
  explicit JobTakeover(std::string aSelf, TakeoverPolicy aPolicy = {});

  void OnAlive(const std::string& aIncarnation, TimePoint aNow);
  void OnGone(const std::string& aIncarnation, TimePoint aNow);
  /// @param aOwner empty: given back
  void OnOwner(const JobId& aJob, std::string aOwner, TimePoint aNow);
  void OnEnded(const JobId& aJob);

  /// @returns jobs that this process should claim now
  [[nodiscard]] std::vector<JobId> Due(TimePoint aNow) const;
  /// @returns whether of all processes this one is to look after a job that
  /// needs no owner any more
  [[nodiscard]] bool RanksFirst(const JobId& aJob) const
  {
    return Rank(aJob) == 0;
  }
  /// @returns when `Due` next has to be asked; `kNever` if all have an owner
  [[nodiscard]] TimePoint NextDue() const;

private:
  struct Ownership
  {
    std::string owner_;
    TimePoint since_;
  };

  /// @returns when this process should claim the job; `kNever` if its owner
  /// lives
  [[nodiscard]] TimePoint ClaimAt(const JobId& aJob,
                                  const Ownership& aOwnership) const;
  [[nodiscard]] std::size_t Rank(const JobId& aJob) const;
  /// @returns how long a sign of life that vanished then may come back
  [[nodiscard]] Duration GraceOf(TimePoint aGone) const;

  std::string self_;
  TakeoverPolicy policy_;
  std::set<std::string> alive_;
  /// When signs of life vanished.
  std::map<std::string, TimePoint> gone_;
  std::map<JobId, Ownership> jobs_;
};

} // namespace marjoramtally
