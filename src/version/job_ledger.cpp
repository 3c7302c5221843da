#include "marjoramtally/version/job_ledger.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr std::string_view kNoError;
/// Empty answers after which a text counts as complete.
constexpr std::uint32_t kMinEmptyContinuations = 2;
constexpr std::string_view kRestoredError = "given up by an earlier owner";

} // namespace

JobLedger::JobLedger(JobSpec aSpec, JobPolicy aPolicy, TimePoint aAccepted)
  : spec_(std::move(aSpec))
  , policy_(aPolicy)
  , accepted_(aAccepted)
  , items_(spec_.items_.size())
{
  for (ItemIndex i = 0; i < spec_.items_.size(); ++i) {
    byId_.emplace(spec_.items_[i].id_, i);
    ++open_[spec_.items_[i].group_];
  }
}

void
JobLedger::Restore(const std::vector<JobResult>& aListed)
{
  for (const JobResult& result : aListed) {
    const auto item = Find(result.id_);
    if (!item || items_[*item].state_ == ItemState::Listed) {
      continue;
    }
    Item& state = items_[*item];
    state.text_.text_ = result.text_;
    state.text_.versions_ = result.versions_;
    state.text_.complete_ = result.completed_;
    state.score_ = result.score_;
    Finish(*item, result.completed_ ? kNoError : kRestoredError, accepted_);
    OnListed({ *item });
  }
}

bool
JobLedger::VersionsFit(const std::vector<WeightVersion>& aVersions) const
{
  const bool fresh = std::all_of(
    aVersions.begin(), aVersions.end(), [this](const WeightVersion& aVersion) {
      return aVersion >= spec_.minVersion_;
    });
  return fresh && (!policy_.singleVersion_ || aVersions.size() <= 1);
}

std::vector<ItemIndex>
JobLedger::SetPolicy(JobPolicy aPolicy)
{
  policy_ = aPolicy;
  std::vector<ItemIndex> discarded;
  for (ItemIndex i = 0; i < items_.size(); ++i) {
    Item& item = items_[i];
    if (item.state_ == ItemState::Listing || item.state_ == ItemState::Listed ||
        item.errored_ || VersionsFit(item.text_.versions_)) {
      continue;
    }
    if (item.state_ == ItemState::Finished) {
      ++open_[spec_.items_[i].group_];
    }
    item.state_ = ItemState::Waiting;
    item.text_ = {};
    item.score_.clear();
    // The score call of the new text may start only once that is complete.
    item.scoreRequested_ = false;
    discarded.push_back(i);
  }
  return discarded;
}

void
JobLedger::Reuse(ItemIndex aItem, PartialText aText)
{
  Item& item = items_[aItem];
  if (item.state_ != ItemState::Waiting || !VersionsFit(aText.versions_)) {
    return;
  }
  item.text_ = std::move(aText);
  if (item.text_.complete_) {
    OnCompleted(aItem, accepted_);
  }
}

std::optional<ItemIndex>
JobLedger::Find(const ItemId& aId) const
{
  const auto it = byId_.find(aId);
  return it == byId_.end() ? std::nullopt : std::optional(it->second);
}

std::map<GroupId, std::uint64_t>
JobLedger::RemainingTokensByGroup() const
{
  std::map<GroupId, std::uint64_t> work;
  for (ItemIndex i = 0; i < items_.size(); ++i) {
    const ItemState state = items_[i].state_;
    if (state == ItemState::Waiting || state == ItemState::Running) {
      work[spec_.items_[i].group_] +=
        std::max<std::uint64_t>(1, spec_.items_[i].lengthHint_);
    }
  }
  return work;
}

std::vector<ItemIndex>
JobLedger::Waiting(TimePoint aNow) const
{
  std::vector<ItemIndex> waiting;
  for (ItemIndex i = 0; i < items_.size(); ++i) {
    if (items_[i].state_ == ItemState::Waiting) {
      waiting.push_back(i);
    }
  }
  // Longest first: a text of 195 events takes 7 s of the 7.5 s after which a
  // step is due.
  std::stable_sort(
    waiting.begin(), waiting.end(), [this](auto aLeft, auto aRight) {
      return spec_.items_[aLeft].lengthHint_ > spec_.items_[aRight].lengthHint_;
    });
  if (aNow - accepted_ > policy_.slotShortageDelay_) {
    const auto work = RemainingTokensByGroup();
    std::stable_sort(
      waiting.begin(), waiting.end(), [&](auto aLeft, auto aRight) {
        return work.at(spec_.items_[aLeft].group_) <
               work.at(spec_.items_[aRight].group_);
      });
  }
  return waiting;
}

std::vector<ItemIndex>
JobLedger::Unscored() const
{
  std::vector<ItemIndex> unscored;
  for (ItemIndex i = 0; i < items_.size(); ++i) {
    if (items_[i].state_ == ItemState::Scoring && !items_[i].scoreRequested_) {
      unscored.push_back(i);
    }
  }
  return unscored;
}

void
JobLedger::OnStarted(ItemIndex aItem)
{
  if (!IsFinal(aItem)) {
    items_[aItem].state_ = ItemState::Running;
  }
}

Result<bool>
JobLedger::OnEvent(ItemIndex aItem,
                   const ServerEvent& aEvent,
                   WeightVersion aVersion)
{
  if (IsFinal(aItem)) {
    return Error{ ErrorKind::Conflict, "the item's result is final" };
  }
  PartialText& text = items_[aItem].text_;
  if (!aEvent.id_ || *aEvent.id_ != text.lastEvent_ + 1) {
    return Error{ ErrorKind::BadInput, "the event is out of sequence" };
  }
  auto versions = text.versions_;
  if (std::find(versions.begin(), versions.end(), aVersion) == versions.end()) {
    versions.push_back(aVersion);
  }
  if (!VersionsFit(versions)) {
    text = {};
    return Error{ ErrorKind::Conflict,
                  "the job does not allow the weight version" };
  }
  text.versions_ = std::move(versions);
  if (text.lastEvent_ > 0) {
    text.text_ += '\n';
  }
  items_[aItem].emptyContinuations_ = 0;
  text.text_ += aEvent.data_;
  text.lastEvent_ = *aEvent.id_;
  return true;
}

void
JobLedger::OnInterrupted(ItemIndex aItem)
{
  if (items_[aItem].state_ == ItemState::Running) {
    items_[aItem].state_ = ItemState::Waiting;
  }
}

void
JobLedger::OnCompleted(ItemIndex aItem, TimePoint aNow)
{
  if (IsFinal(aItem)) {
    return;
  }
  Item& item = items_[aItem];
  item.text_.complete_ = true;
  if (spec_.items_[aItem].score_) {
    item.state_ = ItemState::Scoring;
  } else {
    Finish(aItem, kNoError, aNow);
  }
}

void
JobLedger::OnEmptyContinuation(ItemIndex aItem, TimePoint aNow)
{
  Item& item = items_[aItem];
  if (item.text_.lastEvent_ > 0 &&
      ++item.emptyContinuations_ >= kMinEmptyContinuations) {
    OnCompleted(aItem, aNow);
  } else {
    OnInterrupted(aItem);
  }
}

void
JobLedger::OnRunFailed(ItemIndex aItem, TimePoint aNow)
{
  Item& item = items_[aItem];
  if (++item.failures_ >= policy_.maxAttempts_) {
    Finish(aItem, "its runs failed", aNow);
  } else {
    OnInterrupted(aItem);
  }
}

void
JobLedger::OnPermanentFailure(ItemIndex aItem, TimePoint aNow)
{
  Finish(aItem, "its upstream says that it can never be done", aNow);
}

void
JobLedger::OnRouteRemoved(ItemIndex aItem, TimePoint aNow)
{
  Finish(aItem, "its route was removed", aNow);
}

void
JobLedger::OnScored(ItemIndex aItem, std::string aScore, TimePoint aNow)
{
  if (items_[aItem].state_ == ItemState::Scoring) {
    items_[aItem].score_ = std::move(aScore);
    Finish(aItem, kNoError, aNow);
  }
}

void
JobLedger::OnScoreFailed(ItemIndex aItem,
                         std::uint32_t aFailures,
                         TimePoint aNow)
{
  Item& item = items_[aItem];
  item.scoreRequested_ = false;
  item.scoreFailures_ += aFailures;
  if (item.state_ == ItemState::Scoring &&
      item.scoreFailures_ >= policy_.maxScoreFailures_) {
    Finish(aItem, "its scorer failed", aNow);
  }
}

std::uint32_t
JobLedger::ScoreAttemptsLeft(ItemIndex aItem) const noexcept
{
  const std::uint32_t failures = items_[aItem].scoreFailures_;
  return policy_.maxScoreFailures_ -
         std::min(policy_.maxScoreFailures_, failures);
}

void
JobLedger::Finish(ItemIndex aItem, std::string_view aError, TimePoint aNow)
{
  Item& item = items_[aItem];
  if (IsFinal(aItem)) {
    return;
  }
  item.state_ = ItemState::Finished;
  item.errored_ = !aError.empty();
  item.error_ = aError;
  item.finished_ = aNow;
  item.decidedUnder_ = policy_.config_;
  --open_[spec_.items_[aItem].group_];
}

void
JobLedger::AbandonOverdue(TimePoint aNow)
{
  if (aNow - accepted_ < policy_.maxQueue_) {
    return;
  }
  for (ItemIndex i = 0; i < items_.size(); ++i) {
    Finish(i, "its time was over", aNow);
  }
}

bool
JobLedger::GroupFinished(ItemIndex aItem) const
{
  return open_.at(spec_.items_[aItem].group_) == 0;
}

bool
JobLedger::EnoughGroups() const noexcept
{
  const auto complete =
    std::count_if(open_.begin(), open_.end(), [](const auto& aGroup) {
      return aGroup.second == 0;
    });
  return static_cast<std::uint64_t>(complete) >= spec_.targetGroups_;
}

bool
JobLedger::AwaitsLastGroups(TimePoint aNow) const noexcept
{
  const Duration age = aNow - accepted_;
  return age >= policy_.runDeadline_ - policy_.finalFlushLead_ &&
         age < policy_.runDeadline_ + policy_.deadlineGrace_ && !EnoughGroups();
}

std::vector<ItemIndex>
JobLedger::Listable(TimePoint aNow) const
{
  const bool late =
    aNow - accepted_ >= policy_.runDeadline_ + policy_.deadlineGrace_;
  const TimePoint finalFlush =
    accepted_ + policy_.runDeadline_ - policy_.finalFlushLead_;
  const bool enough = EnoughGroups();
  std::vector<ItemIndex> listable;
  for (ItemIndex i = 0; i < items_.size(); ++i) {
    const Item& item = items_[i];
    if (item.state_ == ItemState::Finished &&
        (late || (enough && GroupFinished(i)) ||
         (aNow >= finalFlush && item.finished_ < finalFlush) ||
         aNow - item.finished_ >= policy_.groupWait_)) {
      listable.push_back(i);
    }
  }
  return listable;
}

std::vector<ItemIndex>
JobLedger::Finished() const
{
  std::vector<ItemIndex> finished;
  for (ItemIndex i = 0; i < items_.size(); ++i) {
    if (items_[i].state_ == ItemState::Finished) {
      finished.push_back(i);
    }
  }
  return finished;
}

JobResult
JobLedger::ResultOf(ItemIndex aItem) const
{
  const Item& item = items_[aItem];
  JobResult result;
  result.id_ = spec_.items_[aItem].id_;
  result.completed_ = !item.errored_;
  if (result.completed_) {
    result.text_ = item.text_.text_;
    result.versions_ = item.text_.versions_;
    result.score_ = item.score_;
  }
  return result;
}

void
JobLedger::OnListing(const std::vector<ItemIndex>& aItems)
{
  for (const ItemIndex item : aItems) {
    items_[item].state_ = ItemState::Listing;
  }
}

void
JobLedger::OnListed(const std::vector<ItemIndex>& aItems)
{
  for (const ItemIndex item : aItems) {
    items_[item].state_ = ItemState::Listed;
    listed_.push_back(item);
  }
}

bool
JobLedger::FewLeft() const noexcept
{
  std::size_t open = 0;
  for (const auto& [group, items] : open_) {
    open += items;
  }
  constexpr std::size_t kTenths = 10;
  return open * kTenths < items_.size();
}

TimePoint
JobLedger::NextDue() const noexcept
{
  TimePoint due = accepted_ + policy_.maxQueue_;
  for (const Item& item : items_) {
    if (item.state_ == ItemState::Finished) {
      const TimePoint deadline = accepted_ + policy_.runDeadline_;
      const TimePoint round =
        item.finished_ < deadline - policy_.finalFlushLead_
          ? deadline - policy_.finalFlushLead_
          : deadline + policy_.deadlineGrace_;
      due = std::min({ due, item.finished_ + policy_.groupWait_, round });
    }
  }
  return due;
}

} // namespace marjoramtally
