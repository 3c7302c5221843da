/// Runs the jobs that this process owns: sends their items to upstreams,
/// scores the texts and writes the results.
#pragma once

#include "marjoramtally/version/job_ledger.hpp"
#include "programs/gatewayd/forwarder.hpp"
#include "programs/gatewayd/job_store.hpp"
#include "programs/gatewayd/partial_texts.hpp"

namespace marjoramtally {

/// All jobs owned by this process. Used on one loop.
class JobRunner
{
public:
  /// All arguments outlive this.
  JobRunner(GatewayContext& aHost,
            const RouteTable& aRoutes,
            UpstreamTable& aTable,
            Forwarder& aForwarder,
            JobStore& aStore);

  /// Called after results of a job have been written to the store.
  std::function<void(const JobId&)> onListed_;
  /// Called with whether this process owns an unfinished job, when that
  /// changes.
  std::function<void(bool)> onUnfinishedChanged_;
  /// Called when this process stops owning a job.
  std::function<void(const JobId&)> onDropped_;

  /// Starts running a job that this process owns.
  /// @param aAge time since its acceptance
  void Add(const JobId& aJob,
           FencingNumber aFence,
           const JobSubmissionRecord& aSubmission,
           JobSpec aSpec,
           const std::vector<JobResult>& aListed,
           const std::vector<PartialRecord>& aPartials,
           Duration aAge);
  /// Stops running a job, which another process owns now.
  void Drop(const JobId& aJob);
  /// Stops all runs of a job that was ended.
  void End(const JobId& aJob);
  /// Called when upstreams, weight versions or routes have changed.
  void OnUpstreamsChanged() { Dispatch(); }
  /// Interrupts the idle runs at an upstream that has restarted; their items
  /// continue at other upstreams.
  void OnUpstreamRestarted(const UpstreamId& aUpstream);
  /// Releases the ownership of all jobs; `Idle` returns true once that is
  /// done.
  void ReleaseAll();
  [[nodiscard]] bool Idle() const noexcept { return jobs_.empty(); }
  /// @returns whether an owned job still has items to run or results to write
  [[nodiscard]] bool HasOpen() const noexcept;

  [[nodiscard]] bool Owns(const JobId& aJob) const
  {
    return jobs_.contains(aJob);
  }
  [[nodiscard]] FencingNumber FenceOf(const JobId& aJob) const;
  /// @returns the customer of an owned job
  [[nodiscard]] const CustomerId& CustomerOf(const JobId& aJob) const
  {
    return jobs_.at(aJob).customer_;
  }
  /// @returns upstream slots that items of owned jobs hold or wait for, by
  /// service
  [[nodiscard]] std::map<ServiceId, std::uint64_t> SlotsWanted() const;
  /// @returns upstream slots that items of a model hold or wait for
  [[nodiscard]] std::uint64_t SlotsWantedOf(const std::string& aModel) const;
  /// @returns the maximum number of slots wanted at once by items of each
  /// model since the last call; a step of short texts may begin and end
  /// between two calls
  [[nodiscard]] std::map<std::string, std::uint64_t> TakeModelDemand();
  /// @returns by upstream, the number of runs that have lasted long enough
  /// that they are likely to continue
  [[nodiscard]] std::map<UpstreamId, std::uint32_t> LongRuns() const;
  /// @returns the ledger of an owned job, or nullptr
  [[nodiscard]] const JobLedger* Find(const JobId& aJob) const;

private:
  using RunId = std::uint64_t;

  /// When a score call that failed is sent again.
  struct ScoreRetry
  {
    TimePoint dueAt_;
    /// Doubles with each consecutive failure.
    Duration delay_{ 0 };
  };

  struct OwnedJob
  {
    OwnedJob(const JobSubmissionRecord& aSubmission,
             FencingNumber aFence,
             JobLedger aLedger,
             std::vector<PartialRecord> aTexts,
             TimePoint aAccepted,
             std::uint64_t aSequence)
      : host_(aSubmission.host_)
      , path_(aSubmission.path_)
      , acceptedUnder_(aSubmission.acceptedUnder_)
      , customer_(aSubmission.customer_)
      , fence_(aFence)
      , ledger_(std::move(aLedger))
      , inheritedTexts_(std::move(aTexts))
      , accepted_(aAccepted)
      , sequence_(aSequence)
    {
    }

    std::string host_;
    std::string path_;
    /// A configuration older than this one may lack the job's routes.
    ConfigRevision acceptedUnder_;
    /// The customer; empty if the job was accepted while requests needed no
    /// keys.
    CustomerId customer_;
    /// Has no configuration until one that covers the job is known; until then
    /// nothing is sent or abandoned.
    JobPolicy limits_;
    FencingNumber fence_;
    JobLedger ledger_;
    /// Texts of an earlier owner, kept until the limits determine which of
    /// them can be reused.
    std::vector<PartialRecord> inheritedTexts_;
    TimePoint accepted_;
    TimePoint deadline_ = kNever;
    std::uint64_t sequence_ = 0;
    bool ended_ = false;
    std::map<ItemIndex, RunId> runs_;
    /// Upstream of each group, so that its items share the cached prompt.
    std::map<GroupId, UpstreamId> groupUpstreams_;
    /// The upstream at which an item's last run failed or was stopped.
    std::map<ItemIndex, UpstreamId> avoided_;
    std::map<ItemIndex, ForwardId> scores_;
    /// Items whose last score call failed.
    std::map<ItemIndex, ScoreRetry> scoreRetries_;
    /// When partial texts were last written to the store.
    TimePoint lastPartialsWrite_;
  };

  /// One stream of an item.
  struct Run
  {
    JobId job_;
    ItemIndex item_ = 0;
    UpstreamId upstream_;
    HttpCallId call_ = 0;
    EventStreamParser parser_;
    int status_ = 0;
    /// Bytes of the body of an answer that is no stream; they are not kept.
    std::size_t skippedBytes_ = 0;
    bool notRun_ = false;
    WeightVersion version_;
    std::uint32_t events_ = 0;
    TimePoint lastProgress_;
    TimePoint started_;
    /// Why the answer is rejected; empty if it is valid.
    std::string fault_;
  };

  /// Results being written to the store; unchanged until the outcome of the
  /// write is known.
  struct Batch
  {
    std::vector<ResultsWrite> writes_;
    std::vector<std::vector<ItemIndex>> items_;
  };

  /// A batch that failed a comparison; the outcome is determined for each job
  /// separately.
  struct Reconciliation
  {
    Batch batch_;
    std::size_t pending_ = 0;
  };

  /// @returns upstream slots that a job's items hold or wait for
  [[nodiscard]] std::uint64_t SlotsWantedBy(const OwnedJob& aJob) const;
  /// Applies the limits of the current configuration to a job.
  /// @returns whether that configuration is recent enough to know the job
  [[nodiscard]] bool ApplyLimits(const JobId& aId, OwnedJob& aJob);
  [[nodiscard]] JobPolicy PolicyOf(const OwnedJob& aJob) const;
  /// Abandons the items of a job whose time is over, and stops their work.
  void AbandonOverdue(const JobId& aId, OwnedJob& aJob);
  /// Stops the work of items whose text the limits do not allow any more.
  void StopDiscarded(const JobId& aId,
                     OwnedJob& aJob,
                     const std::vector<ItemIndex>& aItems);
  static void LogStopped(const JobId& aId,
                         const OwnedJob& aJob,
                         ItemIndex aItem);
  void RestoreTexts(OwnedJob& aJob);
  void Dispatch();
  /// @returns whether items wait that may be able to start without another
  /// event
  [[nodiscard]] bool DispatchJob(const JobId& aId, OwnedJob& aJob);
  /// Items are not subject to the quarantine of requests that crash upstreams:
  /// an item under which upstreams crashed is still owed.
  void StartRun(const JobId& aId,
                OwnedJob& aJob,
                ItemIndex aItem,
                const TrackedUpstream& aUpstream);
  [[nodiscard]] HttpCall MakeCall(const OwnedJob& aJob,
                                  ItemIndex aItem,
                                  const UpstreamEntry& aUpstream) const;
  /// @returns whether the answer belongs to the item and is valid
  [[nodiscard]] bool OnHead(RunId aId,
                            int aStatus,
                            const HttpHeaders& aHeaders);
  [[nodiscard]] bool OnData(RunId aId, std::string_view aData);
  [[nodiscard]] bool OnEvent(Run& aRun, const ServerEvent& aEvent);
  void OnRunEnd(RunId aId, const HttpResult& aResult);
  void FinishRun(const Run& aRun, OwnedJob& aJob, const HttpResult& aResult);
  void StopRun(RunId aId, CallVerdict aVerdict);
  void StopRuns(OwnedJob& aJob);
  void ScheduleRunCheck();
  void CheckRuns();
  /// @returns whether a run that has begun makes no progress
  [[nodiscard]] bool Stalled(const Run& aRun) const;
  /// @returns whether a run has received nothing and its upstream is
  /// unresponsive
  [[nodiscard]] bool Unanswered(const Run& aRun) const;
  [[nodiscard]] bool ShouldMove(const Run& aRun) const;

  void Score(const JobId& aId, OwnedJob& aJob);
  void StartScore(const JobId& aId, OwnedJob& aJob, ItemIndex aItem);
  void OnScore(const JobId& aId, ItemIndex aItem, ForwardOutcome aOutcome);

  /// Adds the results and partial texts of a job to a batch.
  void AddToBatch(const JobId& aId,
                  OwnedJob& aJob,
                  const std::vector<ItemIndex>& aItems,
                  bool aWithPartials,
                  Batch& aBatch);
  [[nodiscard]] static std::string EncodePartials(
    const JobLedger& aLedger,
    const std::vector<ItemIndex>& aListed);
  [[nodiscard]] bool PartialsDue(const OwnedJob& aJob) const;
  void ReleaseJobs();

  /// Starts scores and items that are ready and schedules the next write.
  void Advance(const JobId& aId, OwnedJob& aJob);
  void ScheduleFlush();
  void Flush();
  void SendBatch();
  void OnBatchEnd(WriteOutcome aEnd);
  void FinishBatch();
  /// Determines for each job of a batch that failed a comparison whether its
  /// results were written.
  void ReconcileBatch();
  void ReconcileWrite(const std::shared_ptr<Reconciliation>& aReconciliation,
                      std::size_t aIndex,
                      const Result<StoreRange>& aRange);
  /// @param aAgain whether the write is sent again
  void FinishReconciliation(
    const std::shared_ptr<Reconciliation>& aReconciliation,
    std::size_t aIndex,
    bool aAgain);
  /// @returns the job if it is still owned under the write's fencing number,
  /// or nullptr
  [[nodiscard]] OwnedJob* WriterOf(const ResultsWrite& aWrite);
  void SaveTexts(OwnedJob& aJob);
  void UpdateUnfinished();
  void RecordModelDemand();

  GatewayContext& host_;
  const RouteTable& routes_;
  UpstreamTable& upstreamTable_;
  Forwarder& forwarder_;
  JobStore& store_;
  std::map<JobId, OwnedJob> jobs_;
  std::uint64_t lastSequence_ = 0;
  /// The maximum number of slots wanted at once since the last
  /// `TakeModelDemand`, by model.
  std::map<std::string, std::uint64_t> modelDemand_;
  std::map<RunId, Run> runs_;
  RunId lastRun_ = 0;
  PartialTexts partials_;
  std::optional<Batch> batch_;
  LoopTimerId flushTimer_ = 0;
  LoopTimerId checkTimer_ = 0;
  LoopTimerId retryTimer_ = 0;
  bool releasing_ = false;
  bool hasUnfinished_ = false;
};

} // namespace marjoramtally
