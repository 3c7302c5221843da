#include "programs/gatewayd/job_runner.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// A stream without events for this many times its upstream's pace moves to
/// another upstream with free slots. A change of weights pauses runs for 0.9
/// s, and another upstream processes the prompt again in a few milliseconds.
constexpr std::int64_t kStallPaceFactor = 6;
constexpr auto kMinStall = std::chrono::milliseconds(200);
/// Time limit for the first event. The stream may be queued for a slot at its
/// upstream behind items of other gateways, and moving it would put it at the
/// end of another queue.
constexpr auto kFirstEventTimeout = std::chrono::milliseconds(3000);
/// A stream without a first event moves after this shorter time if its
/// upstream is unresponsive and another has free slots, since all upstreams of
/// an isolated zone are affected.
constexpr auto kUnresponsiveTimeout = std::chrono::milliseconds(600);
/// Most texts are complete by this age; one that is not takes some seconds
/// more.
constexpr auto kLongRunAge = std::chrono::milliseconds(1200);
/// Maximum size of an answer that reports a failure.
constexpr std::size_t kMaxErrorBytes = 64U << 10U;
constexpr auto kRunCheckInterval = std::chrono::milliseconds(120);

} // namespace

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
  HttpHeaders own;
  for (const auto& [name, value] : item.headers_) {
    own.push_back({ name, value });
  }
  // Fields that frame the message or are set below would change or double it.
  call.headers_ = ForwardableHeaders(own, names);
  std::erase_if(call.headers_, [&](const HttpHeader& aHeader) {
    return IsNamed(aHeader, "Host") || IsNamed(aHeader, names.attempt_) ||
           IsNamed(aHeader, names.lastEvent_);
  });
  if (routes_.RequiresKeys() || !aJob.customer_.Get().empty()) {
    SetCustomer(call.headers_, names, aJob.customer_);
  }
  call.headers_.push_back({ "Host", aJob.host_ });
  call.headers_.push_back({ names.attempt_, item.id_.Get() });
  call.headers_.push_back(
    { names.deadline_, std::to_string(WholeMillis(left)) });
  call.headers_.push_back({ names.expectUpstream_, aUpstream.id_.Get() });
  const std::uint64_t lastEvent = aJob.ledger_.Text(aItem).lastEvent_;
  if (lastEvent > 0) {
    call.headers_.push_back({ names.lastEvent_, std::to_string(lastEvent) });
  }
  call.body_ = item.body_;
  call.timeout_ = left;
  call.connectTimeout_ = kUpstreamConnectTimeout;
  call.mayResend_ = true;
  // On a reused connection, a duplicate answer to the failed run would count
  // as a failure of the next run.
  call.newConnection_ = aJob.ledger_.RunFailed(aItem);
  return call;
}

void
JobRunner::StartRun(const JobId& aId,
                    OwnedJob& aJob,
                    ItemIndex aItem,
                    const TrackedUpstream& aUpstream)
{
  const JobItem& item = aJob.ledger_.Spec().items_[aItem];
  const RunId id = ++lastRun_;
  Run& run = runs_[id];
  run.job_ = aId;
  run.item_ = aItem;
  run.upstream_ = aUpstream.entry_.id_;
  run.parser_ = EventStreamParser(host_.Formats().Names().versionField_);
  run.lastProgress_ = host_.Now();
  run.started_ = host_.Now();
  aJob.runs_[aItem] = id;
  aJob.groupUpstreams_[item.group_] = run.upstream_;
  LogEvent(
    LogLevel::Debug,
    "item_sent",
    { { "item", item.id_.Get() },
      { "job", aId.Get() },
      { "upstream", run.upstream_.Get() },
      { "after_event", std::to_string(aJob.ledger_.Text(aItem).lastEvent_) } });
  HttpCall call = MakeCall(aJob, aItem, aUpstream.entry_);
  call.onHead_ = [this, id](int aStatus, const HttpHeaders& aHeaders) {
    return OnHead(id, aStatus, aHeaders);
  };
  call.onData_ = [this, id](std::string_view aData) {
    return OnData(id, aData);
  };
  aJob.ledger_.OnStarted(aItem);
  upstreamTable_.OnStart(run.upstream_, host_.Now());
  run.call_ =
    host_.Client().Send(std::move(call), [this, id](const HttpResult& aResult) {
      OnRunEnd(id, aResult);
    });
  ScheduleRunCheck();
}

bool
JobRunner::OnHead(RunId aId, int aStatus, const HttpHeaders& aHeaders)
{
  const auto it = runs_.find(aId);
  if (it == runs_.end()) {
    return false;
  }
  Run& run = it->second;
  upstreamTable_.OnReceived(run.upstream_, host_.Now());
  RecordLoad(host_, upstreamTable_, run.upstream_, aHeaders);
  const WireNames& names = host_.Formats().Names();
  const JobItem& item = jobs_.at(run.job_).ledger_.Spec().items_[run.item_];
  const auto echo = FindHeader(aHeaders, names.attempt_);
  run.status_ = aStatus;
  run.notRun_ = FindHeader(aHeaders, names.notRun_).has_value();
  // The same checks as for requests (`Forwarder::RejectReason`). A duplicate
  // answer without an id might also make an incomplete text appear complete.
  if (echo.value_or("") != item.id_.Get()) {
    run.fault_ = echo ? "the answer belongs to another request"
                      : "the answer does not contain the item's id";
  } else if (aStatus == 200 &&
             FindHeader(aHeaders, names.signature_).value_or("").empty()) {
    run.fault_ = "the answer is not signed";
  }
  const auto version = ParseNumber(
    FindHeader(aHeaders, names.versions_).value_or(""), 0, UINT64_MAX);
  if (aStatus == 200 && !version && run.fault_.empty()) {
    run.fault_ = "the answer does not tell which weights made it";
  }
  run.version_ = WeightVersion{ version.value_or(0) };
  return run.fault_.empty();
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
    run.skippedBytes_ += aData.size();
    if (run.skippedBytes_ > kMaxErrorBytes) {
      run.fault_ = "the answer is too long";
    }
    return run.fault_.empty();
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
  upstreamTable_.OnReceived(aRun.upstream_, now);
  if (aRun.events_++ > 0) {
    upstreamTable_.OnPace(aRun.upstream_, now - aRun.lastProgress_);
  } else {
    upstreamTable_.OnVersion(
      aRun.upstream_, job.ledger_.Spec().model_, aRun.version_);
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
  FinishRun(run, job, aResult);
  Advance(id, job);
}

void
JobRunner::FinishRun(const Run& aRun, OwnedJob& aJob, const HttpResult& aResult)
{
  const TimePoint now = host_.Now();
  const bool complete =
    aResult.end_ == HttpEnd::Complete && aRun.fault_.empty();
  CountCutResponse(host_, aResult);
  LogUnframedAnswer(
    RequestId{ aJob.ledger_.Spec().items_[aRun.item_].id_.Get() },
    aRun.upstream_,
    aResult);
  if (aResult.opened_) {
    host_.Measures().Count("upstream_connections_total{for=\"items\"}");
  }
  if (complete && aRun.status_ == 200 && !aRun.parser_.Partial() &&
      aRun.events_ > 0) {
    upstreamTable_.OnEnd(aRun.upstream_, CallVerdict::Answered, now);
    host_.Measures().Count("runs_whole_total");
    aJob.ledger_.OnCompleted(aRun.item_, now);
    LogEvent(LogLevel::Debug,
             "item_whole",
             { { "item", aJob.ledger_.Spec().items_[aRun.item_].id_.Get() },
               { "job", aRun.job_.Get() },
               { "upstream", aRun.upstream_.Get() },
               { "events", std::to_string(aRun.events_) },
               { "port", std::to_string(aResult.localPort_) },
               { "first_on_connection", aResult.opened_ ? "yes" : "no" } });
    return;
  }
  if (complete && aRun.status_ == 200 && !aRun.parser_.Partial()) {
    const bool none = aJob.ledger_.Text(aRun.item_).lastEvent_ == 0;
    upstreamTable_.OnEnd(
      aRun.upstream_, none ? CallVerdict::Failed : CallVerdict::Answered, now);
    aJob.ledger_.OnEmptyContinuation(aRun.item_, now);
    aJob.avoided_[aRun.item_] = aRun.upstream_;
    return;
  }
  host_.Measures().Count("runs_interrupted_total");
  if (aRun.notRun_) {
    host_.Measures().Count("items_refused_total");
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
             { "error", aResult.message_ },
             { "port", std::to_string(aResult.localPort_) },
             { "first_on_connection", aResult.opened_ ? "yes" : "no" } });
  if (complete && (aRun.notRun_ || aRun.status_ == 421)) {
    if (aRun.status_ == 421) {
      upstreamTable_.OnReplaced(aRun.upstream_, now);
    }
    upstreamTable_.OnEnd(aRun.upstream_, CallVerdict::Loading, now);
    aJob.ledger_.OnInterrupted(aRun.item_);
  } else if (complete && aRun.status_ == 500) {
    upstreamTable_.OnEnd(aRun.upstream_, CallVerdict::Answered, now);
    aJob.ledger_.OnRunFailed(aRun.item_, now);
  } else if (complete && aRun.status_ == 422) {
    upstreamTable_.OnEnd(aRun.upstream_, CallVerdict::Answered, now);
    aJob.ledger_.OnPermanentFailure(aRun.item_, now);
  } else {
    upstreamTable_.OnEnd(aRun.upstream_, CallVerdict::Failed, now);
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
  upstreamTable_.OnEnd(run.upstream_, aVerdict, host_.Now());
  host_.Client().Cancel(run.call_);
}

void
JobRunner::OnUpstreamRestarted(const UpstreamId& aUpstream)
{
  std::vector<RunId> lost;
  for (const auto& [id, run] : runs_) {
    if (run.upstream_ == aUpstream &&
        host_.Now() - run.lastProgress_ >= Duration{ kRestartIdleTime }) {
      lost.push_back(id);
    }
  }
  for (const RunId id : lost) {
    const Run& run = runs_.at(id);
    LogEvent(
      LogLevel::Info,
      "run_lost",
      { { "item",
          jobs_.at(run.job_).ledger_.Spec().items_[run.item_].id_.Get() },
        { "upstream", aUpstream.Get() },
        { "events", std::to_string(run.events_) },
        { "why", "the upstream has restarted" } });
    StopRun(id, CallVerdict::Abandoned);
  }
  Dispatch();
}

std::map<UpstreamId, std::uint32_t>
JobRunner::LongRuns() const
{
  std::map<UpstreamId, std::uint32_t> runs;
  for (const auto& [id, run] : runs_) {
    if (host_.Now() - run.started_ >= Duration{ kLongRunAge }) {
      ++runs[run.upstream_];
    }
  }
  return runs;
}

void
JobRunner::ScheduleRunCheck()
{
  if (checkTimer_ == 0) {
    checkTimer_ = host_.Timers().After(kRunCheckInterval, [this] {
      checkTimer_ = 0;
      CheckRuns();
    });
  }
}

bool
JobRunner::Stalled(const Run& aRun) const
{
  const TrackedUpstream* upstream = upstreamTable_.Find(aRun.upstream_);
  if (upstream == nullptr || aRun.events_ == 0) {
    return false;
  }
  const Duration stall =
    std::max<Duration>(kMinStall, upstream->pace_ * kStallPaceFactor);
  return host_.Now() - aRun.lastProgress_ > stall;
}

bool
JobRunner::Unanswered(const Run& aRun) const
{
  const TrackedUpstream* upstream = upstreamTable_.Find(aRun.upstream_);
  return upstream != nullptr && aRun.events_ == 0 &&
         host_.Now() - aRun.lastProgress_ > Duration{ kUnresponsiveTimeout } &&
         upstreamTable_.Unresponsive(*upstream, host_.Now());
}

bool
JobRunner::ShouldMove(const Run& aRun) const
{
  if (!upstreamTable_.Slow(aRun.upstream_) && !Stalled(aRun) &&
      !Unanswered(aRun)) {
    return false;
  }
  const OwnedJob& job = jobs_.at(aRun.job_);
  const JobSpec& spec = job.ledger_.Spec();
  const Route* route = routes_.Match(job.host_, spec.items_[aRun.item_].path_);
  if (route == nullptr) {
    return false;
  }
  const TrackedUpstream* self = upstreamTable_.Find(aRun.upstream_);
  const TrackedUpstream* other =
    upstreamTable_.PickForItem({ self->entry_.service_,
                                 spec.model_,
                                 spec.minVersion_,
                                 {},
                                 aRun.upstream_ },
                               host_.Now());
  if (other == nullptr || upstreamTable_.Slow(other->entry_.id_) ||
      upstreamTable_.Unresponsive(*other, host_.Now())) {
    return false;
  }
  // An unanswered run moves only to an upstream that has responded while the
  // run waited.
  return !Unanswered(aRun) || other->lastReceivedAt_ > aRun.lastProgress_;
}

void
JobRunner::CheckRuns()
{
  const TimePoint now = host_.Now();
  std::vector<RunId> idle;
  std::vector<RunId> slow;
  for (const auto& [id, run] : runs_) {
    const Duration allowed = run.events_ == 0 ? Duration{ kFirstEventTimeout }
                                              : Duration{ kStreamStallTimeout };
    if (now - run.lastProgress_ > allowed) {
      idle.push_back(id);
    } else if (ShouldMove(run)) {
      slow.push_back(id);
    }
  }
  for (const RunId id : idle) {
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
  // Moved one at a time, because each move changes which slots are free.
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
    // An upstream whose run has stalled gets no other item for a while.
    const bool still = Stalled(run) || Unanswered(run);
    StopRun(id, still ? CallVerdict::Loading : CallVerdict::Abandoned);
    Dispatch();
  }
  Dispatch();
  if (!runs_.empty()) {
    ScheduleRunCheck();
  }
}

} // namespace marjoramtally
