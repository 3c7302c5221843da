#include "programs/gatewayd/job_runner.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Results that finish within this time are written together, because each
/// write is a billed call and a step takes seconds.
constexpr auto kFlushDelay = std::chrono::milliseconds(200);
/// The trainer waits for the last results of a job, so they are written
/// sooner.
constexpr auto kFinalFlushDelay = std::chrono::milliseconds(20);
/// Delay before a failed write is sent again.
constexpr auto kFlushRetryDelay = std::chrono::milliseconds(250);
/// Each job takes four of the 32 entries of a store transaction.
constexpr std::size_t kMaxJobsPerWrite = 7;
/// Maximum size of the results in one record; a value in the store is limited
/// to 1 MiB.
constexpr std::size_t kMaxRecordBytes = 600U * 1024U;
/// Interval at which partial texts are written, together with any results, so
/// that the next owner can resume them.
constexpr auto kPartialsInterval = std::chrono::milliseconds(1500);
/// Texts with fewer events are faster to generate again than to read.
constexpr std::uint64_t kMinPartialEvents = 5;
/// Delay before a failed score call is sent again; doubles with each failure.
constexpr auto kMinScoreRetryDelay = std::chrono::milliseconds(150);
constexpr auto kMaxScoreRetryDelay = std::chrono::milliseconds(600);

void
LogResults(const ResultsWrite& aWrite, std::size_t aCount)
{
  if (aCount > 0) {
    LogEvent(LogLevel::Info,
             "results_listed",
             { { "job", aWrite.job_.Get() },
               { "from", std::to_string(aWrite.position_) },
               { "count", std::to_string(aCount) },
               { "fence", std::to_string(aWrite.fence_.Get()) } });
  }
}

} // namespace

void
JobRunner::ReleaseJobs()
{
  std::vector<JobId> ids;
  for (const auto& [id, job] : jobs_) {
    ids.push_back(id);
  }
  for (const JobId& id : ids) {
    OwnedJob& job = jobs_.at(id);
    if (job.ended_ || job.ledger_.Done()) {
      Drop(id);
      continue;
    }
    const JobOwnerRecord record{ "",
                                 job.ledger_.Spec().items_.size(),
                                 host_.WallMillis() -
                                   WholeMillis(host_.Now() - job.accepted_),
                                 job.customer_ };
    Batch last;
    AddToBatch(id, job, job.ledger_.Finished(), true, last);
    LogEvent(LogLevel::Info,
             "job_given_back",
             { { "job", id.Get() },
               { "bytes_of_texts",
                 std::to_string(last.writes_.front().partials_.size()) } });
    store_.Release(
      last.writes_.front(), record, [this, id](WriteOutcome) { Drop(id); });
  }
}

std::string
JobRunner::EncodePartials(const JobLedger& aLedger,
                          const std::vector<ItemIndex>& aListed)
{
  const std::set<ItemIndex> listed(aListed.begin(), aListed.end());
  std::vector<PartialRecord> texts;
  std::size_t bytes = 0;
  for (ItemIndex i = 0; i < aLedger.Spec().items_.size(); ++i) {
    const PartialText& text = aLedger.Text(i);
    if (aLedger.State(i) == ItemState::Listed || listed.contains(i) ||
        text.lastEvent_ < kMinPartialEvents ||
        bytes + text.text_.size() > kMaxRecordBytes) {
      continue;
    }
    bytes += text.text_.size();
    texts.push_back({ aLedger.Spec().items_[i].id_, text });
  }
  return texts.empty() ? std::string() : WritePartialRecords(texts);
}

bool
JobRunner::PartialsDue(const OwnedJob& aJob) const
{
  return host_.Now() - std::max(aJob.lastPartialsWrite_, aJob.accepted_) >=
         kPartialsInterval;
}

void
JobRunner::AddToBatch(const JobId& aId,
                      OwnedJob& aJob,
                      const std::vector<ItemIndex>& aItems,
                      bool aWithPartials,
                      Batch& aBatch)
{
  std::vector<ItemIndex> items;
  std::vector<JobResult> results;
  std::size_t bytes = 0;
  for (const ItemIndex item : aItems) {
    JobResult result = aJob.ledger_.ResultOf(item);
    bytes += result.text_.size();
    if (bytes > kMaxRecordBytes && !items.empty()) {
      break;
    }
    if (!result.completed_) {
      const std::string why(aJob.ledger_.ErrorOf(item));
      LogEvent(
        LogLevel::Warn,
        "item_errored",
        { { "item", result.id_.Get() },
          { "job", aId.Get() },
          { "why", why },
          { "config", std::to_string(aJob.ledger_.DecidedUnder(item).Get()) },
          { "age_ms",
            std::to_string(
              WholeMillis(aJob.ledger_.DecidedAt(item) - aJob.accepted_)) } });
      host_.Measures().Count("items_errored_total{why=\"" + why + "\"}");
    }
    items.push_back(item);
    results.push_back(std::move(result));
  }
  ResultsWrite write{ aId, aJob.fence_, aJob.ledger_.Listed().size(), {}, {} };
  if (!items.empty()) {
    write.record_ = WriteResultsRecord(results);
  }
  if (aWithPartials) {
    write.partials_ = EncodePartials(aJob.ledger_, items);
    aJob.lastPartialsWrite_ = host_.Now();
  }
  aJob.ledger_.OnListing(items);
  aBatch.writes_.push_back(std::move(write));
  aBatch.items_.push_back(std::move(items));
}

void
JobRunner::Score(const JobId& aId, OwnedJob& aJob)
{
  if (aJob.ended_) {
    return;
  }
  for (const ItemIndex item : aJob.ledger_.Unscored()) {
    // Each item waits for its own retry; otherwise the retry of one would send
    // those of all others, each of which schedules another.
    const auto retry = aJob.scoreRetries_.find(item);
    if (retry == aJob.scoreRetries_.end() ||
        retry->second.dueAt_ <= host_.Now()) {
      StartScore(aId, aJob, item);
    }
  }
}

void
JobRunner::StartScore(const JobId& aId, OwnedJob& aJob, ItemIndex aItem)
{
  const ScoreCall& score = *aJob.ledger_.Spec().items_[aItem].score_;
  const Route* route = routes_.Match(score.host_, score.path_);
  aJob.ledger_.OnScoreRequested(aItem);
  if (route == nullptr) {
    OnScore(aId, aItem, {});
    return;
  }
  const WireNames& names = host_.Formats().Names();
  ForwardRequest request;
  request.attempt_ = score.id_.Get();
  request.method_ = "POST";
  request.target_ = score.path_;
  request.headers_ = { { "Host", score.host_ },
                       { names.attempt_, score.id_.Get() } };
  request.body_ = score.body_;
  request.service_ =
    DrawService(*route, std::hash<std::string>{}(score.id_.Get()));
  request.kind_ = RouteKind::Idempotent;
  request.maxAttempts_ = std::max(1U, aJob.ledger_.ScoreAttemptsLeft(aItem));
  request.limit_ = route->timeout_;
  request.objective_ = route->objective_;
  request.failedBefore_ = aJob.ledger_.ScoreFailed(aItem);
  request.trusted_ = true;
  aJob.scores_[aItem] = forwarder_.Start(
    std::move(request), [this, aId, aItem](ForwardOutcome aOutcome) {
      OnScore(aId, aItem, std::move(aOutcome));
    });
}

void
JobRunner::OnScore(const JobId& aId, ItemIndex aItem, ForwardOutcome aOutcome)
{
  const auto it = jobs_.find(aId);
  if (it == jobs_.end()) {
    return;
  }
  OwnedJob& job = it->second;
  job.scores_.erase(aItem);
  const HttpResponse& response = aOutcome.response_;
  const std::string signature(
    FindHeader(response.headers_, host_.Formats().Names().signature_)
      .value_or(""));
  if (aOutcome.answered_ && response.status_ >= 200 && response.status_ < 300 &&
      !signature.empty()) {
    job.scoreRetries_.erase(aItem);
    job.ledger_.OnScored(aItem, signature, host_.Now());
    LogEvent(LogLevel::Debug,
             "item_scored",
             { { "item", job.ledger_.Spec().items_[aItem].id_.Get() },
               { "job", aId.Get() } });
    Advance(aId, job);
    return;
  }
  LogEvent(LogLevel::Info,
           "score_failed",
           { { "item", job.ledger_.Spec().items_[aItem].id_.Get() },
             { "job", aId.Get() },
             { "status", std::to_string(response.status_) },
             { "failures", std::to_string(aOutcome.failures_) } });
  job.ledger_.OnScoreFailed(aItem, aOutcome.failures_, host_.Now());
  ScheduleFlush();
  ScoreRetry& retry = job.scoreRetries_[aItem];
  retry.delay_ = std::clamp<Duration>(
    2 * retry.delay_, kMinScoreRetryDelay, kMaxScoreRetryDelay);
  retry.dueAt_ = host_.Now() + retry.delay_;
  host_.Timers().After(retry.delay_, [this, aId] {
    const auto again = jobs_.find(aId);
    if (again != jobs_.end()) {
      Advance(aId, again->second);
    }
  });
}

void
JobRunner::ScheduleFlush()
{
  if (batch_ || releasing_) {
    return;
  }
  const TimePoint now = host_.Now();
  TimePoint due = kNever;
  for (const auto& [id, job] : jobs_) {
    if (job.ended_ || job.ledger_.Done() ||
        job.limits_.config_ == ConfigRevision{}) {
      continue;
    }
    const bool ready = !job.ledger_.Listable(now).empty();
    const bool awaited =
      job.ledger_.Spec().targetGroups_ > 0 && job.ledger_.EnoughGroups();
    const Duration pause = awaited || job.ledger_.FewLeft()
                             ? Duration{ kFinalFlushDelay }
                             : Duration{ kFlushDelay };
    due = std::min(due, ready ? now + pause : job.ledger_.NextDue());
    if (!job.runs_.empty() && !job.ledger_.AwaitsLastGroups(now)) {
      due = std::min(due,
                     std::max(job.lastPartialsWrite_, job.accepted_) +
                       kPartialsInterval);
    }
  }
  host_.Timers().Cancel(flushTimer_);
  flushTimer_ = 0;
  if (due != kNever) {
    const Duration wait = std::max(due - now, Duration{ 1000 });
    flushTimer_ = host_.Timers().After(wait, [this] { Flush(); });
  }
}

void
JobRunner::Flush()
{
  const TimePoint now = host_.Now();
  Batch batch;
  for (auto& [id, job] : jobs_) {
    if (job.ended_ || job.limits_.config_ == ConfigRevision{} ||
        batch.writes_.size() == kMaxJobsPerWrite) {
      continue;
    }
    AbandonOverdue(id, job);
    const bool partials = !job.runs_.empty() && PartialsDue(job) &&
                          !job.ledger_.AwaitsLastGroups(now);
    // Since a write is made anyway, it includes all finished results.
    const std::vector<ItemIndex> items =
      partials ? job.ledger_.Finished() : job.ledger_.Listable(now);
    if (!items.empty() || partials) {
      AddToBatch(id, job, items, partials, batch);
    }
    if (!batch.writes_.empty() && batch.writes_.back().record_.empty() &&
        batch.writes_.back().partials_.empty()) {
      batch.writes_.pop_back();
      batch.items_.pop_back();
    }
  }
  if (batch.writes_.empty()) {
    ScheduleFlush();
    return;
  }
  batch_ = std::move(batch);
  SendBatch();
}

void
JobRunner::SendBatch()
{
  store_.WriteResults(batch_->writes_,
                      [this](WriteOutcome aEnd) { OnBatchEnd(aEnd); });
}

void
JobRunner::OnBatchEnd(WriteOutcome aEnd)
{
  switch (aEnd) {
    case WriteOutcome::Written:
      FinishBatch();
      return;
    case WriteOutcome::Fenced:
      ReconcileBatch();
      return;
    case WriteOutcome::Refused:
    case WriteOutcome::Unknown:
      // Sends the same writes again: either copy is correct if it is applied
      // first.
      host_.Timers().After(kFlushRetryDelay, [this] { SendBatch(); });
      return;
  }
}

void
JobRunner::FinishBatch()
{
  const Batch batch = std::move(*batch_);
  batch_.reset();
  if (releasing_) {
    host_.Timers().After({}, [this] { ReleaseJobs(); });
  }
  for (std::size_t i = 0; i < batch.writes_.size(); ++i) {
    const JobId& id = batch.writes_[i].job_;
    OwnedJob* job = WriterOf(batch.writes_[i]);
    if (job == nullptr) {
      continue;
    }
    LogResults(batch.writes_[i], batch.items_[i].size());
    job->ledger_.OnListed(batch.items_[i]);
    if (onListed_) {
      onListed_(id);
    }
  }
  UpdateUnfinished();
  ScheduleFlush();
}

/// A job that was lost and claimed again has a ledger that was read from the
/// store under its new fencing number and already includes the effect of an
/// older write.
JobRunner::OwnedJob*
JobRunner::WriterOf(const ResultsWrite& aWrite)
{
  const auto it = jobs_.find(aWrite.job_);
  const bool same = it != jobs_.end() && it->second.fence_ == aWrite.fence_;
  return same ? &it->second : nullptr;
}

/// Checks each job separately. If a record exists at the position, either this
/// write was applied or another owner wrote it. If there is none and the owner
/// is unchanged, another job's comparison failed; an earlier copy of the write
/// may still be applied, so it is sent again unchanged.
void
JobRunner::ReconcileBatch()
{
  const auto reconciliation = std::make_shared<Reconciliation>();
  reconciliation->batch_ = std::move(*batch_);
  reconciliation->pending_ = reconciliation->batch_.writes_.size();
  batch_ = Batch{};
  for (std::size_t i = 0; i < reconciliation->batch_.writes_.size(); ++i) {
    const ResultsWrite& write = reconciliation->batch_.writes_[i];
    host_.PlatformStore().Read(
      job_keys::ResultsAt(write.job_, write.position_),
      [this, reconciliation, i](const Result<StoreRange>& aRange) {
        ReconcileWrite(reconciliation, i, aRange);
      });
  }
}

void
JobRunner::ReconcileWrite(
  const std::shared_ptr<Reconciliation>& aReconciliation,
  std::size_t aIndex,
  const Result<StoreRange>& aRange)
{
  const ResultsWrite& write = aReconciliation->batch_.writes_[aIndex];
  OwnedJob* job = WriterOf(write);
  if (job == nullptr) {
    FinishReconciliation(aReconciliation, aIndex, false);
    return;
  }
  const bool found =
    !write.record_.empty() && aRange && !aRange.value().records_.empty();
  if (found) {
    if (aRange.value().records_.front().value_ == write.record_) {
      LogResults(write, aReconciliation->batch_.items_[aIndex].size());
      job->ledger_.OnListed(aReconciliation->batch_.items_[aIndex]);
      if (onListed_) {
        onListed_(write.job_);
      }
    } else {
      Drop(write.job_);
    }
    FinishReconciliation(aReconciliation, aIndex, false);
    return;
  }
  store_.ReadOwner(
    write.job_,
    [this, aReconciliation, aIndex](
      const Result<std::optional<StoreRecord>>& aOwner) {
      const ResultsWrite& lost = aReconciliation->batch_.writes_[aIndex];
      const bool replaced =
        aOwner &&
        (!aOwner.value() || aOwner.value()->modRevision_ != lost.fence_.Get());
      if (replaced && WriterOf(lost) != nullptr) {
        Drop(lost.job_);
      }
      FinishReconciliation(aReconciliation, aIndex, !replaced);
    });
}

void
JobRunner::FinishReconciliation(
  const std::shared_ptr<Reconciliation>& aReconciliation,
  std::size_t aIndex,
  bool aAgain)
{
  const ResultsWrite& write = aReconciliation->batch_.writes_[aIndex];
  if (aAgain && !write.record_.empty()) {
    batch_->writes_.push_back(write);
    batch_->items_.push_back(aReconciliation->batch_.items_[aIndex]);
  }
  if (--aReconciliation->pending_ > 0) {
    return;
  }
  if (!batch_->writes_.empty()) {
    host_.Timers().After(kFlushRetryDelay, [this] { SendBatch(); });
    return;
  }
  batch_.reset();
  ScheduleFlush();
  if (releasing_) {
    ReleaseJobs();
  }
}

} // namespace marjoramtally
