#include "programs/entryd/claim_gate.hpp"

#include <array>
#include <random>

namespace marjoramtally {

namespace {

constexpr std::string_view kClaimPrefix = "/marjoramtally/claims/";
/// Terminates names in keys: reads match by prefix and must not return the
/// records of longer names.
constexpr std::string_view kKeyTerminator = ".";
/// Time for which new claims share one lease before another is granted.
constexpr auto kLeaseRotation = std::chrono::hours(1);
constexpr auto kLeaseRetry = std::chrono::seconds(1);
constexpr auto kTickPeriod = std::chrono::milliseconds(50);
/// Maximum rate of claim transactions of all entry instances together.
constexpr std::int64_t kMaxCommitsPerSecond = 150;

std::string
MakeUniqueOwner(const std::string& aInstance)
{
  std::random_device device;
  return aInstance + "." + std::to_string(device()) + std::to_string(device());
}

CommitResult
ToCommitResult(const Result<StoreCommit>& aResult)
{
  if (!aResult) {
    // `NotFound`: the lease does not exist, so no write took effect.
    const ErrorKind kind = aResult.error().kind_;
    const bool noEffect =
      kind == ErrorKind::Unavailable || kind == ErrorKind::NotFound;
    return noEffect ? CommitResult::NoEffect : CommitResult::Unknown;
  }
  return aResult.value().applied_ ? CommitResult::Applied
                                  : CommitResult::Conflict;
}

/// The HTTP form of an answer to a claim.
struct ResponseForm
{
  int status_;
  std::string_view kind_;
  Outcome outcome_;
  bool retryAfter_;
};

constexpr std::array<ResponseForm, 6> kResponseForms{ {
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
  const ResponseForm& form =
    kResponseForms.at(static_cast<std::size_t>(aVerdict.answer_));
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
  , table_(MakeUniqueOwner(aHost.Settings().instance_))
{
}

void
ClaimGate::Start()
{
  host_.ClusterState().OnRefresh(
    [this](const ClusterViewPtr& aView) { UpdateCommitInterval(*aView); });
  host_.TimerQueue().Every(kTickPeriod, [this] { Tick(); });
}

void
ClaimGate::UpdateCommitInterval(const ClusterView& aView)
{
  std::int64_t entries = 0;
  for (const auto& [id, instance] : aView.instances_) {
    entries += instance.role_ == "entry" ? 1 : 0;
  }
  const std::lock_guard lock(mutex_);
  table_.SetMinCommitInterval(Duration(std::chrono::seconds(1)) * entries /
                              kMaxCommitsPerSecond);
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
    if (granting_ || host_.Now() < nextGrant_) {
      return;
    }
    granting_ = true;
  }
  host_.PlatformStore().GrantLease(
    host_.Settings().claimWindow_ + kLeaseRotation,
    [this](const Result<StoreLease>& aLease) {
      const std::lock_guard lock(mutex_);
      granting_ = false;
      nextGrant_ = host_.Now() +
                   (aLease ? Duration(kLeaseRotation) : Duration(kLeaseRetry));
      if (aLease) {
        lease_ = aLease.value().id_;
      }
    });
}

void
ClaimGate::Claim(const RequestSpec& aSpec, VerdictCallback aOnVerdict)
{
  ClaimRequest request;
  request.name_ = ClaimName(aSpec.service_, aSpec.key_);
  request.fingerprint_ = Fingerprint{ aSpec.fingerprint_ };
  request.deadline_ = aSpec.deadline_;
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    request.ticket_ = ClaimTicket{ ++lastTicket_ };
    pendingClaims_.emplace(
      request.ticket_, PendingClaim{ request.name_, std::move(aOnVerdict) });
    actions = table_.Claim(std::move(request), host_.Now());
  }
  Perform(std::move(actions));
}

void
ClaimGate::RecordOutcome(const RequestSpec& aSpec,
                         Outcome aOutcome,
                         int aStatus,
                         RecordedCallback aOnRecorded)
{
  const std::string name = ClaimName(aSpec.service_, aSpec.key_);
  ClaimActions actions;
  {
    const std::lock_guard lock(mutex_);
    const auto node = runningTickets_.extract(name);
    recordCallbacks_.emplace(node.mapped(), std::move(aOnRecorded));
    actions = table_.OnRunEnd(name, aOutcome, aStatus, host_.Now());
  }
  Perform(std::move(actions));
}

std::size_t
ClaimGate::OpenCount() const
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
    DeliverVerdict(verdict);
  }
  for (const ClaimTicket ticket : aActions.closed_) {
    RecordedCallback recorded;
    {
      const std::lock_guard lock(mutex_);
      recorded = std::move(recordCallbacks_.extract(ticket).mapped());
    }
    recorded();
  }
}

void
ClaimGate::DeliverVerdict(const ClaimVerdict& aVerdict)
{
  const bool runs = aVerdict.answer_ == ClaimAnswer::Run;
  PendingClaim claim;
  {
    const std::lock_guard lock(mutex_);
    claim = std::move(pendingClaims_.extract(aVerdict.ticket_).mapped());
    if (runs) {
      runningTickets_[claim.name_] = aVerdict.ticket_;
    }
  }
  const std::string_view kind =
    runs ? "run"
         : kResponseForms.at(static_cast<std::size_t>(aVerdict.answer_)).kind_;
  host_.Measures().Count("marjoram_claims_total{answer=\"" + std::string(kind) +
                         "\"}");
  claim.onVerdict_(aVerdict);
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
      std::string(kClaimPrefix) + write.name_ + std::string(kKeyTerminator);
    txn.compares_.push_back({ key, write.expected_ });
    if (write.value_.empty()) {
      txn.deletes_.push_back(key);
    } else {
      txn.puts_.push_back({ key, write.value_, lease });
    }
  }
  if (lease == 0) {
    OnCommitted(aBatch.id_,
                Error{ ErrorKind::Unavailable,
                       "no store lease for claims has been granted yet" });
    return;
  }
  host_.Measures().Count("marjoram_claim_commits_total");
  host_.Measures().Count("marjoram_claim_writes_total", aBatch.writes_.size());
  host_.PlatformStore().Commit(
    std::move(txn),
    [this, id = aBatch.id_](const Result<StoreCommit>& aResult) {
      OnCommitted(id, aResult);
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
      nextGrant_ = host_.Now();
    }
    actions = table_.OnCommit(aId,
                              ToCommitResult(aResult),
                              aResult ? aResult.value().revision_ : 0,
                              host_.Now());
  }
  Perform(std::move(actions));
}

void
ClaimGate::ReadBack(const std::string& aName)
{
  const std::string key =
    std::string(kClaimPrefix) + aName + std::string(kKeyTerminator);
  host_.PlatformStore().Read(
    key, [this, aName](const Result<StoreRange>& aRange) {
      ClaimReadResult readResult;
      readResult.failed_ = !aRange;
      if (aRange && !aRange.value().records_.empty()) {
        const StoreRecord& record = aRange.value().records_.front();
        readResult.record_ = DecodeClaim(record.value_);
        readResult.revision_ = record.modRevision_;
      }
      ClaimActions actions;
      {
        const std::lock_guard lock(mutex_);
        actions = table_.OnRead(aName, readResult, host_.Now());
      }
      Perform(std::move(actions));
    });
}

} // namespace marjoramtally
