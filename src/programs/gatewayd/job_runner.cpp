#include "programs/gatewayd/job_runner.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace marjoramtally {

namespace {

/// Delay before items without a suitable upstream are dispatched again.
constexpr auto kDispatchRetryDelay = std::chrono::milliseconds(100);
/// Added to the time limit of items, because clocks differ by some seconds.
constexpr auto kClockSkewMargin = std::chrono::seconds(6);
/// Results and bodies of an ended job are served from memory for this long;
/// later reads go to the store, at the cost of one billed call each.
constexpr auto kEndedRetention = std::chrono::seconds(60);

} // namespace

JobRunner::JobRunner(GatewayContext& aHost,
                     const RouteTable& aRoutes,
                     UpstreamTable& aTable,
                     Forwarder& aForwarder,
                     JobStore& aStore)
  : host_(aHost)
  , routes_(aRoutes)
  , upstreamTable_(aTable)
  , forwarder_(aForwarder)
  , store_(aStore)
{
}

FencingNumber
JobRunner::FenceOf(const JobId& aJob) const
{
  const auto it = jobs_.find(aJob);
  return it == jobs_.end() ? FencingNumber{} : it->second.fence_;
}

const JobLedger*
JobRunner::Find(const JobId& aJob) const
{
  const auto it = jobs_.find(aJob);
  return it == jobs_.end() ? nullptr : &it->second.ledger_;
}

void
JobRunner::Add(const JobId& aJob,
               FencingNumber aFence,
               const JobSubmissionRecord& aSubmission,
               JobSpec aSpec,
               const std::vector<JobResult>& aListed,
               const std::vector<PartialRecord>& aPartials,
               Duration aAge)
{
  const TimePoint accepted = host_.Now() - aAge;
  JobLedger ledger(std::move(aSpec), {}, accepted);
  ledger.Restore(aListed);
  LogEvent(
    LogLevel::Info,
    "job_started",
    { { "job", aJob.Get() },
      { "model", ledger.Spec().model_ },
      { "step", std::to_string(ledger.Spec().step_) },
      { "min_version", std::to_string(ledger.Spec().minVersion_.Get()) },
      { "items", std::to_string(ledger.Spec().items_.size()) },
      { "listed", std::to_string(aListed.size()) },
      { "partial", std::to_string(aPartials.size()) },
      { "age_ms", std::to_string(WholeMillis(aAge)) },
      { "fence", std::to_string(aFence.Get()) },
      { "accepted_under", std::to_string(aSubmission.acceptedUnder_.Get()) },
      { "config", std::to_string(routes_.Config().revision_.Get()) } });
  const auto [it, added] = jobs_.emplace(aJob,
                                         OwnedJob(aSubmission,
                                                  aFence,
                                                  std::move(ledger),
                                                  aPartials,
                                                  accepted,
                                                  ++lastSequence_));
  UpdateUnfinished();
  if (added) {
    RecordModelDemand();
    Advance(aJob, it->second);
  }
}

void
JobRunner::Drop(const JobId& aJob)
{
  const auto it = jobs_.find(aJob);
  if (it == jobs_.end()) {
    return;
  }
  LogEvent(LogLevel::Info, "job_dropped", { { "job", aJob.Get() } });
  StopRuns(it->second);
  jobs_.erase(it);
  UpdateUnfinished();
  if (onDropped_) {
    onDropped_(aJob);
  }
}

void
JobRunner::SaveTexts(OwnedJob& aJob)
{
  for (PartialRecord& partial : std::exchange(aJob.inheritedTexts_, {})) {
    partials_.Put(partial.item_, std::move(partial.text_));
  }
  for (ItemIndex i = 0; i < aJob.ledger_.Spec().items_.size(); ++i) {
    const PartialText& text = aJob.ledger_.Text(i);
    if (text.lastEvent_ > 0) {
      partials_.Put(aJob.ledger_.Spec().items_[i].id_, text);
    }
  }
}

void
JobRunner::End(const JobId& aJob)
{
  const auto it = jobs_.find(aJob);
  if (it == jobs_.end() || it->second.ended_) {
    return;
  }
  OwnedJob& job = it->second;
  job.ended_ = true;
  LogEvent(
    LogLevel::Info,
    "job_ended",
    { { "job", aJob.Get() },
      { "listed", std::to_string(job.ledger_.Listed().size()) },
      { "of", std::to_string(job.ledger_.Spec().items_.size()) },
      { "age_ms", std::to_string(WholeMillis(host_.Now() - job.accepted_)) } });
  host_.Measures().Observe(
    "job_seconds",
    std::chrono::duration<double>(host_.Now() - job.accepted_).count());
  UpdateUnfinished();
  StopRuns(job);
  SaveTexts(job);
  host_.Timers().After(kEndedRetention, [this, aJob] { Drop(aJob); });
  Dispatch();
}

/// Finished jobs are complete in the store and need no fast takeover, so they
/// do not count.
void
JobRunner::UpdateUnfinished()
{
  const bool unfinished =
    std::any_of(jobs_.begin(), jobs_.end(), [](const auto& aEntry) {
      return !aEntry.second.ended_ && !aEntry.second.ledger_.Done();
    });
  if (std::exchange(hasUnfinished_, unfinished) != unfinished &&
      onUnfinishedChanged_) {
    onUnfinishedChanged_(unfinished);
  }
}

bool
JobRunner::HasOpen() const noexcept
{
  return std::any_of(jobs_.begin(), jobs_.end(), [](const auto& aEntry) {
    // A job whose limits are unknown has no runs here.
    const OwnedJob& job = aEntry.second;
    return !job.ended_ && !job.ledger_.Done() &&
           job.limits_.config_ != ConfigRevision{};
  });
}

std::map<ServiceId, std::uint64_t>
JobRunner::SlotsWanted() const
{
  std::map<ServiceId, std::uint64_t> slots;
  for (const auto& [id, job] : jobs_) {
    const Route* route = routes_.Match(job.host_, job.path_);
    if (job.ended_ || route == nullptr || route->services_.empty()) {
      continue;
    }
    slots[route->services_.front().service_] += SlotsWantedBy(job);
  }
  return slots;
}

/// Called when a job is added, because demand grows only then.
void
JobRunner::RecordModelDemand()
{
  std::map<std::string, std::uint64_t> slots;
  for (const auto& [id, job] : jobs_) {
    if (!job.ended_) {
      slots[job.ledger_.Spec().model_] += SlotsWantedBy(job);
    }
  }
  for (const auto& [model, wanted] : slots) {
    modelDemand_[model] = std::max(modelDemand_[model], wanted);
  }
}

std::uint64_t
JobRunner::SlotsWantedOf(const std::string& aModel) const
{
  std::uint64_t slots = 0;
  for (const auto& [id, job] : jobs_) {
    if (!job.ended_ && job.ledger_.Spec().model_ == aModel) {
      slots += SlotsWantedBy(job);
    }
  }
  return slots;
}

std::map<std::string, std::uint64_t>
JobRunner::TakeModelDemand()
{
  RecordModelDemand();
  return std::exchange(modelDemand_, {});
}

std::uint64_t
JobRunner::SlotsWantedBy(const OwnedJob& aJob) const
{
  return aJob.ledger_.Waiting(host_.Now()).size() + aJob.runs_.size();
}

void
JobRunner::ReleaseAll()
{
  if (releasing_) {
    return;
  }
  releasing_ = true;
  for (auto& [id, job] : jobs_) {
    StopRuns(job);
  }
  if (!batch_) {
    ReleaseJobs();
  }
}

void
JobRunner::Advance(const JobId& aId, OwnedJob& aJob)
{
  if (releasing_) {
    return;
  }
  Score(aId, aJob);
  Dispatch();
  ScheduleFlush();
}

JobPolicy
JobRunner::PolicyOf(const OwnedJob& aJob) const
{
  // A missing route does not change limits: the last known ones remain in
  // force.
  JobPolicy policy = aJob.limits_;
  const Route* route = routes_.Match(aJob.host_, aJob.path_);
  if (route != nullptr) {
    policy.maxAttempts_ = route->maxAttempts_;
    policy.maxQueue_ = route->maxQueue_ + kClockSkewMargin;
    policy.runDeadline_ = route->runDeadline_;
    policy.singleVersion_ = route->singleVersion_;
  }
  for (const JobItem& item : aJob.ledger_.Spec().items_) {
    const Route* score =
      item.score_ ? routes_.Match(item.score_->host_, item.score_->path_)
                  : nullptr;
    if (score != nullptr) {
      policy.maxScoreFailures_ = score->maxAttempts_;
      break;
    }
  }
  policy.config_ = routes_.Config().revision_;
  return policy;
}

/// Applies the limits of the current configuration, unless that configuration
/// is older than the job. A process has no configuration right after its start
/// and may have an outdated one if its watch lags. Treating an empty route
/// table as the removal of a route would list all items of a job as errored
/// while a large configuration (1,400 routes and more) is still being read.
bool
JobRunner::ApplyLimits(const JobId& aId, OwnedJob& aJob)
{
  const ConfigRevision revision = routes_.Config().revision_;
  if (!routes_.Covers(aJob.acceptedUnder_)) {
    return false;
  }
  if (aJob.limits_.config_ == revision) {
    return true;
  }
  const bool first = aJob.limits_.config_ == ConfigRevision{};
  const JobPolicy policy = PolicyOf(aJob);
  aJob.limits_ = policy;
  const std::vector<ItemIndex> discarded = aJob.ledger_.SetPolicy(policy);
  aJob.deadline_ = aJob.accepted_ + policy.maxQueue_;
  LogEvent(LogLevel::Info,
           "job_limits",
           { { "job", aId.Get() },
             { "config", std::to_string(revision.Get()) },
             { "attempts", std::to_string(policy.maxAttempts_) },
             { "score_attempts", std::to_string(policy.maxScoreFailures_) },
             { "queue_ms", std::to_string(WholeMillis(policy.maxQueue_)) },
             { "single_version", policy.singleVersion_ ? "yes" : "no" } });
  StopDiscarded(aId, aJob, discarded);
  if (first) {
    RestoreTexts(aJob);
  }
  AbandonOverdue(aId, aJob);
  Score(aId, aJob);
  ScheduleFlush();
  return true;
}

/// An item can be running, or wait for its score, when its time is over: runs
/// keep the time limit of the configuration under which they started.
void
JobRunner::AbandonOverdue(const JobId& aId, OwnedJob& aJob)
{
  aJob.ledger_.AbandonOverdue(host_.Now());
  const auto runs = aJob.runs_;
  for (const auto& [item, run] : runs) {
    if (aJob.ledger_.IsFinal(item)) {
      LogStopped(aId, aJob, item);
      StopRun(run, CallVerdict::Abandoned);
    }
  }
  std::erase_if(aJob.scores_, [&](const auto& aScore) {
    if (!aJob.ledger_.IsFinal(aScore.first)) {
      return false;
    }
    LogStopped(aId, aJob, aScore.first);
    forwarder_.Cancel(aScore.second);
    return true;
  });
}

/// A run would go on after the last event of a discarded text, and its score
/// call was sent before the new text is complete.
void
JobRunner::StopDiscarded(const JobId& aId,
                         OwnedJob& aJob,
                         const std::vector<ItemIndex>& aItems)
{
  for (const ItemIndex item : aItems) {
    LogEvent(LogLevel::Info,
             "item_text_discarded",
             { { "item", aJob.ledger_.Spec().items_[item].id_.Get() },
               { "job", aId.Get() },
               { "config", std::to_string(aJob.limits_.config_.Get()) } });
    if (const auto run = aJob.runs_.find(item); run != aJob.runs_.end()) {
      StopRun(run->second, CallVerdict::Abandoned);
    }
    if (auto score = aJob.scores_.extract(item)) {
      forwarder_.Cancel(score.mapped());
    }
    aJob.scoreRetries_.erase(item);
  }
}

void
JobRunner::LogStopped(const JobId& aId, const OwnedJob& aJob, ItemIndex aItem)
{
  LogEvent(LogLevel::Info,
           "item_stopped",
           { { "item", aJob.ledger_.Spec().items_[aItem].id_.Get() },
             { "job", aId.Get() },
             { "why", std::string(aJob.ledger_.ErrorOf(aItem)) } });
}

/// Which texts can be reused depends on whether the route requires a single
/// weight version per text.
void
JobRunner::RestoreTexts(OwnedJob& aJob)
{
  for (const PartialRecord& partial : std::exchange(aJob.inheritedTexts_, {})) {
    const auto item = aJob.ledger_.Find(partial.item_);
    if (item) {
      aJob.ledger_.Reuse(*item, partial.text_);
    }
  }
  for (const ItemIndex item : aJob.ledger_.Waiting(host_.Now())) {
    auto text = partials_.Take(aJob.ledger_.Spec().items_[item].id_);
    if (text) {
      aJob.ledger_.Reuse(item, std::move(*text));
    }
  }
}

void
JobRunner::Dispatch()
{
  if (releasing_) {
    return;
  }
  std::vector<std::pair<std::uint64_t, JobId>> order;
  for (const auto& [id, job] : jobs_) {
    if (!job.ended_) {
      order.emplace_back(job.sequence_, id);
    }
  }
  std::sort(order.begin(), order.end());
  bool waiting = false;
  for (const auto& entry : order) {
    OwnedJob& job = jobs_.at(entry.second);
    if (!ApplyLimits(entry.second, job)) {
      continue;
    }
    waiting = DispatchJob(entry.second, job) || waiting;
  }
  host_.Timers().Cancel(retryTimer_);
  retryTimer_ = 0;
  if (waiting) {
    retryTimer_ =
      host_.Timers().After(kDispatchRetryDelay, [this] { Dispatch(); });
  }
}

bool
JobRunner::DispatchJob(const JobId& aId, OwnedJob& aJob)
{
  std::set<ServiceId> full;
  const JobSpec& spec = aJob.ledger_.Spec();
  for (const ItemIndex index : aJob.ledger_.Waiting(host_.Now())) {
    const JobItem& item = spec.items_[index];
    const Route* route = routes_.Match(aJob.host_, item.path_);
    if (route == nullptr) {
      aJob.ledger_.OnRouteRemoved(index, host_.Now());
      ScheduleFlush();
      continue;
    }
    const ServiceId& service =
      DrawService(*route, std::hash<std::string>{}(item.id_.Get()));
    if (full.contains(service)) {
      continue;
    }
    const auto avoided = aJob.avoided_.find(index);
    const ItemNeeds needs{ service,
                           spec.model_,
                           spec.minVersion_,
                           aJob.groupUpstreams_[item.group_],
                           avoided == aJob.avoided_.end() ? UpstreamId{}
                                                          : avoided->second };
    const TrackedUpstream* upstream =
      upstreamTable_.PickForItem(needs, host_.Now());
    if (upstream == nullptr) {
      full.insert(service);
      aJob.avoided_.erase(index);
      continue;
    }
    StartRun(aId, aJob, index, *upstream);
  }
  return !full.empty();
}

} // namespace marjoramtally
