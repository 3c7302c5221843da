#include "programs/gatewayd/job_runner.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace marjoramtally {

namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(250);
/// A stream that makes nothing for so many times its upstream's pace moves to
/// another with room: a change of weights holds runs up for 0.9 s, and going
/// on elsewhere reads the prompt again in some milliseconds.
constexpr std::int64_t kStallPaces = 6;
constexpr auto kLeastStall = std::chrono::milliseconds(200);
/// A stream that makes nothing for this long is resumed elsewhere in any
/// case.
constexpr auto kSilence = std::chrono::milliseconds(1500);
/// A stream that has not begun may wait for a slot at its upstream, where
/// others sent items too; moving it would put it at the end of another queue.
constexpr auto kFirstSilence = std::chrono::milliseconds(3000);
/// How often runs are looked at while there are any.
constexpr auto kCheckPause = std::chrono::milliseconds(120);
/// Items that found no upstream are tried again after this time.
constexpr auto kRetryPause = std::chrono::milliseconds(100);
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
/// Items are given up this much later than they may be: clocks differ by
/// some seconds.
constexpr auto kGiveUpSlack = std::chrono::seconds(6);
/// Results of a job that ended are read from memory for this long.
constexpr auto kEndedStay = std::chrono::seconds(10);
/// Scoring is tried again after this time.
constexpr auto kScoreAgain = std::chrono::milliseconds(150);

std::int64_t
Millis(Duration aDuration)
{
  return std::chrono::floor<std::chrono::milliseconds>(aDuration).count();
}

} // namespace

JobRunner::JobRunner(GatewayContext& aHost,
                     const RouteTable& aRoutes,
                     UpstreamBoard& aBoard,
                     Forwarder& aForwarder,
                     JobStore& aStore)
  : host_(aHost)
  , routes_(aRoutes)
  , board_(aBoard)
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
  const Route* route = routes_.Match(aSubmission.host_, aSubmission.path_);
  JobPolicy policy;
  if (route != nullptr) {
    policy.maxAttempts_ = route->maxAttempts_;
    policy.maxQueue_ = route->maxQueue_ + kGiveUpSlack;
    policy.runDeadline_ = route->runDeadline_;
    policy.singleVersion_ = route->singleVersion_;
  }
  for (const JobItem& item : aSpec.items_) {
    const Route* score =
      item.score_ ? routes_.Match(item.score_->host_, item.score_->path_)
                  : nullptr;
    if (score != nullptr) {
      policy.maxScoreFailures_ = score->maxAttempts_;
      break;
    }
  }
  const TimePoint accepted = host_.Now() - aAge;
  JobLedger ledger(std::move(aSpec), policy, accepted);
  ledger.Restore(aListed);
  for (const PartialRecord& partial : aPartials) {
    const auto item = ledger.Find(partial.item_);
    if (item) {
      ledger.Reuse(*item, partial.text_);
    }
  }
  for (const ItemIndex item : ledger.Waiting()) {
    auto text = partials_.Take(ledger.Spec().items_[item].id_);
    if (text) {
      ledger.Reuse(item, std::move(*text));
    }
  }
  LogEvent(LogLevel::Info,
           "job_started",
           { { "job", aJob.Get() },
             { "model", ledger.Spec().model_ },
             { "step", std::to_string(ledger.Spec().step_) },
             { "min_version", std::to_string(ledger.Spec().minVersion_.Get()) },
             { "items", std::to_string(ledger.Spec().items_.size()) },
             { "listed", std::to_string(aListed.size()) },
             { "partial", std::to_string(aPartials.size()) },
             { "age_ms", std::to_string(Millis(aAge)) },
             { "fence", std::to_string(aFence.Get()) } });
  const auto [it, added] = jobs_.emplace(aJob,
                                         OwnedJob(aSubmission.host_,
                                                  aFence,
                                                  std::move(ledger),
                                                  accepted,
                                                  accepted + policy.maxQueue_,
                                                  ++lastSequence_));
  if (jobs_.size() == 1 && onOwning_) {
    onOwning_(true);
  }
  if (added) {
    Advance(aJob, it->second);
  }
}

void
JobRunner::StopRuns(OwnedJob& aJob)
{
  const auto runs = aJob.runs_;
  for (const auto& [item, run] : runs) {
    StopRun(run, CallVerdict::Abandoned);
  }
  for (const auto& [item, score] : aJob.scores_) {
    forwarder_.Cancel(score);
  }
  aJob.scores_.clear();
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
  if (jobs_.empty() && onOwning_) {
    onOwning_(false);
  }
  if (onDropped_) {
    onDropped_(aJob);
  }
}

void
JobRunner::Keep(OwnedJob& aJob)
{
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
      { "age_ms", std::to_string(Millis(host_.Now() - job.accepted_)) } });
  StopRuns(job);
  Keep(job);
  host_.Timers().After(kEndedStay, [this, aJob] { Drop(aJob); });
  Dispatch();
}

void
JobRunner::GiveBack()
{
  givingBack_ = true;
  for (auto& [id, job] : jobs_) {
    StopRuns(job);
  }
  if (!batch_) {
    GiveBackJobs();
  }
}

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
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      host_.Now() - job.accepted_);
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    const JobOwnerRecord record{ "",
                                 job.ledger_.Spec().items_.size(),
                                 (wall - age).count() };
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
JobRunner::Advance(const JobId& aId, OwnedJob& aJob)
{
  if (givingBack_) {
    return;
  }
  Score(aId, aJob);
  PlanFlush();
  Dispatch();
}

void
JobRunner::Dispatch()
{
  if (givingBack_) {
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
    std::set<ServiceId> full;
    DispatchJob(entry.second, jobs_.at(entry.second), full);
    waiting = waiting || !full.empty();
  }
  host_.Timers().Cancel(retryTimer_);
  retryTimer_ = 0;
  if (waiting) {
    retryTimer_ = host_.Timers().After(kRetryPause, [this] { Dispatch(); });
  }
}

void
JobRunner::DispatchJob(const JobId& aId,
                       OwnedJob& aJob,
                       std::set<ServiceId>& aFull)
{
  const JobSpec& spec = aJob.ledger_.Spec();
  for (const ItemIndex index : aJob.ledger_.Waiting()) {
    const JobItem& item = spec.items_[index];
    const Route* route = routes_.Match(aJob.host_, item.path_);
    if (route == nullptr) {
      LogEvent(LogLevel::Warn,
               "item_given_up",
               { { "item", item.id_.Get() },
                 { "job", aId.Get() },
                 { "why", "no route" } });
      aJob.ledger_.OnImpossible(index, host_.Now());
      PlanFlush();
      continue;
    }
    const ServiceId& service =
      DrawService(*route, std::hash<std::string>{}(item.id_.Get()));
    if (aFull.contains(service)) {
      continue;
    }
    const auto avoided = aJob.avoided_.find(index);
    const ItemNeeds needs{ service,
                           spec.model_,
                           spec.minVersion_,
                           aJob.places_[item.group_],
                           avoided == aJob.avoided_.end() ? UpstreamId{}
                                                          : avoided->second };
    const BoardUpstream* upstream = board_.PickForItem(needs, host_.Now());
    if (upstream == nullptr) {
      aFull.insert(service);
      aJob.avoided_.erase(index);
      continue;
    }
    StartRun(aId, aJob, index, *upstream);
  }
}

HttpCall
JobRunner::MakeCall(const OwnedJob& aJob,
                    ItemIndex aItem,
                    const UpstreamEntry& aUpstream) const
{
  const WireNames& names = host_.Formats().Names();
  const JobItem& item = aJob.ledger_.Spec().items_[aItem];
  const Duration left = aJob.deadline_ - host_.Now();
  HttpCall call;
  call.method_ = "POST";
  call.url_ = "http://" + aUpstream.address_ + item.path_;
  for (const auto& [name, value] : item.headers_) {
    call.headers_.push_back({ name, value });
  }
  call.headers_.push_back({ "Host", aJob.host_ });
  call.headers_.push_back({ names.attempt_, item.id_.Get() });
  call.headers_.push_back({ names.deadline_, std::to_string(Millis(left)) });
  call.headers_.push_back({ names.expectUpstream_, aUpstream.id_.Get() });
  const std::uint64_t lastEvent = aJob.ledger_.Text(aItem).lastEvent_;
  if (lastEvent > 0) {
    call.headers_.push_back({ names.lastEvent_, std::to_string(lastEvent) });
  }
  call.body_ = item.body_;
  call.timeout_ = left;
  call.connectTimeout_ = kConnectTimeout;
  return call;
}

void
JobRunner::StartRun(const JobId& aId,
                    OwnedJob& aJob,
                    ItemIndex aItem,
                    const BoardUpstream& aUpstream)
{
  const JobItem& item = aJob.ledger_.Spec().items_[aItem];
  const RunId id = ++lastRun_;
  Run& run = runs_[id];
  run.job_ = aId;
  run.item_ = aItem;
  run.upstream_ = aUpstream.entry_.id_;
  run.parser_ = EventStreamParser(host_.Formats().Names().versionField_);
  run.lastProgress_ = host_.Now();
  aJob.runs_[aItem] = id;
  aJob.places_[item.group_] = run.upstream_;
  LogEvent(
    LogLevel::Debug,
    "item_sent",
    { { "item", item.id_.Get() },
      { "job", aId.Get() },
      { "upstream", run.upstream_.Get() },
      { "after_event", std::to_string(aJob.ledger_.Text(aItem).lastEvent_) } });
  HttpCall call = MakeCall(aJob, aItem, aUpstream.entry_);
  call.onHead_ = [this, id](int aStatus, const HttpHeaders& aHeaders) {
    OnHead(id, aStatus, aHeaders);
  };
  call.onData_ = [this, id](std::string_view aData) {
    return OnData(id, aData);
  };
  aJob.ledger_.OnStarted(aItem);
  board_.OnStart(run.upstream_);
  run.call_ =
    host_.Client().Send(std::move(call), [this, id](const HttpResult& aResult) {
      OnRunEnd(id, aResult);
    });
  WatchRuns();
}

void
JobRunner::OnHead(RunId aId, int aStatus, const HttpHeaders& aHeaders)
{
  const auto it = runs_.find(aId);
  if (it == runs_.end()) {
    return;
  }
  Run& run = it->second;
  const WireNames& names = host_.Formats().Names();
  const JobItem& item = jobs_.at(run.job_).ledger_.Spec().items_[run.item_];
  const auto echo = FindHeader(aHeaders, names.attempt_);
  run.status_ = aStatus;
  run.notRun_ = FindHeader(aHeaders, names.notRun_).has_value();
  if (echo && *echo != item.id_.Get()) {
    run.fault_ = "the answer belongs to another request";
  } else if (aStatus == 200 && !FindHeader(aHeaders, names.signature_)) {
    run.fault_ = "the answer is not signed";
  }
  const auto version = ParseNumber(
    FindHeader(aHeaders, names.versions_).value_or(""), 0, UINT64_MAX);
  run.version_ = WeightVersion{ version.value_or(0) };
}

bool
JobRunner::OnData(RunId aId, std::string_view aData)
{
  const auto it = runs_.find(aId);
  if (it == runs_.end() || !it->second.fault_.empty()) {
    return false;
  }
  Run& run = it->second;
  if (run.status_ != 200) {
    return true;
  }
  const auto events = run.parser_.FeedEvents(aData);
  if (!events) {
    run.fault_ = events.error().message_;
    return false;
  }
  for (const ServerEvent& event : events.value()) {
    if (!OnEvent(run, event)) {
      return false;
    }
  }
  return true;
}

bool
JobRunner::OnEvent(Run& aRun, const ServerEvent& aEvent)
{
  if (aEvent.label_) {
    aRun.version_ = WeightVersion{ *aEvent.label_ };
  }
  OwnedJob& job = jobs_.at(aRun.job_);
  const auto taken = job.ledger_.OnEvent(aRun.item_, aEvent, aRun.version_);
  if (!taken) {
    aRun.fault_ = taken.error().message_;
    return false;
  }
  const TimePoint now = host_.Now();
  if (aRun.events_++ > 0) {
    board_.OnPace(aRun.upstream_, now - aRun.lastProgress_);
  } else {
    board_.OnVersion(aRun.upstream_, job.ledger_.Spec().model_, aRun.version_);
  }
  aRun.lastProgress_ = now;
  return true;
}

void
JobRunner::OnRunEnd(RunId aId, const HttpResult& aResult)
{
  auto node = runs_.extract(aId);
  if (node.empty()) {
    return;
  }
  const Run& run = node.mapped();
  const JobId id = run.job_;
  OwnedJob& job = jobs_.at(id);
  job.runs_.erase(run.item_);
  SettleRun(run, job, aResult);
  Advance(id, job);
}

void
JobRunner::SettleRun(const Run& aRun, OwnedJob& aJob, const HttpResult& aResult)
{
  const TimePoint now = host_.Now();
  const bool whole = aResult.end_ == HttpEnd::Whole && aRun.fault_.empty();
  if (whole && aRun.status_ == 200 && !aRun.parser_.Partial() &&
      aRun.events_ > 0) {
    board_.OnEnd(aRun.upstream_, CallVerdict::Answered, now);
    aJob.ledger_.OnWhole(aRun.item_, now);
    LogEvent(LogLevel::Debug,
             "item_whole",
             { { "item", aJob.ledger_.Spec().items_[aRun.item_].id_.Get() },
               { "job", aRun.job_.Get() },
               { "upstream", aRun.upstream_.Get() },
               { "events", std::to_string(aRun.events_) } });
    return;
  }
  LogEvent(LogLevel::Info,
           "run_interrupted",
           { { "item", aJob.ledger_.Spec().items_[aRun.item_].id_.Get() },
             { "job", aRun.job_.Get() },
             { "upstream", aRun.upstream_.Get() },
             { "status", std::to_string(aRun.status_) },
             { "not_run", aRun.notRun_ ? "yes" : "no" },
             { "events", std::to_string(aRun.events_) },
             { "fault", aRun.fault_ },
             { "error", aResult.message_ } });
  if (whole && (aRun.notRun_ || aRun.status_ == 421)) {
    if (aRun.status_ == 421) {
      board_.OnReplaced(aRun.upstream_, now);
    }
    board_.OnEnd(aRun.upstream_, CallVerdict::Loading, now);
    aJob.ledger_.OnInterrupted(aRun.item_);
  } else if (whole && aRun.status_ == 500) {
    board_.OnEnd(aRun.upstream_, CallVerdict::Answered, now);
    aJob.ledger_.OnRunFailed(aRun.item_, now);
  } else if (whole && aRun.status_ == 422) {
    board_.OnEnd(aRun.upstream_, CallVerdict::Answered, now);
    aJob.ledger_.OnImpossible(aRun.item_, now);
  } else {
    board_.OnEnd(aRun.upstream_, CallVerdict::Failed, now);
    aJob.ledger_.OnInterrupted(aRun.item_);
    aJob.avoided_[aRun.item_] = aRun.upstream_;
  }
}

void
JobRunner::StopRun(RunId aId, CallVerdict aVerdict)
{
  auto node = runs_.extract(aId);
  if (node.empty()) {
    return;
  }
  const Run& run = node.mapped();
  OwnedJob& job = jobs_.at(run.job_);
  job.runs_.erase(run.item_);
  job.ledger_.OnInterrupted(run.item_);
  board_.OnEnd(run.upstream_, aVerdict, host_.Now());
  host_.Client().Cancel(run.call_);
}

void
JobRunner::WatchRuns()
{
  if (checkTimer_ == 0) {
    checkTimer_ = host_.Timers().After(kCheckPause, [this] {
      checkTimer_ = 0;
      CheckRuns();
    });
  }
}

bool
JobRunner::Stalled(const Run& aRun) const
{
  const BoardUpstream* upstream = board_.Find(aRun.upstream_);
  if (upstream == nullptr || aRun.events_ == 0) {
    return false;
  }
  const Duration stall =
    std::max<Duration>(kLeastStall, upstream->pace_ * kStallPaces);
  return host_.Now() - aRun.lastProgress_ > stall;
}

bool
JobRunner::ShouldMove(const Run& aRun) const
{
  if (!board_.Slow(aRun.upstream_) && !Stalled(aRun)) {
    return false;
  }
  const OwnedJob& job = jobs_.at(aRun.job_);
  const JobSpec& spec = job.ledger_.Spec();
  const Route* route = routes_.Match(job.host_, spec.items_[aRun.item_].path_);
  if (route == nullptr) {
    return false;
  }
  const BoardUpstream* self = board_.Find(aRun.upstream_);
  const BoardUpstream* other = board_.PickForItem({ self->entry_.service_,
                                                    spec.model_,
                                                    spec.minVersion_,
                                                    {},
                                                    aRun.upstream_ },
                                                  host_.Now());
  return other != nullptr && !board_.Slow(other->entry_.id_);
}

void
JobRunner::CheckRuns()
{
  const TimePoint now = host_.Now();
  std::vector<RunId> silent;
  std::vector<RunId> slow;
  for (const auto& [id, run] : runs_) {
    const Duration allowed =
      run.events_ == 0 ? Duration{ kFirstSilence } : Duration{ kSilence };
    if (now - run.lastProgress_ > allowed) {
      silent.push_back(id);
    } else if (ShouldMove(run)) {
      slow.push_back(id);
    }
  }
  for (const RunId id : silent) {
    const Run& run = runs_.at(id);
    LogEvent(
      LogLevel::Info,
      "run_silent",
      { { "item",
          jobs_.at(run.job_).ledger_.Spec().items_[run.item_].id_.Get() },
        { "upstream", run.upstream_.Get() },
        { "events", std::to_string(run.events_) } });
    jobs_.at(run.job_).avoided_[run.item_] = run.upstream_;
    StopRun(id, CallVerdict::Failed);
  }
  // One after the other: each move changes what is free.
  for (const RunId id : slow) {
    const Run& run = runs_.at(id);
    if (!ShouldMove(run)) {
      continue;
    }
    LogEvent(
      LogLevel::Info,
      "run_moved",
      { { "item",
          jobs_.at(run.job_).ledger_.Spec().items_[run.item_].id_.Get() },
        { "upstream", run.upstream_.Get() },
        { "events", std::to_string(run.events_) } });
    jobs_.at(run.job_).avoided_[run.item_] = run.upstream_;
    StopRun(id, CallVerdict::Abandoned);
    Dispatch();
  }
  Dispatch();
  if (!runs_.empty()) {
    WatchRuns();
  }
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
  aJob.ledger_.OnScoreAsked(aItem);
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
    if (job.ended_ || job.ledger_.Done()) {
      continue;
    }
    const bool ready = !job.ledger_.Listable(now).empty();
    const Duration pause = job.ledger_.FewLeft() ? Duration{ kLastFlushPause }
                                                 : Duration{ kFlushPause };
    due = std::min(due, ready ? now + pause : job.ledger_.NextDue());
    if (!job.runs_.empty()) {
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
    if (job.ended_ || batch.writes_.size() == kJobsAtOnce) {
      continue;
    }
    job.ledger_.GiveUpLate(now);
    const std::vector<ItemIndex> items = job.ledger_.Listable(now);
    const bool partials = !job.runs_.empty() && PartialsDue(job);
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
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) {
      continue;
    }
    it->second.ledger_.OnListed(batch.items_[i]);
    if (onListed_) {
      onListed_(id);
    }
  }
  PlanFlush();
}

void
JobRunner::SettleBatch()
{
  // Each job is looked at alone: its record at this position either is ours
  // or another owner stands behind the comparison that failed.
  auto batch = std::make_shared<Batch>(std::move(*batch_));
  batch_ = Batch{};
  auto left = std::make_shared<std::size_t>(batch->writes_.size());
  const auto finish = [this, left] {
    if (--*left == 0) {
      batch_.reset();
      PlanFlush();
      if (givingBack_) {
        GiveBackJobs();
      }
    }
  };
  for (std::size_t i = 0; i < batch->writes_.size(); ++i) {
    const ResultsWrite& write = batch->writes_[i];
    const std::string key = job_keys::ResultsAt(write.job_, write.position_);
    host_.PlatformStore().Read(
      key, [this, batch, i, finish](const Result<StoreRange>& aRange) {
        const ResultsWrite& mine = batch->writes_[i];
        const auto it = jobs_.find(mine.job_);
        const bool found =
          !mine.record_.empty() && aRange && !aRange.value().records_.empty();
        if (it != jobs_.end() && found) {
          if (aRange.value().records_.front().value_ == mine.record_) {
            it->second.ledger_.OnListed(batch->items_[i]);
            if (onListed_) {
              onListed_(mine.job_);
            }
          } else {
            Drop(mine.job_);
          }
        } else if (it != jobs_.end() && aRange) {
          store_.ReadOwner(
            mine.job_,
            [this, batch, i](const Result<std::optional<StoreRecord>>& aOwner) {
              const ResultsWrite& lost = batch->writes_[i];
              if (aOwner && (!aOwner.value() || aOwner.value()->modRevision_ !=
                                                  lost.fence_.Get())) {
                Drop(lost.job_);
              }
            });
        }
        finish();
      });
  }
}

} // namespace marjoramtally
