#include "marjoramtally/process/crash_watch.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr auto kTrialText =
  "held back while another request runs that was at the same crashes; it was "
  "not run now";

} // namespace

bool
CrashWatch::IsSuspect(Fingerprint aFingerprint) const
{
  return quarantine_.Suspects(aFingerprint) ||
         std::any_of(breaks_.begin(), breaks_.end(), [&](const Break& aBreak) {
           return aBreak.fingerprint_ == aFingerprint && !aBreak.abandoned_;
         });
}

bool
CrashWatch::IsTrialInProgress(TimePoint aNow)
{
  return std::any_of(
    running_.begin(), running_.end(), [&](const auto& aUpstream) {
      return std::any_of(aUpstream.second.begin(),
                         aUpstream.second.end(),
                         [&](const auto& aCall) {
                           return quarantine_.Judge(aCall.first, aNow).onTrial_;
                         });
    });
}

QuarantineVerdict
CrashWatch::Judge(Fingerprint aFingerprint, TimePoint aNow)
{
  QuarantineVerdict verdict = quarantine_.Judge(aFingerprint, aNow);
  if (verdict.onTrial_ && IsTrialInProgress(aNow)) {
    verdict.refused_ = true;
    verdict.heldBack_ = true;
    verdict.retryAfter_ = options_.trialWait_;
    verdict.reason_ = kTrialText;
  }
  return verdict;
}

std::vector<UpstreamId>
CrashWatch::UpstreamsToAvoid(Fingerprint aFingerprint) const
{
  std::vector<UpstreamId> avoid;
  if (!IsSuspect(aFingerprint)) {
    return avoid;
  }
  for (const auto& [upstream, running] : running_) {
    const bool taken =
      std::any_of(running.begin(), running.end(), [&](const auto& aCall) {
        return aCall.first != aFingerprint && IsSuspect(aCall.first);
      });
    if (taken) {
      avoid.push_back(upstream);
    }
  }
  return avoid;
}

void
CrashWatch::OnSent(const UpstreamId& aUpstream,
                   Fingerprint aFingerprint,
                   TimePoint aNow)
{
  DropOldBreaks(aNow);
  running_[aUpstream].emplace(aFingerprint, aNow);
}

std::optional<TimePoint>
CrashWatch::EndCall(const UpstreamId& aUpstream, Fingerprint aFingerprint)
{
  const auto it = running_.find(aUpstream);
  if (it == running_.end()) {
    return std::nullopt;
  }
  std::optional<TimePoint> sentAt;
  const auto call = it->second.find(aFingerprint);
  if (call != it->second.end()) {
    sentAt = call->second;
    it->second.erase(call);
  }
  if (it->second.empty()) {
    running_.erase(it);
  }
  return sentAt;
}

void
CrashWatch::OnEnded(const UpstreamId& aUpstream, Fingerprint aFingerprint)
{
  static_cast<void>(EndCall(aUpstream, aFingerprint));
}

CrashWatch::Updates
CrashWatch::OnCompleted(const UpstreamId& aUpstream,
                        Fingerprint aFingerprint,
                        TimePoint aNow)
{
  const auto sentAt = EndCall(aUpstream, aFingerprint);
  std::erase_if(breaks_, [&](const Break& aBreak) {
    return aBreak.fingerprint_ == aFingerprint;
  });
  if (sentAt) {
    // A call that was sent after a break and answered proves that the upstream
    // is alive.
    ForgetBreaks(aUpstream, *sentAt, aNow);
  }
  return quarantine_.OnCompleted(aUpstream, aFingerprint);
}

CrashWatch::Updates
CrashWatch::OnBroken(const UpstreamId& aUpstream,
                     Fingerprint aFingerprint,
                     TimePoint aNow)
{
  return AddBreak(aUpstream, aFingerprint, aNow, false);
}

CrashWatch::Updates
CrashWatch::OnAbandoned(const UpstreamId& aUpstream,
                        Fingerprint aFingerprint,
                        TimePoint aNow)
{
  return AddBreak(aUpstream, aFingerprint, aNow, true);
}

CrashWatch::Updates
CrashWatch::AddBreak(const UpstreamId& aUpstream,
                     Fingerprint aFingerprint,
                     TimePoint aNow,
                     bool aAbandoned)
{
  const auto sentAt = EndCall(aUpstream, aFingerprint);
  const auto registration = registered_.find(aUpstream);
  // Upstreams that leave close their connections, some of them without notice
  // after the end of their registration.
  if (!sentAt || aNow - *sentAt > options_.maxRunBeforeCrash_ ||
      registration == registered_.end() || registration->second.leaving_) {
    return {};
  }
  DropOldBreaks(aNow);
  if (breaks_.size() >= options_.maxBreaks_) {
    // Calls are abandoned far more often than connections break.
    const auto abandoned =
      std::find_if(breaks_.begin(), breaks_.end(), [](const Break& aBreak) {
        return aBreak.abandoned_;
      });
    breaks_.erase(abandoned == breaks_.end() ? breaks_.begin() : abandoned);
  }
  breaks_.push_back({ aUpstream, aFingerprint, *sentAt, aNow, aAbandoned });
  return quarantine_.OnUnprovenCrash(
    aUpstream, aFingerprint, ComparableStart(breaks_.back()), aNow);
}

void
CrashWatch::DropOldBreaks(TimePoint aNow)
{
  while (!breaks_.empty() &&
         aNow - breaks_.front().brokenAt_ > options_.maxRegistrationLag_) {
    breaks_.pop_front();
  }
}

void
CrashWatch::ForgetBreaks(const UpstreamId& aUpstream,
                         TimePoint aBefore,
                         TimePoint aNow)
{
  std::erase_if(breaks_, [&](const Break& aBreak) {
    const Duration mayRunOn =
      aBreak.abandoned_ ? options_.maxAbandonedRun_ : Duration::zero();
    const bool disproved =
      aBreak.upstream_ == aUpstream && aBreak.brokenAt_ < aBefore - mayRunOn;
    if (disproved) {
      disproved_.push_back({ aBreak.upstream_, aBreak.fingerprint_ });
    }
    return disproved;
  });
  quarantine_.WithdrawUnproven(
    aUpstream, aBefore - options_.maxAbandonedRun_, aNow);
}

TimePoint
CrashWatch::ComparableStart(const Break& aBreak) const
{
  return std::min(aBreak.sentAt_, aBreak.brokenAt_ - options_.breakSpread_);
}

TimePoint
CrashWatch::LastBreakAt(const UpstreamId& aUpstream) const
{
  TimePoint broken{};
  TimePoint abandoned{};
  for (const Break& each : breaks_) {
    if (each.upstream_ == aUpstream) {
      TimePoint& last = each.abandoned_ ? abandoned : broken;
      last = std::max(last, each.brokenAt_);
    }
  }
  return broken == TimePoint{} ? abandoned : broken;
}

CrashWatch::Updates
CrashWatch::AttributeCrash(const UpstreamId& aUpstream, TimePoint aNow)
{
  const TimePoint last = LastBreakAt(aUpstream);
  Updates updates;
  for (const Break& broken : breaks_) {
    if (broken.upstream_ == aUpstream &&
        aNow - broken.brokenAt_ <= options_.maxRegistrationLag_ &&
        last - broken.brokenAt_ <= options_.breakSpread_) {
      const TimePoint startedAt = ComparableStart(broken);
      SuspicionUpdate update;
      update.fingerprint_ = broken.fingerprint_;
      update.crashes_ = {
        { aUpstream, aNow - broken.brokenAt_, broken.brokenAt_ - startedAt }
      };
      quarantine_.OnUpdate(update, aNow);
      // Sends the full suspicion, for instances that missed an earlier report.
      Updates known = KnownSuspicion(update.fingerprint_, aNow);
      std::move(known.begin(), known.end(), std::back_inserter(updates));
    }
  }
  std::erase_if(breaks_, [&](const Break& aBreak) {
    return aBreak.upstream_ == aUpstream;
  });
  return updates;
}

CrashWatch::Updates
CrashWatch::Register(const UpstreamEntry& aEntry,
                     EntrySource aSource,
                     TimePoint aNow)
{
  const auto ended = ended_.find(aEntry.id_);
  if (ended != ended_.end()) {
    if (aEntry.start_ < ended->second.start_) {
      return {};
    }
    const bool same = ended->second.start_ == aEntry.start_;
    if (same && aSource == EntrySource::Written) {
      quarantine_.OnAlive(aEntry.id_, aNow);
    }
    if (!same || aSource == EntrySource::Written) {
      ended_.erase(ended);
    }
  }
  const auto [it, added] = registered_.try_emplace(
    aEntry.id_, Registration{ aEntry.start_, aEntry.draining_ });
  Registration& registration = it->second;
  if (added || aEntry.start_ < registration.start_) {
    return {};
  }
  const bool restarted = registration.start_ < aEntry.start_;
  const bool announced = registration.leaving_;
  registration = { aEntry.start_,
                   aEntry.draining_ || (announced && !restarted) };
  if (announced || registration.leaving_) {
    ForgetBreaks(aEntry.id_, kNever, aNow);
  }
  return restarted ? AttributeCrash(aEntry.id_, aNow) : Updates{};
}

CrashWatch::Updates
CrashWatch::OnEntry(const UpstreamEntry& aEntry, TimePoint aNow)
{
  Updates updates = Register(aEntry, EntrySource::Written, aNow);
  ForgetBreaks(aEntry.id_, aNow - options_.minRenewalLag_, aNow);
  return updates;
}

CrashWatch::Updates
CrashWatch::OnVanished(const UpstreamId& aUpstream, TimePoint aNow)
{
  const auto it = registered_.find(aUpstream);
  if (it == registered_.end()) {
    return {};
  }
  std::erase_if(ended_, [&](const auto& aEnded) {
    return aNow - aEnded.second.endedAt_ > options_.endedRetention_;
  });
  ended_[aUpstream] = { it->second.start_, aNow };
  registered_.erase(it);
  return AttributeCrash(aUpstream, aNow);
}

CrashWatch::Updates
CrashWatch::OnList(const std::vector<UpstreamEntry>& aEntries, TimePoint aNow)
{
  Updates updates;
  const auto add = [&](Updates aFound) {
    std::move(aFound.begin(), aFound.end(), std::back_inserter(updates));
  };
  std::set<UpstreamId> listed;
  for (const UpstreamEntry& entry : aEntries) {
    listed.insert(entry.id_);
    add(Register(entry, EntrySource::Listed, aNow));
  }
  std::vector<UpstreamId> missing;
  for (const auto& [id, registration] : registered_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const UpstreamId& id : missing) {
    add(OnVanished(id, aNow));
  }
  return updates;
}

CrashWatch::Updates
CrashWatch::OnUpdate(const SuspicionUpdate& aUpdate, TimePoint aNow)
{
  quarantine_.OnUpdate(aUpdate, aNow);
  return KnownSuspicion(aUpdate.fingerprint_, aNow);
}

} // namespace marjoramtally
