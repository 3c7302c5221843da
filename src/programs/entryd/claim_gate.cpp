#include "programs/entryd/claim_gate.hpp"

#include <array>
#include <random>

namespace marjoramtally {

namespace {

constexpr std::string_view kClaimPrefix = "/marjoramtally/claims/";
/// Ends names, so that reading one does not read longer ones.
constexpr std::string_view kNameEnd = ".";
/// One lease serves all claims of this long, then a new one is taken.
constexpr auto kLeaseRotation = std::chrono::hours(1);
constexpr auto kLeaseRetry = std::chrono::seconds(1);
constexpr auto kTick = std::chrono::milliseconds(50);
/// Claim transactions a second that all entries together may make.
constexpr std::int64_t kCommitsPerSecond = 150;

std::string
UniqueOwner(const std::string& aInstance)
{
  std::random_device device;
  return aInstance + "." + std::to_string(device()) + std::to_string(device());
}

CommitResult
EndOf(const Result<StoreCommit>& aResult)
{
  if (!aResult) {
    // `NotFound`: the lease is gone, so no write took effect.
    const ErrorKind kind = aResult.error().kind_;
    const bool proven =
      kind == ErrorKind::Unavailable || kind == ErrorKind::NotFound;
    return proven ? CommitResult::NoEffect : CommitResult::Unknown;
  }
  return aResult.value().applied_ ? CommitResult::Applied
                                  : CommitResult::Conflict;
}

/// How an answer looks to its caller.
struct AnswerForm
{
  int status_;
  std::string_view kind_;
  Outcome outcome_;
  bool retryAfter_;
};

constexpr std::array<AnswerForm, 6> kForms{ {
  { 500, "internal", Outcome::Unknown, false },
  { 503, "refused-not-run", Outcome::RefusedNotRun, true },
  { 409, "key_reused", Outcome::RefusedNotRun, false },
  { 409, "in_progress", Outcome::Unknown, true },
  { 409, "already_ran", Outcome::Completed, false },
  { 409, "may_have_run", Outcome::Unknown, false },
} };

} // namespace

HttpResponse
MakeClaimResponse(const ClaimVerdict& aVerdict)
{
  const AnswerForm& form =
    kForms.at(static_cast<std::size_t>(aVerdict.answer_));
  HttpResponse response =
    ErrorResponse(form.status_, form.kind_, aVerdict.reason_);
  response.headers_.push_back(
    { std::string(kOutcomeHeader), std::string(ToString(form.outcome_)) });
  if (form.retryAfter_) {
    response.headers_.push_back({ "Retry-After", "1" });
  }
  if (aVerdict.status_ != 0) {
    response.headers_.push_back(
      { "X-Original-Status", std::to_string(aVerdict.status_) });
  }
  return response;
}

ClaimGate::ClaimGate(Host& aHost)
  : host_(aHost)
  , table_(UniqueOwner(aHost.Settings().instance_))
{
}

void
ClaimGate::Start()
{
  host_.ClusterState().OnRefresh(
    [this](const ClusterViewPtr& aView) { FitGap(*aView); });
  host_.TimerQueue().Every(kTick, [this] { Tick(); });
}

void
ClaimGate::FitGap(const ClusterView& aView)
{
  std::int64_t entries = 0;
  for (const auto& [id, instance] : aView.instances_) {
    entries += instance.role_ == "entry" ? 1 : 0;
  }
  const std::lock_guard lock(mutex_);
  table_.SetMinCommitInterval(Duration(std::chrono::seconds(1)) * entries /
                              kCommitsPerSecond);
}

void
ClaimGate::Tick()
{
  EnsureLease();
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = table_.Tick(host_.Now());
  }
  Perform(std::move(actions));
}

void
ClaimGate::EnsureLease()
{
  {
    const std::lock_guard lock(mutex_);
    if (granting_ || host_.Now() < leaseDue_) {
      return;
    }
    granting_ = true;
  }
  host_.PlatformStore().GrantLease(
    host_.Settings().claimWindow_ + kLeaseRotation,
    [this](const Result<StoreLease>& aLease) {
      const std::lock_guard lock(mutex_);
      granting_ = false;
      leaseDue_ = host_.Now() +
                  (aLease ? Duration(kLeaseRotation) : Duration(kLeaseRetry));
      if (aLease) {
        lease_ = aLease.value().id_;
      }
    });
}

void
ClaimGate::Ask(const RequestSpec& aSpec, Decided aDecided)
{
  ClaimRequest ask;
  ask.name_ = ClaimName(aSpec.service_, aSpec.key_);
  ask.fingerprint_ = Fingerprint{ aSpec.fingerprint_ };
  ask.deadline_ = aSpec.deadline_;
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    ask.ticket_ = ClaimTicket{ ++lastTicket_ };
    asking_.emplace(ask.ticket_, Asking{ ask.name_, std::move(aDecided) });
    actions = table_.Claim(std::move(ask), host_.Now());
  }
  Perform(std::move(actions));
}

void
ClaimGate::End(const RequestSpec& aSpec,
               Outcome aOutcome,
               int aStatus,
               Recorded aRecorded)
{
  const std::string name = ClaimName(aSpec.service_, aSpec.key_);
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    const auto node = running_.extract(name);
    ending_.emplace(node.mapped(), std::move(aRecorded));
    actions = table_.OnRunEnd(name, aOutcome, aStatus, host_.Now());
  }
  Perform(std::move(actions));
}

std::size_t
ClaimGate::Open() const
{
  const std::lock_guard lock(mutex_);
  return table_.Open();
}

void
ClaimGate::Perform(ClaimActions aActions)
{
  for (ClaimBatch& batch : aActions.batches_) {
    Commit(std::move(batch));
  }
  for (const std::string& name : aActions.reads_) {
    ReadBack(name);
  }
  for (const ClaimVerdict& verdict : aActions.verdicts_) {
    Decide(verdict);
  }
  for (const ClaimTicket ticket : aActions.closed_) {
    Recorded recorded;
    {
      const std::lock_guard lock(mutex_);
      recorded = std::move(ending_.extract(ticket).mapped());
    }
    recorded();
  }
}

void
ClaimGate::Decide(const ClaimVerdict& aVerdict)
{
  const bool runs = aVerdict.answer_ == ClaimAnswer::Run;
  Asking asking;
  {
    const std::lock_guard lock(mutex_);
    asking = std::move(asking_.extract(aVerdict.ticket_).mapped());
    if (runs) {
      running_[asking.name_] = aVerdict.ticket_;
    }
  }
  const std::string_view kind =
    runs ? "run" : kForms.at(static_cast<std::size_t>(aVerdict.answer_)).kind_;
  host_.Measures().Count("marjoram_claims_total{answer=\"" + std::string(kind) +
                         "\"}");
  asking.decided_(aVerdict);
}

void
ClaimGate::Commit(ClaimBatch aBatch)
{
  StoreTxn txn;
  StoreLeaseId lease = 0;
  {
    const std::lock_guard lock(mutex_);
    lease = lease_;
  }
  for (const ClaimWrite& write : aBatch.writes_) {
    const std::string key =
      std::string(kClaimPrefix) + write.name_ + std::string(kNameEnd);
    txn.compares_.push_back({ key, write.expected_ });
    if (write.value_.empty()) {
      txn.deletes_.push_back(key);
    } else {
      txn.puts_.push_back({ key, write.value_, lease });
    }
  }
  if (lease == 0) {
    OnCommitted(aBatch.id_,
                Error{ ErrorKind::Unavailable, "no lease for claims yet" });
    return;
  }
  host_.Measures().Count("marjoram_claim_commits_total");
  host_.Measures().Count("marjoram_claim_writes_total", aBatch.writes_.size());
  host_.PlatformStore().Commit(
    std::move(txn), [this, id = aBatch.id_](const Result<StoreCommit>& aEnd) {
      OnCommitted(id, aEnd);
    });
}

void
ClaimGate::OnCommitted(ClaimBatchId aId, const Result<StoreCommit>& aResult)
{
  if (!aResult) {
    LogEvent(LogLevel::Warn,
             "claims_not_committed",
             { { "error", aResult.error().message_ } });
  }
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    if (!aResult && aResult.error().kind_ == ErrorKind::NotFound) {
      lease_ = 0;
      leaseDue_ = host_.Now();
    }
    actions = table_.OnCommit(aId,
                              EndOf(aResult),
                              aResult ? aResult.value().revision_ : 0,
                              host_.Now());
  }
  Perform(std::move(actions));
}

void
ClaimGate::ReadBack(const std::string& aName)
{
  const std::string key =
    std::string(kClaimPrefix) + aName + std::string(kNameEnd);
  host_.PlatformStore().Read(
    key, [this, aName](const Result<StoreRange>& aRange) {
      ClaimReadResult reading;
      reading.failed_ = !aRange;
      if (aRange && !aRange.value().records_.empty()) {
        const StoreRecord& record = aRange.value().records_.front();
        reading.record_ = DecodeClaim(record.value_);
        reading.revision_ = record.modRevision_;
      }
      ClaimActions actions;
      {
        const std::lock_guard lock(mutex_);
        actions = table_.OnRead(aName, reading, host_.Now());
      }
      Perform(std::move(actions));
    });
}

} // namespace marjoramtally
