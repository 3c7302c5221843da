#include "marjoramtally/process/quarantine.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr auto kSettlingText =
  "held back until the reports of its last crash have arrived; it was not run "
  "now";

} // namespace

std::string
Quarantine::DescribeRefusal(const std::vector<Crash>& aCrashes)
{
  std::string names;
  for (const Crash& crash : aCrashes) {
    names += (names.empty() ? "" : ", ") + crash.upstream_.Get();
  }
  return "quarantined: upstreams crashed each time while they ran this "
         "request (" +
         names + "); it was not run now";
}

TimePoint
Quarantine::LastActive(const Suspicion& aSuspicion) noexcept
{
  TimePoint last = aSuspicion.refusedUntil_;
  for (const Crash& crash : aSuspicion.crashes_) {
    last = std::max(last, crash.crashedAt_);
  }
  return last;
}

void
Quarantine::ForgetOldCrashes(Suspicion& aSuspicion, TimePoint aNow) const
{
  if (aNow < aSuspicion.refusedUntil_) {
    return;
  }
  std::erase_if(aSuspicion.crashes_, [&](const Crash& aCrash) {
    return aNow - aCrash.crashedAt_ >= options_.crashRetention_;
  });
}

template<typename Predicate>
void
Quarantine::Withdraw(Suspicion& aSuspicion,
                     TimePoint aNow,
                     Predicate aPredicate)
{
  if (std::erase_if(aSuspicion.crashes_, aPredicate) > 0) {
    aSuspicion.refusedUntil_ = std::min(aSuspicion.refusedUntil_, aNow);
    aSuspicion.quarantines_ = 0;
  }
}

std::size_t
Quarantine::ProvenCrashes(const Suspicion& aSuspicion) const
{
  return static_cast<std::size_t>(
    std::count_if(aSuspicion.crashes_.begin(),
                  aSuspicion.crashes_.end(),
                  [](const Crash& aCrash) { return aCrash.proven_; }));
}

Duration
Quarantine::SettlingTimeLeft(const Suspicion& aSuspicion, TimePoint aNow) const
{
  Duration left{ 0 };
  for (const Crash& crash : aSuspicion.crashes_) {
    if (!crash.proven_) {
      left = std::max(left, crash.reportedAt_ + options_.settlingTime_ - aNow);
    }
  }
  return left;
}

QuarantineVerdict
Quarantine::Judge(Fingerprint aFingerprint, TimePoint aNow)
{
  QuarantineVerdict verdict;
  const auto it = suspicions_.find(aFingerprint);
  if (it == suspicions_.end()) {
    return verdict;
  }
  Suspicion& suspicion = it->second;
  Withdraw(suspicion, aNow, [&](const Crash& aCrash) {
    return !aCrash.proven_ &&
           aNow - aCrash.crashedAt_ >= options_.unprovenRetention_;
  });
  ForgetOldCrashes(suspicion, aNow);
  if (IsExonerated(suspicion, aNow)) {
    suspicion.refusedUntil_ = aNow;
    suspicion.quarantines_ = 0;
  }
  QuarantineIfDue(suspicion, aNow);
  if (aNow < suspicion.refusedUntil_) {
    verdict.refused_ = true;
    verdict.retryAfter_ = suspicion.refusedUntil_ - aNow;
    verdict.reason_ = DescribeRefusal(suspicion.crashes_);
    return verdict;
  }
  if (suspicion.crashes_.empty() && suspicion.quarantines_ == 0) {
    suspicions_.erase(it);
    return verdict;
  }
  const Duration settling = SettlingTimeLeft(suspicion, aNow);
  if (settling > Duration::zero()) {
    verdict.refused_ = true;
    verdict.heldBack_ = true;
    verdict.retryAfter_ = settling;
    verdict.reason_ = kSettlingText;
    return verdict;
  }
  verdict.isolated_ = true;
  verdict.onTrial_ =
    UnexplainedCrashes(suspicion, aNow).size() >= options_.crashes_;
  if (suspicion.crashes_.size() >= options_.crashes_) {
    verdict.sparedFor_ = FindCoSuspect(suspicion, suspicion.crashes_);
  }
  return verdict;
}

bool
Quarantine::HasOtherSuspect(const Running& aRunning,
                            Fingerprint aFingerprint) const
{
  return std::any_of(
    aRunning.begin(), aRunning.end(), [&](const auto& aAttempt) {
      return aAttempt.first != aFingerprint &&
             suspicions_.contains(aAttempt.first);
    });
}

bool
Quarantine::MayStart(Fingerprint aFingerprint,
                     const UpstreamId& aUpstream,
                     TimePoint aNow) const
{
  const auto suspicion = suspicions_.find(aFingerprint);
  if (suspicion == suspicions_.end()) {
    return true;
  }
  const bool recent =
    aNow - LastActive(suspicion->second) < options_.ownUpstreamsOnly_;
  if (recent && othersUpstreams_.contains(aUpstream)) {
    return false;
  }
  return std::none_of(
    running_.begin(), running_.end(), [&](const auto& aEntry) {
      return aEntry.second.contains(aFingerprint) ||
             (aEntry.first == aUpstream &&
              HasOtherSuspect(aEntry.second, aFingerprint));
    });
}

std::vector<UpstreamId>
Quarantine::UpstreamsToAvoid(Fingerprint aFingerprint) const
{
  if (!suspicions_.contains(aFingerprint)) {
    return {};
  }
  std::vector<UpstreamId> avoid(othersUpstreams_.begin(),
                                othersUpstreams_.end());
  for (const auto& [upstream, running] : running_) {
    if (HasOtherSuspect(running, aFingerprint)) {
      avoid.push_back(upstream);
    }
  }
  return avoid;
}

void
Quarantine::OnSent(const UpstreamId& aUpstream,
                   Fingerprint aFingerprint,
                   TimePoint aNow)
{
  running_[aUpstream].emplace(aFingerprint, aNow);
}

TimePoint
Quarantine::EndAttempt(const UpstreamId& aUpstream,
                       Fingerprint aFingerprint,
                       TimePoint aNow)
{
  const auto it = running_.find(aUpstream);
  if (it == running_.end()) {
    return aNow;
  }
  TimePoint startedAt = aNow;
  const auto attempt = it->second.find(aFingerprint);
  if (attempt != it->second.end()) {
    startedAt = attempt->second;
    it->second.erase(attempt);
  }
  if (it->second.empty()) {
    running_.erase(it);
  }
  return startedAt;
}

void
Quarantine::OnEnded(const UpstreamId& aUpstream, Fingerprint aFingerprint)
{
  static_cast<void>(EndAttempt(aUpstream, aFingerprint, {}));
}

std::vector<SuspicionUpdate>
Quarantine::OnCompleted(const UpstreamId& aUpstream, Fingerprint aFingerprint)
{
  OnEnded(aUpstream, aFingerprint);
  if (suspicions_.erase(aFingerprint) == 0) {
    return {};
  }
  SuspicionUpdate update;
  update.fingerprint_ = aFingerprint;
  update.cleared_ = true;
  return { std::move(update) };
}

std::vector<SuspicionUpdate>
Quarantine::OnBroken(const UpstreamId& aUpstream,
                     Fingerprint aFingerprint,
                     TimePoint aNow)
{
  const TimePoint startedAt = EndAttempt(aUpstream, aFingerprint, aNow);
  Suspicion& suspicion = suspicions_[aFingerprint];
  ForgetOldCrashes(suspicion, aNow);
  AddCrash(suspicion, { aUpstream, startedAt, aNow, aNow });
  QuarantineIfDue(suspicion, aNow);
  SuspicionUpdate update = Describe(aFingerprint, suspicion, aNow);
  BoundSize(aFingerprint);
  return { std::move(update) };
}

SuspicionUpdate
Quarantine::Describe(Fingerprint aFingerprint,
                     const Suspicion& aSuspicion,
                     TimePoint aNow)
{
  SuspicionUpdate update;
  update.fingerprint_ = aFingerprint;
  for (const Crash& crash : aSuspicion.crashes_) {
    update.crashes_.push_back({ crash.upstream_,
                                aNow - crash.crashedAt_,
                                crash.crashedAt_ - crash.startedAt_,
                                crash.proven_ });
  }
  update.refusedFor_ =
    std::max(aSuspicion.refusedUntil_ - aNow, Duration::zero());
  return update;
}

std::vector<SuspicionUpdate>
Quarantine::KnownSuspicion(Fingerprint aFingerprint, TimePoint aNow) const
{
  const auto it = suspicions_.find(aFingerprint);
  if (it == suspicions_.end()) {
    return {};
  }
  return { Describe(aFingerprint, it->second, aNow) };
}

void
Quarantine::OnUpdate(const SuspicionUpdate& aUpdate, TimePoint aNow)
{
  if (aUpdate.cleared_) {
    suspicions_.erase(aUpdate.fingerprint_);
    return;
  }
  Suspicion& suspicion = suspicions_[aUpdate.fingerprint_];
  ForgetOldCrashes(suspicion, aNow);
  for (const CrashReport& crash : aUpdate.crashes_) {
    const TimePoint at = aNow - crash.age_;
    AddCrash(suspicion,
             { crash.upstream_, at - crash.ran_, at, aNow, crash.proven_ });
  }
  const TimePoint until =
    aNow + std::min(aUpdate.refusedFor_, options_.maxQuarantine_);
  if (aUpdate.refusedFor_ > Duration::zero() &&
      until > suspicion.refusedUntil_) {
    suspicion.refusedUntil_ = until;
    suspicion.quarantines_ = std::max(suspicion.quarantines_, 1U);
  }
  QuarantineIfDue(suspicion, aNow);
  BoundSize(aUpdate.fingerprint_);
}

std::vector<SuspicionUpdate>
Quarantine::OnUnprovenCrash(const UpstreamId& aUpstream,
                            Fingerprint aFingerprint,
                            TimePoint aStartedAt,
                            TimePoint aNow)
{
  const auto it = suspicions_.find(aFingerprint);
  if (it == suspicions_.end()) {
    return {};
  }
  Suspicion& suspicion = it->second;
  if (ProvenCrashes(suspicion) < options_.crashes_ &&
      suspicion.quarantines_ == 0) {
    return {};
  }
  AddCrash(suspicion, { aUpstream, aStartedAt, aNow, aNow, false });
  return { Describe(aFingerprint, suspicion, aNow) };
}

void
Quarantine::WithdrawUnproven(const UpstreamId& aUpstream,
                             TimePoint aBefore,
                             TimePoint aNow)
{
  for (auto& [fingerprint, suspicion] : suspicions_) {
    Withdraw(suspicion, aNow, [&](const Crash& aCrash) {
      return !aCrash.proven_ && aCrash.upstream_ == aUpstream &&
             aCrash.crashedAt_ < aBefore;
    });
  }
}

void
Quarantine::OnAlive(const UpstreamId& aUpstream, TimePoint aNow)
{
  for (auto it = suspicions_.begin(); it != suspicions_.end();) {
    Suspicion& suspicion = it->second;
    const auto withdrawn =
      std::erase_if(suspicion.crashes_, [&](const Crash& aCrash) {
        return aCrash.upstream_ == aUpstream;
      });
    if (withdrawn > 0 && suspicion.crashes_.size() < options_.crashes_) {
      suspicion.refusedUntil_ = std::min(suspicion.refusedUntil_, aNow);
      suspicion.quarantines_ = 0;
    }
    const bool clear =
      suspicion.crashes_.empty() && suspicion.quarantines_ == 0;
    it = clear ? suspicions_.erase(it) : std::next(it);
  }
}

void
Quarantine::BoundSize(Fingerprint aKeep)
{
  if (suspicions_.size() <= options_.maxSuspicions_) {
    return;
  }
  auto oldest = suspicions_.end();
  for (auto it = suspicions_.begin(); it != suspicions_.end(); ++it) {
    const bool older = oldest == suspicions_.end() ||
                       LastActive(it->second) < LastActive(oldest->second);
    if (it->first != aKeep && older) {
      oldest = it;
    }
  }
  suspicions_.erase(oldest);
}

std::size_t
Quarantine::Refused(TimePoint aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    suspicions_.begin(), suspicions_.end(), [&](const auto& aEntry) {
      return aNow < aEntry.second.refusedUntil_;
    }));
}

} // namespace marjoramtally
