/// Follows all jobs of the fleet, their owners and their ends in the store,
/// and takes over jobs whose owner has died.
#pragma once

#include "daemon/prefix_follower.hpp"
#include "daemon/relay_seeds.hpp"
#include "marjoramtally/process/job_takeover.hpp"
#include "marjoramtally/process/owner_plan.hpp"
#include "programs/gatewayd/job_store.hpp"

namespace marjoramtally {

/// One job as listed in the directory.
struct KnownJob
{
  JobOwnerRecord record_;
  FencingNumber fence_;
  bool ended_ = false;
};

/// Follows the job records in the store. Used on one loop.
class JobDirectory
{
public:
  /// Both arguments outlive this.
  JobDirectory(GatewayContext& aHost, JobStore& aJobs);

  /// Set before `Start`. Called when a job's owner has changed.
  std::function<void(const JobId&, const KnownJob&)> onOwner_;
  std::function<void(const JobId&)> onEnd_;
  /// Called once, when the relays that served before are known.
  std::function<void()> onSeeded_;
  /// Called once, after the first complete read.
  std::function<void()> onRead_;

  /// @param aWatchAfter delay before the watch of the store starts
  void Start(Duration aWatchAfter = Duration{ 0 });
  /// Stops claiming jobs, because the process is about to end.
  void StopClaiming() { claiming_ = false; }
  /// @returns the address of a process; empty if it has no liveness record
  [[nodiscard]] std::string AddressOf(const std::string& aIncarnation) const;
  /// @returns the address of the process that owns a trainer's new jobs; empty
  /// if it is this process
  [[nodiscard]] std::string OwnerFor(const std::string& aTrainer) const
  {
    return owners_.OwnerOf(aTrainer);
  }
  /// Sets all trainers of the configuration, which share the capacity of the
  /// processes.
  void SetTrainers(std::set<std::string> aTrainers)
  {
    owners_.SetTrainers(std::move(aTrainers));
  }
  [[nodiscard]] const KnownJob* Find(const JobId& aJob) const;
  /// @returns whether neither the job's end nor an owner with a higher fencing
  /// number is known
  [[nodiscard]] bool IsCurrent(const JobId& aJob, FencingNumber aFence) const;
  [[nodiscard]] const std::map<JobId, KnownJob>& Jobs() const noexcept
  {
    return jobs_;
  }

private:
  void ApplySnapshot(const StoreRange& aRange);
  /// Removes jobs that are missing from a complete read at that revision.
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
  /// Removes ended jobs whose results no longer need to be kept.
  void RemoveExpired();

  GatewayContext& host_;
  JobStore& store_;
  PrefixFollower follower_;
  JobTakeover takeover_;
  OwnerPlan owners_;
  RelaySeeds seeds_;
  std::map<JobId, KnownJob> jobs_;
  /// Keys of liveness records, to detect those that are missing from a
  /// complete read.
  std::set<std::string> livenessKeys_;
  /// Ended jobs; an end may be read before the job's owner record.
  std::set<JobId> endedJobs_;
  std::map<std::string, std::string> addresses_;
  bool claiming_ = true;
  /// Claims in progress; each is a call to the store.
  std::set<JobId> claims_;
  LoopTimerId claimTimer_ = 0;
};

} // namespace marjoramtally
