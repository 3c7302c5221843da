/// Results of jobs that other processes own, read on request.
#pragma once

#include "programs/gatewayd/job_store.hpp"

namespace marjoramtally {

/// Caches the results read so far; each read requests only newer ones. Used on
/// one loop.
class RemoteResults
{
public:
  explicit RemoteResults(GatewayContext& aHost);

  /// Reads the results since the last read from the job's owner or, if it does
  /// not answer, from the store. A watch would miss what is written while the
  /// store is unresponsive, and a result that was read at another process has
  /// to be visible here at once.
  /// @param aOwner the owner's address; empty if unknown
  /// @param aWait how long the owner may wait for new results
  /// @param aDone called with whether the read succeeded
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
  /// Appends the results, which begin at the position, without duplicates.
  static void Append(CachedJob& aCached,
                     std::uint64_t aPosition,
                     std::vector<JobResult> aResults);
  /// @returns whether all records could be read and there was no gap between
  /// them
  static bool AppendRecords(const JobId& aJob,
                            CachedJob& aCached,
                            std::vector<StoreRecord> aRecords);
  void EvictIdle();

  GatewayContext& host_;
  std::map<JobId, CachedJob> cache_;
  LoopTimerId evictTimer_ = 0;
};

} // namespace marjoramtally
