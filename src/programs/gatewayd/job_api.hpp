/// Jobs over HTTP: submission, reading, bodies, end.
#pragma once

#include "programs/gatewayd/job_intake.hpp"
#include "programs/gatewayd/remote_results.hpp"

namespace marjoramtally {

/// Answers calls about jobs. Used on one loop.
class JobApi
{
public:
  /// All arguments outlive this.
  JobApi(GatewayContext& aHost,
         JobStore& aStore,
         JobDirectory& aDirectory,
         JobRunner& aRunner);

  /// @param aRevision the configuration whose routes took the request
  /// @param aCustomer whose job it is; empty: requests need no keys
  void Submit(HttpRequest aRequest,
              ConfigRevision aRevision,
              HttpReplyPtr aReply,
              const CustomerId& aCustomer = {})
  {
    intake_.Submit(
      std::move(aRequest), aRevision, std::move(aReply), aCustomer);
  }
  /// To a customer, a job of another is none that there is.
  void Query(const JobQuery& aQuery,
             const HttpRequest& aRequest,
             HttpReplyPtr aReply);
  /// No more jobs are taken in; those in progress go on, as most end in time,
  /// and the rest is given back before the forced end.
  /// @param aGrace from now to the forced end
  void Stop(Duration aGrace);
  /// To be asked after `Stop`.
  /// @returns whether no job is left here
  [[nodiscard]] bool Idle();

private:
  /// A read of a job of ours that waits for a result.
  struct Waiter
  {
    std::uint64_t id_ = 0;
    std::uint64_t after_ = 0;
    std::function<void()> answer_;
    LoopTimerId timer_ = 0;
  };

  void OnOwnerChanged(const JobId& aJob, const KnownJob& aKnown);
  /// Makes nobody the owner of a job that this process does not start.
  void ReleaseOwnership(const JobId& aJob, const KnownJob& aKnown);
  void LoadOwned(const JobId& aJob, FencingNumber aFence);
  /// @returns where a job's owner is called; empty if that is not known
  [[nodiscard]] std::string OwnerAddress(const JobId& aJob) const;
  /// Answers another process about a job of ours.
  void ServeResults(const RpcCall& aCall, const RpcDone& aDone);
  void Read(const JobQuery& aQuery, Duration aWait, HttpReplyPtr aReply);
  /// Reads from the ledger of a job of ours.
  void ReadOwned(const JobId& aJob,
                 std::uint64_t aAfter,
                 Duration aWait,
                 HttpReplyPtr aReply);
  /// Reads from the store; if there is nothing, once more after the wait.
  void ReadRemote(const JobId& aJob,
                  std::uint64_t aAfter,
                  Duration aWait,
                  HttpReplyPtr aReply);
  void SendPage(const JobId& aJob,
                std::uint64_t aAfter,
                const HttpReplyPtr& aReply);
  /// @returns the number of a job's items; nothing if that is not known
  [[nodiscard]] std::optional<std::uint64_t> TotalOf(const JobId& aJob) const;
  void RecordTotal(const JobId& aJob, const StoreRecord& aOwner);
  /// Answers once the job of ours has a result at the position, or after the
  /// wait.
  void WaitFor(const JobId& aJob,
               std::uint64_t aAfter,
               Duration aWait,
               std::function<void()> aAnswer);
  void OnWaitTimeout(const JobId& aJob, std::uint64_t aWaiter);
  void SendResultsToPeer(const JobId& aJob,
                         std::uint64_t aAfter,
                         const RpcDone& aDone) const;
  void NotifyWaiters(const JobId& aJob);
  /// @returns the items of a stored submission; an error, which is logged, if
  /// it cannot be read or is not whole
  [[nodiscard]] Result<JobSpec> ReadSpec(
    const JobId& aJob,
    const JobSubmissionRecord& aStored) const;
  void ReadBody(const JobQuery& aQuery, HttpReplyPtr aReply);
  void BodyFromOwner(const JobQuery& aQuery,
                     const std::string& aOwner,
                     const HttpReplyPtr& aReply);
  void BodyFromStore(const JobQuery& aQuery, const HttpReplyPtr& aReply);
  /// Tells another process a body of a job of ours.
  void ServeBody(const RpcCall& aCall, const RpcDone& aDone);
  void End(const JobQuery& aQuery, HttpReplyPtr aReply);
  /// Looks a job up that the directory does not know; calls `aKnown` if it
  /// exists and its customer asks, else answers.
  void IfExists(const JobQuery& aQuery,
                HttpReplyPtr aReply,
                std::function<void()> aKnown);

  GatewayContext& host_;
  JobStore& store_;
  JobDirectory& directory_;
  JobRunner& runner_;
  JobIntake intake_;
  RemoteResults remote_;
  std::map<JobId, std::vector<Waiter>> waiters_;
  std::uint64_t lastWaiter_ = 0;
  std::set<JobId> loading_;
  /// Totals of jobs that the directory does not list yet.
  std::map<JobId, std::uint64_t> totals_;
};

} // namespace marjoramtally
