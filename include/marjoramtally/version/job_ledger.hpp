/// The state of one job: what is still to run, what each item's text is so
/// far, and which results may be listed. Events and the time go in.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"
#include "marjoramtally/request/event_stream.hpp"
#include "marjoramtally/version/job.hpp"

#include <map>

namespace marjoramtally {

/// Index of an item in its job's submission.
using ItemIndex = std::size_t;

/// Where an item stands.
enum class ItemState
{
  Waiting,
  Running,
  /// Its text is whole and its score is awaited.
  Scoring,
  /// Its result is final and not yet written.
  Finished,
  /// Its result stands at a position of the job.
  Listed,
};

/// Limits of one job.
struct JobPolicy
{
  /// The configuration that these limits are of; 0: they are defaults.
  ConfigRevision config_{ 0 };
  /// Answers that report a failed run before an item is given up.
  std::uint32_t maxAttempts_ = 3;
  /// Failed answers of the score call before an item is given up.
  std::uint32_t maxScoreFailures_ = 4;
  /// From acceptance on, an item that has no text yet may be given up.
  Duration maxQueue_ = std::chrono::seconds(60);
  /// From acceptance on, results are due.
  Duration runDeadline_ = std::chrono::seconds(10);
  bool singleVersion_ = false;
  /// A finished result waits this long for the rest of its group, and for as
  /// many groups as the trainer waits for, before it is written on its own:
  /// until then the trainer goes on waiting, and each write is a call to the
  /// store.
  Duration groupWait_ = std::chrono::milliseconds(2000);
  /// Items that still wait this long after acceptance tell that there are too
  /// few places for the longest first: then groups are finished one after the
  /// other, those that need least first. Items of a step begin within 2 s
  /// where the upstreams suffice.
  Duration slotShortageDelay_ = std::chrono::milliseconds(2500);
  /// This long before the deadline, all that is finished is written. A trainer
  /// that reads it pauses for half a second, and then holds its next read open
  /// when its last groups end.
  Duration finalFlushLead_ = std::chrono::milliseconds(1100);
  /// From then on, results that do not make enough groups whole wait until this
  /// long after the deadline: each of them would end a read, and the trainer
  /// pause, just before its last group is there. Steps are still in time 0.7 s
  /// after their deadline.
  Duration deadlineGrace_ = std::chrono::milliseconds(100);
};

/// Text made so far, and how far it goes.
struct PartialText
{
  std::string text_;
  std::uint64_t lastEvent_ = 0;
  std::vector<WeightVersion> versions_;
  /// The upstream ended the text.
  bool complete_ = false;
};

/// One job.
class JobLedger
{
public:
  /// @param aAccepted when the job was accepted, by our clock
  JobLedger(JobSpec aSpec, JobPolicy aPolicy, TimePoint aAccepted);

  /// The limits have changed; what was decided under the old ones stands.
  void SetPolicy(JobPolicy aPolicy) noexcept { policy_ = aPolicy; }

  /// Results that stand already, read from the store in their order.
  void Restore(const std::vector<JobResult>& aListed);
  /// Text of an item that an earlier job made; ignored if its versions do not
  /// fit this job.
  void Reuse(ItemIndex aItem, PartialText aText);

  [[nodiscard]] const JobSpec& Spec() const noexcept { return spec_; }
  [[nodiscard]] ItemState State(ItemIndex aItem) const noexcept
  {
    return items_[aItem].state_;
  }
  [[nodiscard]] const PartialText& Text(ItemIndex aItem) const noexcept
  {
    return items_[aItem].text_;
  }
  [[nodiscard]] std::optional<ItemIndex> Find(const ItemId& aId) const;
  /// @returns items to run, in the order in which they should start
  [[nodiscard]] std::vector<ItemIndex> Waiting(TimePoint aNow) const;
  /// @returns items whose score is to be asked for and is not yet
  [[nodiscard]] std::vector<ItemIndex> Unscored() const;

  /// The item was sent to an upstream.
  void OnStarted(ItemIndex aItem);
  /// An event of the item's stream, made under that version.
  /// @returns an error if the stream must be given up: the event is not the
  /// next one, or its version does not fit
  [[nodiscard]] Result<bool> OnEvent(ItemIndex aItem,
                                     const ServerEvent& aEvent,
                                     WeightVersion aVersion);
  /// The run ended before the text was whole; it goes on after its last
  /// event.
  void OnInterrupted(ItemIndex aItem);
  /// The upstream ended the stream as whole.
  void OnCompleted(ItemIndex aItem, TimePoint aNow);
  /// A run that went on after the last event held ended as whole without an
  /// event: the text may have been whole before. Two such answers prove it,
  /// since one may be spoilt.
  void OnEmptyContinuation(ItemIndex aItem, TimePoint aNow);
  /// The upstream answered that the run failed.
  void OnRunFailed(ItemIndex aItem, TimePoint aNow);
  /// @returns whether an upstream has answered so
  [[nodiscard]] bool RunFailed(ItemIndex aItem) const noexcept
  {
    return items_[aItem].failures_ > 0;
  }
  /// The upstream answered that the item can never be done.
  void OnPermanentFailure(ItemIndex aItem, TimePoint aNow);
  /// The configuration has no route for the item any more.
  void OnRouteRemoved(ItemIndex aItem, TimePoint aNow);

  void OnScoreRequested(ItemIndex aItem)
  {
    items_[aItem].scoreRequested_ = true;
  }
  void OnScored(ItemIndex aItem, std::string aScore, TimePoint aNow);
  /// @param aFailures answers in which the scorer itself reported a failure
  void OnScoreFailed(ItemIndex aItem, std::uint32_t aFailures, TimePoint aNow);
  /// @returns how often the scorer may still report a failure
  [[nodiscard]] std::uint32_t ScoreAttemptsLeft(ItemIndex aItem) const noexcept;
  /// @returns whether the scorer has reported a failure
  [[nodiscard]] bool ScoreFailed(ItemIndex aItem) const noexcept
  {
    return items_[aItem].scoreFailures_ > 0;
  }

  /// Gives up items that waited too long.
  void AbandonOverdue(TimePoint aNow);
  /// @returns results to write now, in the order of their positions
  [[nodiscard]] std::vector<ItemIndex> Listable(TimePoint aNow) const;
  /// @returns all results that are final and not written
  [[nodiscard]] std::vector<ItemIndex> Finished() const;
  /// @returns why an item was given up; empty if it was not
  [[nodiscard]] std::string_view ErrorOf(ItemIndex aItem) const noexcept
  {
    return items_[aItem].error_;
  }
  /// @returns the configuration in force when an item's result became final
  [[nodiscard]] ConfigRevision DecidedUnder(ItemIndex aItem) const noexcept
  {
    return items_[aItem].decidedUnder_;
  }
  /// @returns when an item's result became final
  [[nodiscard]] TimePoint DecidedAt(ItemIndex aItem) const noexcept
  {
    return items_[aItem].finished_;
  }
  [[nodiscard]] JobResult ResultOf(ItemIndex aItem) const;
  /// The results were written; they stand at the next positions.
  void OnListed(const std::vector<ItemIndex>& aItems);
  [[nodiscard]] const std::vector<ItemIndex>& Listed() const noexcept
  {
    return listed_;
  }
  [[nodiscard]] bool Done() const noexcept
  {
    return listed_.size() == items_.size();
  }
  /// @returns whether under a tenth of the items is unfinished: trainers wait
  /// for nine tenths of the groups
  [[nodiscard]] bool FewLeft() const noexcept;
  /// @returns whether results wait for the last groups of a step that is nearly
  /// due
  [[nodiscard]] bool AwaitsLastGroups(TimePoint aNow) const noexcept;
  /// @returns whether as many groups are whole as the trainer waits for; each
  /// further one may be the one that it waits for beside
  [[nodiscard]] bool EnoughGroups() const noexcept;
  /// @returns when `Listable` or `AbandonOverdue` may next have something to do
  [[nodiscard]] TimePoint NextDue() const noexcept;

private:
  struct Item
  {
    ItemState state_ = ItemState::Waiting;
    PartialText text_;
    bool errored_ = false;
    /// A constant text.
    std::string_view error_;
    bool scoreRequested_ = false;
    std::string score_;
    std::uint32_t failures_ = 0;
    /// Answers that had nothing after the last event.
    std::uint32_t emptyContinuations_ = 0;
    std::uint32_t scoreFailures_ = 0;
    TimePoint finished_;
    ConfigRevision decidedUnder_{ 0 };
  };

  /// @param aError why the item is given up; empty: its text is final
  void Finish(ItemIndex aItem, std::string_view aError, TimePoint aNow);
  [[nodiscard]] bool GroupFinished(ItemIndex aItem) const;
  /// @returns for each group what its items still need, by their estimates
  [[nodiscard]] std::map<GroupId, std::uint64_t> RemainingTokensByGroup() const;
  [[nodiscard]] bool VersionsFit(
    const std::vector<WeightVersion>& aVersions) const;

  JobSpec spec_;
  JobPolicy policy_;
  TimePoint accepted_;
  std::vector<Item> items_;
  std::vector<ItemIndex> listed_;
  std::map<ItemId, ItemIndex> byId_;
  /// Items of each group that are not yet finished.
  std::map<GroupId, std::uint32_t> open_;
};

} // namespace marjoramtally
