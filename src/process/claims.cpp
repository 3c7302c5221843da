#include "marjoramtally/process/claims.hpp"

#include <unordered_set>
#include <utility>

namespace marjoramtally {

namespace {

/// Maximum number of tries to write the end of a request.
constexpr std::uint32_t kMaxCloseTries = 5;

} // namespace

void
ClaimTable::Answer(Entry& aEntry,
                   ClaimAnswer aAnswer,
                   std::string aReason,
                   ClaimActions& aOut) const
{
  if (!aEntry.answered_) {
    aOut.verdicts_.push_back(
      { aEntry.request_.ticket_, aAnswer, 0, std::move(aReason) });
  }
  aEntry.answered_ = aEntry.answered_ || aAnswer != ClaimAnswer::Run;
}

ClaimVerdict
ClaimTable::AnswerFromRecord(const ClaimRequest& aRequest,
                             const ClaimRecord& aRecord)
{
  if (aRecord.fingerprint_ != aRequest.fingerprint_) {
    return { aRequest.ticket_,
             ClaimAnswer::KeyReused,
             0,
             "the idempotency key belongs to a different request" };
  }
  if (aRecord.state_ == ClaimState::Completed) {
    return { aRequest.ticket_,
             ClaimAnswer::AlreadyRan,
             aRecord.status_,
             "an earlier send of this request completed with status " +
               std::to_string(aRecord.status_) };
  }
  return { aRequest.ticket_,
           ClaimAnswer::MayHaveRun,
           0,
           "an earlier send of this request may have run" };
}

ClaimVerdict
ClaimTable::AnswerResend(const ClaimRequest& aRequest,
                         const Entry& aEntry) const
{
  if (aEntry.record_.fingerprint_ != aRequest.fingerprint_ ||
      aEntry.phase_ == Phase::Ended ||
      (aEntry.phase_ == Phase::Closing && !aEntry.release_)) {
    return AnswerFromRecord(aRequest, aEntry.record_);
  }
  if (aEntry.answered_ || aEntry.phase_ == Phase::Closing) {
    return { aRequest.ticket_,
             ClaimAnswer::Refused,
             0,
             "the claim of a refused send is not yet released" };
  }
  return { aRequest.ticket_,
           ClaimAnswer::InProgress,
           0,
           "an earlier send of this request is in progress" };
}

ClaimActions
ClaimTable::Claim(ClaimRequest aRequest, TimePoint aNow)
{
  ClaimActions out;
  const auto known = entries_.find(aRequest.name_);
  if (known != entries_.end()) {
    out.verdicts_.push_back(AnswerResend(aRequest, known->second));
    return out;
  }
  const bool slow =
    committing_ && aNow - commitStartedAt_ >= options_.slowCommit_;
  if (slow || aNow < pausedUntil_ || queue_.size() >= options_.maxWaiting_) {
    out.verdicts_.push_back({ aRequest.ticket_,
                              ClaimAnswer::Refused,
                              0,
                              "the store that keeps claims does not answer" });
    return out;
  }
  Entry entry;
  entry.record_.token_ = owner_ + "/" + std::to_string(++lastToken_);
  entry.record_.fingerprint_ = aRequest.fingerprint_;
  entry.claimedAt_ = aNow;
  const std::string name = aRequest.name_;
  entry.request_ = std::move(aRequest);
  entries_.emplace(name, std::move(entry));
  queue_.push_back(name);
  Flush(aNow, out);
  return out;
}

void
ClaimTable::Flush(TimePoint aNow, ClaimActions& aOut)
{
  if (committing_) {
    return;
  }
  if (!splitBatches_.empty()) {
    std::vector<std::string> names = std::move(splitBatches_.front());
    splitBatches_.pop_front();
    StartCommit(std::move(names), aNow, aOut);
    return;
  }
  if (aNow < nextCommit_ || aNow < pausedUntil_ || queue_.empty()) {
    return;
  }
  std::vector<std::string> names;
  while (!queue_.empty() && names.size() < options_.maxBatch_) {
    names.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  StartCommit(std::move(names), aNow, aOut);
}

bool
ClaimTable::NeedsWrite(const std::string& aName) const
{
  const auto it = entries_.find(aName);
  return it != entries_.end() && (it->second.phase_ == Phase::Queued ||
                                  it->second.phase_ == Phase::Writing ||
                                  it->second.phase_ == Phase::Closing);
}

void
ClaimTable::StartCommit(std::vector<std::string> aNames,
                        TimePoint aNow,
                        ClaimActions& aOut)
{
  std::unordered_set<std::string> taken;
  std::erase_if(aNames, [&](const std::string& aName) {
    return !NeedsWrite(aName) || !taken.insert(aName).second;
  });
  if (aNames.empty()) {
    Flush(aNow, aOut);
    return;
  }
  current_ = ClaimBatchId{ current_.Get() + 1 };
  ClaimBatch batch{ current_, {} };
  for (const std::string& name : aNames) {
    Entry& entry = entries_.at(name);
    if (entry.phase_ == Phase::Queued) {
      entry.phase_ = Phase::Writing;
    }
    batch.writes_.push_back(WriteOf(entry));
  }
  writing_ = std::move(aNames);
  committing_ = true;
  commitStartedAt_ = aNow;
  nextCommit_ = aNow + options_.minCommitInterval_;
  aOut.batches_.push_back(std::move(batch));
}

ClaimWrite
ClaimTable::WriteOf(const Entry& aEntry) const
{
  return { aEntry.request_.name_,
           aEntry.release_ ? std::string() : EncodeClaim(aEntry.record_),
           aEntry.revision_ };
}

ClaimActions
ClaimTable::OnCommit(ClaimBatchId aId,
                     CommitResult aResult,
                     std::uint64_t aRevision,
                     TimePoint aNow)
{
  ClaimActions out;
  if (!committing_ || aId != current_) {
    return out;
  }
  committing_ = false;
  std::vector<std::string> names = std::move(writing_);
  writing_.clear();
  if (aResult == CommitResult::Conflict) {
    OnConflict(std::move(names), aNow, out);
  } else if (aResult == CommitResult::Applied) {
    for (const std::string& name : names) {
      OnApplied(name, aRevision, aNow, out);
    }
  } else {
    pausedUntil_ = aNow + options_.failurePause_;
    for (const std::string& name : names) {
      OnFailed(name, aResult == CommitResult::NoEffect, out);
    }
  }
  Flush(aNow, out);
  return out;
}

void
ClaimTable::OnApplied(const std::string& aName,
                      std::uint64_t aRevision,
                      TimePoint aNow,
                      ClaimActions& aOut)
{
  Entry& entry = entries_.at(aName);
  if (entry.phase_ == Phase::Closing) {
    OnClosed(aName, entry, aOut);
  } else {
    OnClaimWon(entry, aRevision, aNow, aOut);
  }
}

void
ClaimTable::OnConflict(std::vector<std::string> aNames,
                       TimePoint aNow,
                       ClaimActions& aOut)
{
  if (aNames.size() > 1) {
    const auto middle =
      aNames.begin() + static_cast<std::ptrdiff_t>(aNames.size() / 2);
    splitBatches_.emplace_back(aNames.begin(), middle);
    splitBatches_.emplace_back(middle, aNames.end());
    Flush(aNow, aOut);
    return;
  }
  Entry& entry = entries_.at(aNames.front());
  if (entry.phase_ == Phase::Closing) {
    OnClosed(aNames.front(), entry, aOut);
    return;
  }
  entry.phase_ = Phase::Reading;
  aOut.reads_.push_back(aNames.front());
}

void
ClaimTable::OnFailed(const std::string& aName,
                     bool aNoEffect,
                     ClaimActions& aOut)
{
  Entry& entry = entries_.at(aName);
  if (entry.phase_ == Phase::Closing) {
    // Writing again cannot overwrite a later claim: the write is conditional on
    // the record's revision.
    if (!std::exchange(entry.answered_, true)) {
      aOut.closed_.push_back(entry.request_.ticket_);
    }
    if (++entry.tries_ < kMaxCloseTries) {
      queue_.push_back(aName);
    } else {
      OnClosed(aName, entry, aOut);
    }
    return;
  }
  // If the claim was written before, the earlier write of the same token may
  // still take effect.
  if (aNoEffect && entry.tries_ == 0) {
    Answer(entry,
           ClaimAnswer::Refused,
           "the store that keeps claims cannot be reached",
           aOut);
    entries_.erase(aName);
    return;
  }
  entry.phase_ = Phase::Reading;
  aOut.reads_.push_back(aName);
}

} // namespace marjoramtally
