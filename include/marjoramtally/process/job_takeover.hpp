/// Decides which process takes over a job whose owner is gone, and when.
#pragma once

#include "marjoramtally/base/capacity.hpp"
#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/version/job.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramtally {

/// @returns the name of one run of an instance's process
[[nodiscard]] std::string
MakeIncarnationName(const InstanceId& aInstance, std::string_view aRun);

/// @returns the instance that an incarnation runs on
[[nodiscard]] InstanceId
InstanceOf(std::string_view aIncarnation);

/// Delays and time windows of takeovers.
struct TakeoverPolicy
{
  /// How long a liveness record that vanished may reappear: all vanish together
  /// when leases expire while the store is unavailable, although their
  /// processes are alive.
  Duration returnGrace_ = std::chrono::milliseconds(1200);
  /// Liveness records that vanish within this time of each other count
  /// together. If more records remain, the store was available and the
  /// processes are gone: they died, or their zone was cut off.
  /// `lossGrace_` then applies instead of `returnGrace_`.
  Duration correlationWindow_ = std::chrono::milliseconds(1500);
  /// Zero: jobs of processes that are gone are taken over at once.
  Duration lossGrace_{ 0 };
  /// Additional delay of each further candidate.
  Duration rankStep_ = std::chrono::milliseconds(700);
};

/// The jobs, and the processes that may own them by their liveness records.
class JobTakeover
{
public:
  /// @param aSelf this process's incarnation
  explicit JobTakeover(std::string aSelf, TakeoverPolicy aPolicy = {});

  void OnAlive(const std::string& aIncarnation, Capacity aCapacity);
  void OnGone(const std::string& aIncarnation, TimePoint aNow);
  /// @param aOwner empty: the job was returned by its owner
  void OnOwner(const JobId& aJob, std::string aOwner, TimePoint aNow);
  void OnEnded(const JobId& aJob);

  /// @returns jobs that this process should claim now
  [[nodiscard]] std::vector<JobId> Due(TimePoint aNow) const;
  /// @returns whether this process ranks first for a job, and so looks after it
  /// when it no longer needs an owner
  [[nodiscard]] bool RanksFirst(const JobId& aJob) const
  {
    return Rank(aJob) == 0;
  }
  /// @returns when to call `Due` next; `kNever` if all jobs have an owner
  [[nodiscard]] TimePoint NextDue() const;
  /// @returns how many processes all computations so far have inspected
  [[nodiscard]] std::uint64_t InspectedCount() const noexcept
  {
    return inspected_;
  }

private:
  struct Ownership
  {
    std::string owner_;
    TimePoint since_;
    /// Kept up to date once it was computed, as each change of a process would
    /// otherwise rank all jobs without an owner against the whole fleet.
    mutable std::optional<std::size_t> rank_;
  };

  /// @returns when this process should claim the job; `kNever` if its owner is
  /// alive
  [[nodiscard]] TimePoint ClaimAt(const JobId& aJob,
                                  const Ownership& aOwnership) const;
  /// @returns how many processes claim the job before this one: those with more
  /// capacity, and those with the same and a higher hash
  [[nodiscard]] std::size_t Rank(const JobId& aJob) const;
  [[nodiscard]] std::size_t RankOf(const JobId& aJob,
                                   const Ownership& aOwnership) const;
  [[nodiscard]] bool ClaimsFirst(const std::string& aOther,
                                 Capacity aCapacity,
                                 const JobId& aJob) const;
  /// Adds to the known ranks the effect of a process that came or is gone.
  void ChangeRanks(const std::string& aOther, Capacity aCapacity, bool aAlive);
  /// @returns how long a liveness record that vanished then may reappear
  [[nodiscard]] Duration GraceOf(TimePoint aGone) const;

  std::string self_;
  TakeoverPolicy policy_;
  std::map<std::string, Capacity> alive_;
  /// When liveness records vanished, by incarnation.
  std::map<std::string, TimePoint> gone_;
  /// The same times in their order.
  std::vector<TimePoint> goneTimes_;
  std::map<JobId, Ownership> jobs_;
  mutable std::uint64_t inspected_ = 0;
};

} // namespace marjoramtally
