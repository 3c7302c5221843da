/// The jobs that this process owns: sends their items to upstreams, scores
/// the texts, writes the results.
#pragma once

#include "marjoramtally/version/job_ledger.hpp"
#include "programs/gatewayd/forwarder.hpp"
#include "programs/gatewayd/job_store.hpp"
#include "programs/gatewayd/partial_texts.hpp"

namespace marjoramtally {

/// All owned jobs. Used on one loop.
class JobRunner
{
public:
  /// All arguments outlive this.
  JobRunner(GatewayContext& aHost,
            const RouteTable& aRoutes,
            UpstreamTable& aTable,
            Forwarder& aForwarder,
            JobStore& aStore);

  /// Called after results of a job were written.
  std::function<void(const JobId&)> onListed_;
  /// Called when this process comes to own jobs that are not done, or owns
  /// none such any more.
  std::function<void(bool)> onUnfinishedChanged_;
  /// Called when this process stops unfinished a job.
  std::function<void(const JobId&)> onDropped_;

  /// A job is ours.
  /// @param aAge time since its acceptance
  void Add(const JobId& aJob,
           FencingNumber aFence,
           const JobSubmissionRecord& aSubmission,
           JobSpec aSpec,
           const std::vector<JobResult>& aListed,
           const std::vector<PartialRecord>& aPartials,
           Duration aAge);
  /// Another process owns the job.
  void Drop(const JobId& aJob);
  /// The job was ended: nothing more is sent.
  void End(const JobId& aJob);
  /// Upstreams, versions or routes changed.
  void OnUpstreamsChanged() { Dispatch(); }
  /// Runs at the upstream's incarnation before are lost; they go on elsewhere.
  void OnUpstreamRestarted(const UpstreamId& aUpstream);
  /// Gives all jobs back; `Idle` holds once that is done.
  void ReleaseAll();
  [[nodiscard]] bool Idle() const noexcept { return jobs_.empty(); }
  /// @returns whether a job here still has something to run or to write
  [[nodiscard]] bool HasOpen() const noexcept;

  [[nodiscard]] bool Owns(const JobId& aJob) const
  {
    return jobs_.contains(aJob);
  }
  [[nodiscard]] FencingNumber FenceOf(const JobId& aJob) const;
  /// @returns whose an owned job is
  [[nodiscard]] const CustomerId& CustomerOf(const JobId& aJob) const
  {
    return jobs_.at(aJob).customer_;
  }
  /// @returns places that items of the jobs here want, by service
  [[nodiscard]] std::map<ServiceId, std::uint64_t> SlotsWanted() const;
  /// @returns the most places that items of each model have wanted at once
  /// since the last call: a step of short texts comes and goes between two
  [[nodiscard]] std::map<std::string, std::uint64_t> TakeModelDemand();
  /// @returns runs that have gone on for a while, and so are likely to go on,
  /// by upstream
  [[nodiscard]] std::map<UpstreamId, std::uint32_t> LongRuns() const;
  /// @returns the ledger of an owned job, or nullptr
  [[nodiscard]] const JobLedger* Find(const JobId& aJob) const;

private:
  using RunId = std::uint64_t;

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
    /// Older configurations cannot tell what is to be done with the job.
    ConfigRevision acceptedUnder_;
    /// Whose job it is; empty: it was accepted while requests needed no keys.
    CustomerId customer_;
    /// Of no configuration before one is known that can tell; until then
    /// nothing is sent or given up.
    JobPolicy limits_;
    FencingNumber fence_;
    JobLedger ledger_;
    /// Texts of an earlier owner, until limits say which of them fit.
    std::vector<PartialRecord> inheritedTexts_;
    TimePoint accepted_;
    TimePoint deadline_ = kNever;
    std::uint64_t sequence_ = 0;
    bool ended_ = false;
    std::map<ItemIndex, RunId> runs_;
    /// Where items of a group run, for the prompt that they share.
    std::map<GroupId, UpstreamId> groupUpstreams_;
    /// Where an item was given up on last.
    std::map<ItemIndex, UpstreamId> avoided_;
    std::map<ItemIndex, ForwardId> scores_;
    /// When texts of items in progress were last written.
    TimePoint lastPartialsWrite_;
  };

  /// One stream of an item.
  struct Run
  {
    JobId job_;
    ItemIndex item_ = 0;
    UpstreamId upstream_;
    Fingerprint fingerprint_;
    HttpCallId call_ = 0;
    EventStreamParser parser_;
    int status_ = 0;
    bool notRun_ = false;
    WeightVersion version_;
    std::uint32_t events_ = 0;
    TimePoint lastProgress_;
    TimePoint started_;
    /// Why the run is to be given up; empty while it is not.
    std::string fault_;
  };

  /// Results on their way to the store; unchanged until it is known whether
  /// they were written.
  struct Batch
  {
    std::vector<ResultsWrite> writes_;
    std::vector<std::vector<ItemIndex>> items_;
  };

  /// A refused batch whose jobs are looked at one by one.
  struct Reconciliation
  {
    Batch batch_;
    std::size_t pending_ = 0;
  };

  /// Gives a job the limits of the configuration in force.
  /// @returns whether that configuration can tell what is to be done with it
  /// @returns places that a job's items hold or wait for
  [[nodiscard]] std::uint64_t SlotsWantedBy(const OwnedJob& aJob) const;
  [[nodiscard]] bool ApplyLimits(const JobId& aId, OwnedJob& aJob);
  [[nodiscard]] JobPolicy PolicyOf(const OwnedJob& aJob) const;
  void RestoreTexts(OwnedJob& aJob);
  void Dispatch();
  /// @returns whether items wait that may start without another event
  [[nodiscard]] bool DispatchJob(const JobId& aId, OwnedJob& aJob);
  /// @returns another upstream for an item that may have crashed one, if
  /// another such is in progress at the one picked and not at the other
  [[nodiscard]] const TrackedUpstream& PickSeparate(
    Fingerprint aFingerprint,
    const OwnedJob& aJob,
    const TrackedUpstream& aPicked) const;
  /// @returns whether the item may run
  [[nodiscard]] bool StartRun(const JobId& aId,
                              OwnedJob& aJob,
                              ItemIndex aItem,
                              const TrackedUpstream& aUpstream);
  [[nodiscard]] HttpCall MakeCall(const OwnedJob& aJob,
                                  ItemIndex aItem,
                                  const UpstreamEntry& aUpstream) const;
  /// @returns whether the answer is believed
  [[nodiscard]] bool OnHead(RunId aId,
                            int aStatus,
                            const HttpHeaders& aHeaders);
  [[nodiscard]] bool OnData(RunId aId, std::string_view aData);
  [[nodiscard]] bool OnEvent(Run& aRun, const ServerEvent& aEvent);
  void OnRunEnd(RunId aId, const HttpResult& aResult);
  void FinishRun(const Run& aRun, OwnedJob& aJob, const HttpResult& aResult);
  void StopRun(RunId aId, CallVerdict aVerdict, CallEnd aEnd = CallEnd::Other);
  void StopRuns(OwnedJob& aJob);
  void ScheduleRunCheck();
  void CheckRuns();
  /// @returns whether a run stands still that had begun
  [[nodiscard]] bool Stalled(const Run& aRun) const;
  /// @returns whether a run waits in vain at an upstream that is quiet
  [[nodiscard]] bool Unanswered(const Run& aRun) const;
  [[nodiscard]] bool ShouldMove(const Run& aRun) const;

  void Score(const JobId& aId, OwnedJob& aJob);
  void StartScore(const JobId& aId, OwnedJob& aJob, ItemIndex aItem);
  void OnScore(const JobId& aId, ItemIndex aItem, ForwardOutcome aOutcome);

  /// Adds what is to be written of a job to a batch.
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

  /// Scores, writes and starts whatever may be.
  void Advance(const JobId& aId, OwnedJob& aJob);
  void ScheduleFlush();
  void Flush();
  void SendBatch();
  void OnBatchEnd(WriteOutcome aEnd);
  void FinishBatch();
  /// Finds out what became of a batch that a comparison refused.
  void ReconcileBatch();
  void ReconcileWrite(const std::shared_ptr<Reconciliation>& aReconciliation,
                      std::size_t aIndex,
                      const Result<StoreRange>& aRange);
  /// @param aAgain whether the write is to be sent again
  void FinishReconciliation(
    const std::shared_ptr<Reconciliation>& aReconciliation,
    std::size_t aIndex,
    bool aAgain);
  /// @returns the job under the number that a write was made with, or nullptr
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
  /// The most places wanted at once since they were last asked for, by model.
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
