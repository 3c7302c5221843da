#include "marjoramtally/process/claims.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Maximum number of times a claim is written again after it was read back and
/// found absent.
constexpr std::uint32_t kMaxClaimRewrites = 2;

} // namespace

void
ClaimTable::OnClaimWon(Entry& aEntry,
                       std::uint64_t aRevision,
                       TimePoint aNow,
                       ClaimActions& aOut)
{
  aEntry.revision_ = aRevision;
  if (!aEntry.answered_ && aNow < aEntry.request_.deadline_) {
    aEntry.phase_ = Phase::Running;
    Answer(aEntry, ClaimAnswer::Run, {}, aOut);
    return;
  }
  Answer(aEntry, ClaimAnswer::Refused, "its deadline passed", aOut);
  aEntry.phase_ = Phase::Closing;
  aEntry.release_ = true;
  aEntry.tries_ = 0;
  queue_.push_back(aEntry.request_.name_);
}

void
ClaimTable::OnClaimNotWon(const std::string& aName,
                          const ClaimReadResult& aResult,
                          TimePoint aNow,
                          ClaimActions& aOut)
{
  Entry& entry = entries_.at(aName);
  if (aResult.record_) {
    // Another send holds the claim. Its state may still change, so nothing is
    // kept here.
    if (!entry.answered_) {
      aOut.verdicts_.push_back(
        AnswerFromRecord(entry.request_, *aResult.record_));
    }
    entries_.erase(aName);
    return;
  }
  const bool rewrite = !aResult.failed_ && !entry.answered_ &&
                       entry.tries_ < kMaxClaimRewrites &&
                       aNow < entry.request_.deadline_;
  if (rewrite) {
    ++entry.tries_;
    entry.phase_ = Phase::Queued;
    queue_.push_back(aName);
    return;
  }
  Abandon(entry, "its claim could not be read back", aOut);
}

void
ClaimTable::Abandon(Entry& aEntry,
                    const char* aReason,
                    ClaimActions& aOut) const
{
  Answer(aEntry, ClaimAnswer::Refused, aReason, aOut);
  aEntry.phase_ = Phase::Orphan;
}

ClaimActions
ClaimTable::OnRead(const std::string& aName,
                   const ClaimReadResult& aResult,
                   TimePoint aNow)
{
  ClaimActions out;
  const auto it = entries_.find(aName);
  if (it == entries_.end() || (it->second.phase_ != Phase::Reading &&
                               it->second.phase_ != Phase::Orphan)) {
    return out;
  }
  Entry& entry = it->second;
  const bool ours =
    aResult.record_ && aResult.record_->token_ == entry.record_.token_;
  if (ours) {
    OnClaimWon(entry, aResult.revision_, aNow, out);
  } else {
    OnClaimNotWon(aName, aResult, aNow, out);
  }
  Flush(aNow, out);
  return out;
}

ClaimActions
ClaimTable::OnRunEnd(const std::string& aName,
                     Outcome aOutcome,
                     int aStatus,
                     TimePoint aNow)
{
  ClaimActions out;
  const auto it = entries_.find(aName);
  if (it == entries_.end() || it->second.phase_ != Phase::Running) {
    return out;
  }
  Entry& entry = it->second;
  entry.phase_ = Phase::Closing;
  entry.tries_ = 0;
  entry.release_ = aOutcome == Outcome::RefusedNotRun;
  entry.record_.status_ = aStatus;
  entry.record_.state_ = aOutcome == Outcome::Completed ? ClaimState::Completed
                                                        : ClaimState::Unknown;
  if (!entry.release_) {
    // The caller need not wait for this write: a resend finds the claim in any
    // case.
    entry.answered_ = true;
    out.closed_.push_back(entry.request_.ticket_);
  }
  queue_.push_back(aName);
  Flush(aNow, out);
  return out;
}

void
ClaimTable::OnClosed(const std::string& aName,
                     Entry& aEntry,
                     ClaimActions& aOut)
{
  if (!aEntry.answered_) {
    aOut.closed_.push_back(aEntry.request_.ticket_);
  }
  if (aEntry.release_) {
    entries_.erase(aName);
    return;
  }
  aEntry.answered_ = true;
  aEntry.phase_ = Phase::Ended;
  RememberEnded(aName);
}

void
ClaimTable::RememberEnded(const std::string& aName)
{
  ended_.push_back(aName);
  if (ended_.size() > options_.maxEnded_) {
    entries_.erase(ended_.front());
    ended_.pop_front();
  }
}

ClaimActions
ClaimTable::Tick(TimePoint aNow)
{
  ClaimActions out;
  std::vector<std::string> names;
  for (const auto& [name, entry] : entries_) {
    if (entry.phase_ != Phase::Ended && entry.phase_ != Phase::Running) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    ExpireEntry(name, entries_.at(name), aNow, out);
  }
  Flush(aNow, out);
  return out;
}

void
ClaimTable::ExpireEntry(const std::string& aName,
                        Entry& aEntry,
                        TimePoint aNow,
                        ClaimActions& aOut)
{
  const bool stuck =
    (committing_ && aNow - commitStartedAt_ >= options_.slowCommit_) ||
    aNow < pausedUntil_;
  const bool late = aNow >= aEntry.request_.deadline_;
  if (aEntry.phase_ == Phase::Queued && (late || stuck)) {
    Answer(aEntry, ClaimAnswer::Refused, "its claim could not be made", aOut);
    if (aEntry.tries_ == 0) {
      entries_.erase(aName);
    } else {
      aEntry.phase_ = Phase::Orphan;
    }
  } else if (late && (aEntry.phase_ == Phase::Writing ||
                      aEntry.phase_ == Phase::Reading)) {
    Answer(aEntry, ClaimAnswer::Refused, "its claim took too long", aOut);
  } else if (aEntry.phase_ == Phase::Orphan) {
    if (aNow - aEntry.claimedAt_ >= options_.orphanLifetime_) {
      entries_.erase(aName);
    } else if (aNow - aEntry.claimedAt_ >=
               options_.orphanReadInterval_ * aEntry.tries_) {
      ++aEntry.tries_;
      aOut.reads_.push_back(aName);
    }
  }
}

std::size_t
ClaimTable::Open() const noexcept
{
  return static_cast<std::size_t>(
    std::count_if(entries_.begin(), entries_.end(), [](const auto& aEntry) {
      return aEntry.second.phase_ != Phase::Ended &&
             aEntry.second.phase_ != Phase::Orphan;
    }));
}

} // namespace marjoramtally
