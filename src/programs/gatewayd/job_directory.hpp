/// All jobs of the fleet, their owners and ends, followed in the store, and
/// the takeover of jobs whose owner is gone.
#pragma once

#include "daemon/prefix_follower.hpp"
#include "marjoramtally/process/job_takeover.hpp"
#include "marjoramtally/process/owner_plan.hpp"
#include "programs/gatewayd/job_store.hpp"

namespace marjoramtally {

/// One job as the directory knows it.
struct KnownJob
{
  JobOwnerRecord record_;
  FencingNumber fence_;
  bool ended_ = false;
};

/// Follows the jobs. Used on one loop.
class JobDirectory
{
public:
  /// Both outlive this.
  JobDirectory(GatewayContext& aHost, JobStore& aJobs);

  /// Set before `Start`. A job's owner changed.
  std::function<void(const JobId&, const KnownJob&)> onOwner_;
  std::function<void(const JobId&)> onEnd_;

  /// @param aWatchAfter when changes are followed, from now on
  void Start(Duration aWatchAfter = Duration{ 0 });
  /// Claims nothing more: the process is about to end.
  void StopClaiming() { claiming_ = false; }
  /// @returns where a process is called; empty if it gave no sign of life
  [[nodiscard]] std::string AddressOf(const std::string& aIncarnation) const;
  /// @returns where the process is called that is to own the jobs of a
  /// trainer; empty: this one
  [[nodiscard]] std::string OwnerFor(std::string_view aTrainer) const
  {
    return owners_.OwnerOf(aTrainer);
  }
  [[nodiscard]] const KnownJob* Find(const JobId& aJob) const;
  /// @returns whether neither a job's end nor a later owner is known than the
  /// one of that number
  [[nodiscard]] bool IsCurrent(const JobId& aJob, FencingNumber aFence) const;
  [[nodiscard]] const std::map<JobId, KnownJob>& Jobs() const noexcept
  {
    return jobs_;
  }

private:
  void ApplySnapshot(const StoreRange& aRange);
  /// Forgets jobs that a whole reading of that revision lacks.
  void RemoveMissing(const std::set<std::string>& aSeen,
                     std::uint64_t aRevision);
  void ApplyChange(const StoreEvent& aEvent);
  void ApplyRecord(const StoreRecord& aRecord);
  void ApplyLiveness(const std::string& aIncarnation,
                     const StoreRecord& aRecord);
  void ApplyRemoval(const std::string& aKey);
  void ApplyOwner(const JobId& aJob, const StoreRecord& aRecord);
  void ApplyEnd(const JobId& aJob);
  void ClaimDue();
  void Claim(const JobId& aJob);
  /// Removes jobs whose results need not be kept any more.
  void RemoveExpired();

  GatewayContext& host_;
  JobStore& store_;
  PrefixFollower follower_;
  JobTakeover takeover_;
  OwnerPlan owners_;
  std::map<JobId, KnownJob> jobs_;
  /// Keys of signs of life, to see which are missing from a whole reading.
  std::set<std::string> livenessKeys_;
  std::set<JobId> endedJobs_;
  std::map<std::string, std::string> addresses_;
  bool claiming_ = true;
  /// Claims whose answer is awaited; each is a call to the store.
  std::set<JobId> claims_;
  LoopTimerId claimTimer_ = 0;
};

} // namespace marjoramtally
