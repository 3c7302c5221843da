#include "programs/gatewayd/job_runner.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Results that finish within this time are written together: each write is
/// a priced call, and a step has seconds.
constexpr auto kFlushPause = std::chrono::milliseconds(200);
/// The last results of a job are what its trainer waits for.
constexpr auto kLastFlushPause = std::chrono::milliseconds(20);
/// A write that failed is tried again after this time.
constexpr auto kFlushAgain = std::chrono::milliseconds(250);
/// Most jobs of one write: each takes four of the store's 32 entries.
constexpr std::size_t kJobsAtOnce = 7;
/// Most bytes of results in one record; a value of the store holds 1 MiB.
constexpr std::size_t kRecordBytes = 600U * 1024U;
/// Texts in progress are written so often, with results where there are any:
/// what the next owner need not make anew.
constexpr auto kPartialsPause = std::chrono::milliseconds(1500);
/// Shorter texts are sooner made anew than read.
constexpr std::uint64_t kLeastEvents = 5;
/// Scoring is tried again after this time.
constexpr auto kScoreAgain = std::chrono::milliseconds(150);

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
JobRunner::GiveBackJobs()
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
    store_.GiveBack(
      last.writes_.front(), record, [this, id](WriteEnd) { Drop(id); });
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
        text.lastEvent_ < kLeastEvents ||
        bytes + text.text_.size() > kRecordBytes) {
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
  return host_.Now() - std::max(aJob.lastPartials_, aJob.accepted_) >=
         kPartialsPause;
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
    if (bytes > kRecordBytes && !items.empty()) {
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
    aJob.lastPartials_ = host_.Now();
  }
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
    StartScore(aId, aJob, item);
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
  const auto signature =
    FindHeader(response.headers_, host_.Formats().Names().signature_);
  if (aOutcome.answered_ && response.status_ >= 200 && response.status_ < 300 &&
      signature) {
    job.ledger_.OnScored(aItem, std::string(*signature), host_.Now());
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
  PlanFlush();
  host_.Timers().After(kScoreAgain, [this, aId] {
    const auto again = jobs_.find(aId);
    if (again != jobs_.end()) {
      Advance(aId, again->second);
    }
  });
}

void
JobRunner::PlanFlush()
{
  if (batch_ || givingBack_) {
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
                             ? Duration{ kLastFlushPause }
                             : Duration{ kFlushPause };
    due = std::min(due, ready ? now + pause : job.ledger_.NextDue());
    if (!job.runs_.empty() && !job.ledger_.AwaitsLastGroups(now)) {
      due = std::min(
        due, std::max(job.lastPartials_, job.accepted_) + kPartialsPause);
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
        batch.writes_.size() == kJobsAtOnce) {
      continue;
    }
    job.ledger_.AbandonOverdue(now);
    const bool partials = !job.runs_.empty() && PartialsDue(job) &&
                          !job.ledger_.AwaitsLastGroups(now);
    // A write that is made anyway takes all results along.
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
    PlanFlush();
    return;
  }
  batch_ = std::move(batch);
  SendBatch();
}

void
JobRunner::SendBatch()
{
  store_.WriteResults(batch_->writes_,
                      [this](WriteEnd aEnd) { OnBatchEnd(aEnd); });
}

void
JobRunner::OnBatchEnd(WriteEnd aEnd)
{
  switch (aEnd) {
    case WriteEnd::Written:
      FinishBatch();
      return;
    case WriteEnd::Fenced:
      SettleBatch();
      return;
    case WriteEnd::Refused:
    case WriteEnd::Unknown:
      // The same writes again: whichever of the two lands first is right.
      host_.Timers().After(kFlushAgain, [this] { SendBatch(); });
      return;
  }
}

void
JobRunner::FinishBatch()
{
  const Batch batch = std::move(*batch_);
  batch_.reset();
  if (givingBack_) {
    host_.Timers().After({}, [this] { GiveBackJobs(); });
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
  TellOwning();
  PlanFlush();
}

/// A job that was lost and claimed again since has a ledger that was read from
/// the store under its new number; what an old write of ours did is in it.
JobRunner::OwnedJob*
JobRunner::WriterOf(const ResultsWrite& aWrite)
{
  const auto it = jobs_.find(aWrite.job_);
  const bool same = it != jobs_.end() && it->second.fence_ == aWrite.fence_;
  return same ? &it->second : nullptr;
}

/// Each job is looked at alone: its record at this position either is ours or
/// another owner stands behind the comparison that failed. Else another job's
/// comparison failed; an earlier copy of the write may still land, so it is
/// sent again unchanged.
void
JobRunner::SettleBatch()
{
  const auto settling = std::make_shared<Settling>();
  settling->batch_ = std::move(*batch_);
  settling->left_ = settling->batch_.writes_.size();
  batch_ = Batch{};
  for (std::size_t i = 0; i < settling->batch_.writes_.size(); ++i) {
    const ResultsWrite& write = settling->batch_.writes_[i];
    host_.PlatformStore().Read(
      job_keys::ResultsAt(write.job_, write.position_),
      [this, settling, i](const Result<StoreRange>& aRange) {
        SettleWrite(settling, i, aRange);
      });
  }
}

void
JobRunner::SettleWrite(const std::shared_ptr<Settling>& aSettling,
                       std::size_t aIndex,
                       const Result<StoreRange>& aRange)
{
  const ResultsWrite& write = aSettling->batch_.writes_[aIndex];
  OwnedJob* job = WriterOf(write);
  if (job == nullptr) {
    EndSettling(aSettling, aIndex, false);
    return;
  }
  const bool found =
    !write.record_.empty() && aRange && !aRange.value().records_.empty();
  if (found) {
    if (aRange.value().records_.front().value_ == write.record_) {
      LogResults(write, aSettling->batch_.items_[aIndex].size());
      job->ledger_.OnListed(aSettling->batch_.items_[aIndex]);
      if (onListed_) {
        onListed_(write.job_);
      }
    } else {
      Drop(write.job_);
    }
    EndSettling(aSettling, aIndex, false);
    return;
  }
  store_.ReadOwner(
    write.job_,
    [this, aSettling, aIndex](
      const Result<std::optional<StoreRecord>>& aOwner) {
      const ResultsWrite& lost = aSettling->batch_.writes_[aIndex];
      const bool replaced =
        aOwner &&
        (!aOwner.value() || aOwner.value()->modRevision_ != lost.fence_.Get());
      if (replaced && WriterOf(lost) != nullptr) {
        Drop(lost.job_);
      }
      EndSettling(aSettling, aIndex, !replaced);
    });
}

void
JobRunner::EndSettling(const std::shared_ptr<Settling>& aSettling,
                       std::size_t aIndex,
                       bool aAgain)
{
  const ResultsWrite& write = aSettling->batch_.writes_[aIndex];
  if (aAgain && !write.record_.empty()) {
    batch_->writes_.push_back(write);
    batch_->items_.push_back(aSettling->batch_.items_[aIndex]);
  }
  if (--aSettling->left_ > 0) {
    return;
  }
  if (!batch_->writes_.empty()) {
    host_.Timers().After(kFlushAgain, [this] { SendBatch(); });
    return;
  }
  batch_.reset();
  PlanFlush();
  if (givingBack_) {
    GiveBackJobs();
  }
}

} // namespace marjoramtally
