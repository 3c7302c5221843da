/// HTTP interface for jobs: submission, reading of results and item bodies,
/// and ending.
#pragma once

#include "programs/gatewayd/job_intake.hpp"
#include "programs/gatewayd/remote_results.hpp"

namespace marjoramtally {

/// Answers HTTP requests about jobs and the requests of other gateways about
/// jobs owned here. Used on one loop.
class JobApi
{
public:
  /// All arguments outlive this.
  JobApi(GatewayContext& aHost,
         JobStore& aStore,
         JobDirectory& aDirectory,
         JobRunner& aRunner);

  /// @param aRevision the configuration whose routes matched the request
  /// @param aCustomer the customer that submits the job; empty if requests
  /// need no keys
  void Submit(HttpRequest aRequest,
              ConfigRevision aRevision,
              HttpReplyPtr aReply,
              const CustomerId& aCustomer = {})
  {
    intake_.Submit(
      std::move(aRequest), aRevision, std::move(aReply), aCustomer);
  }
  /// Answers 404 to a customer for a job that belongs to another customer.
  void Query(const JobQuery& aQuery,
             const HttpRequest& aRequest,
             HttpReplyPtr aReply);
  /// Stops accepting jobs. Jobs in progress continue, because most complete in
  /// time; the remaining ones are released before the forced end.
  /// @param aGrace from now to the forced end
  void Stop(Duration aGrace);
  /// Called after `Stop`; releases all jobs once none of them has work left.
  /// @returns whether this process owns no job
  [[nodiscard]] bool Idle();

private:
  /// A read request that waits for a result of a job owned by this process.
  struct Waiter
  {
    std::uint64_t id_ = 0;
    std::uint64_t after_ = 0;
    std::function<void()> answer_;
    LoopTimerId timer_ = 0;
  };

  void OnOwnerChanged(const JobId& aJob, const KnownJob& aKnown);
  /// Clears the owner of a job that this process does not start.
  void ReleaseOwnership(const JobId& aJob, const KnownJob& aKnown);
  void LoadOwned(const JobId& aJob, FencingNumber aFence);
  /// @returns the address of a job's owner; empty if unknown
  [[nodiscard]] std::string OwnerAddress(const JobId& aJob) const;
  /// Answers another process's request for results of a job owned here.
  void ServeResults(const RpcCall& aCall, const RpcDone& aDone);
  void Read(const JobQuery& aQuery, Duration aWait, HttpReplyPtr aReply);
  /// Answers from the ledger of a job owned here.
  void ReadOwned(const JobId& aJob,
                 std::uint64_t aAfter,
                 Duration aWait,
                 HttpReplyPtr aReply);
  /// Answers from the job's owner or the store; if there is no new result,
  /// reads once more after the wait.
  void ReadRemote(const JobId& aJob,
                  std::uint64_t aAfter,
                  Duration aWait,
                  HttpReplyPtr aReply);
  void SendPage(const JobId& aJob,
                std::uint64_t aAfter,
                const HttpReplyPtr& aReply);
  /// @returns the number of a job's items; nothing if it is unknown
  [[nodiscard]] std::optional<std::uint64_t> TotalOf(const JobId& aJob) const;
  void RecordTotal(const JobId& aJob, const StoreRecord& aOwner);
  /// Calls `aAnswer` once the job, which is owned here, has a result beyond
  /// the position, or after the wait.
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
  /// it cannot be read or is incomplete
  [[nodiscard]] Result<JobSpec> ReadSpec(
    const JobId& aJob,
    const JobSubmissionRecord& aStored) const;
  void ReadBody(const JobQuery& aQuery, HttpReplyPtr aReply);
  void BodyFromOwner(const JobQuery& aQuery,
                     const std::string& aOwner,
                     const HttpReplyPtr& aReply);
  void BodyFromStore(const JobQuery& aQuery, const HttpReplyPtr& aReply);
  /// Sends another process the body of an item of a job owned here.
  void ServeBody(const RpcCall& aCall, const RpcDone& aDone);
  void End(const JobQuery& aQuery, HttpReplyPtr aReply);
  /// Calls `aKnown` if the job exists and the customer may access it; sends an
  /// error response otherwise. Reads the store if the directory does not list
  /// the job.
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
