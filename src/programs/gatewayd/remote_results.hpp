/// Results of jobs that other processes own, read from the store when
/// somebody asks for them here.
#pragma once

#include "programs/gatewayd/job_store.hpp"

namespace marjoramtally {

/// What was read of such jobs; each reading asks only for what is new. Used
/// on one loop.
class RemoteResults
{
public:
  explicit RemoteResults(GatewayContext& aHost);

  /// Reads what was written since the last reading, from the job's owner or,
  /// if it does not answer, from the store. A watch would miss what is written
  /// while the store keeps silent, and a position that was read elsewhere has
  /// to be here at once.
  /// @param aOwner where the owner is called; empty: not known
  /// @param aWait how long the owner may wait for what is new
  void Refresh(const JobId& aJob,
               const std::string& aOwner,
               Duration aWait,
               std::function<void(bool aRead)> aDone);
  [[nodiscard]] const std::vector<JobResult>& ResultsOf(
    const JobId& aJob) const;

private:
  struct CachedJob
  {
    std::vector<JobResult> results_;
    TimePoint lastRequested_;
  };

  void QueryStore(const JobId& aJob, std::function<void(bool aRead)> aDone);
  void QueryOwner(const JobId& aJob,
                  const std::string& aOwner,
                  Duration aWait,
                  std::function<void(bool aRead)> aDone);
  /// Appends results that stand from a position on.
  static void Append(CachedJob& aCached,
                     std::uint64_t aPosition,
                     std::vector<JobResult> aResults);
  /// @returns whether all records were read, none missing before another
  static bool AppendRecords(const JobId& aJob,
                            CachedJob& aCached,
                            std::vector<StoreRecord> aRecords);
  void EvictIdle();

  GatewayContext& host_;
  std::map<JobId, CachedJob> cache_;
  LoopTimerId evictTimer_ = 0;
};

} // namespace marjoramtally
