/// The state of one job: items to run, the text of each item so far, and the
/// results that may be listed. Driven by events and time points only; performs
/// no input or output.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"
#include "marjoramtally/request/event_stream.hpp"
#include "marjoramtally/version/job.hpp"

#include <map>

namespace marjoramtally {

/// Index of an item in its job's submission.
using ItemIndex = std::size_t;

/// State of an item.
enum class ItemState
{
  Waiting,
  Running,
  /// Its text is complete and its score is pending.
  Scoring,
  /// Its result is decided but not yet handed to the store. No event changes
  /// it; a configuration that does not allow its text discards it.
  Finished,
  /// Its result was handed to the store and may be written there, so it no
  /// longer changes.
  Listing,
  /// Its result is written at a position of the job's results.
  Listed,
};

/// Limits of one job.
struct JobPolicy
{
  /// Configuration that sets these limits; 0 for defaults.
  ConfigRevision config_{ 0 };
  /// Number of reported run failures after which an item is abandoned.
  std::uint32_t maxAttempts_ = 3;
  /// Number of reported scoring failures after which an item is abandoned.
  std::uint32_t maxScoreFailures_ = 4;
  /// Time after acceptance at which unfinished items are abandoned.
  Duration maxQueue_ = std::chrono::seconds(60);
  /// Time after acceptance at which results are due.
  Duration runDeadline_ = std::chrono::seconds(10);
  bool singleVersion_ = false;
  /// Longest time that a finished result waits for the rest of its group and
  /// for the target number of groups before it is written on its own. The
  /// trainer cannot use it earlier, and each write is a call to the store.
  Duration groupWait_ = std::chrono::milliseconds(2000);
  /// Items that have not started this long after acceptance show that upstream
  /// slots are too few for longest-first order; from then on items start group
  /// by group, the group with the least remaining work first. With enough
  /// upstreams all items of a step start within 2 s.
  Duration slotShortageDelay_ = std::chrono::milliseconds(2500);
  /// All finished results are written this long before the deadline. A trainer
  /// that reads them pauses for half a second, and its next long-poll read is
  /// then open when its last groups finish.
  Duration finalFlushLead_ = std::chrono::milliseconds(1100);
  /// After that write, results that do not complete the target number of groups
  /// wait until this long after the deadline. Writing each at once would end
  /// the trainer's read and make it pause just before its last group is
  /// available. Steps are still in time 0.7 s after their deadline.
  Duration deadlineGrace_ = std::chrono::milliseconds(100);
};

/// Text generated so far and its last event.
struct PartialText
{
  std::string text_;
  std::uint64_t lastEvent_ = 0;
  std::vector<WeightVersion> versions_;
  /// Whether the upstream reported the end of the text.
  bool complete_ = false;
};

/// The ledger of one job.
class JobLedger
{
public:
  /// @param aAccepted time of acceptance, by this instance's clock
  JobLedger(JobSpec aSpec, JobPolicy aPolicy, TimePoint aAccepted);

  /// Replaces the limits. Texts whose versions they do not allow are discarded
  /// and generated anew, except those of results handed to the store.
  /// @returns items whose text was discarded; their runs and score calls are to
  /// be stopped
  [[nodiscard]] std::vector<ItemIndex> SetPolicy(JobPolicy aPolicy);

  /// Restores listed results, read from the store in order of position.
  void Restore(const std::vector<JobResult>& aListed);
  /// Continues from text that an earlier owner or job generated; ignored if the
  /// job does not allow its versions.
  void Reuse(ItemIndex aItem, PartialText aText);

  [[nodiscard]] const JobSpec& Spec() const noexcept { return spec_; }
  [[nodiscard]] ItemState State(ItemIndex aItem) const noexcept
  {
    return items_[aItem].state_;
  }
  /// @returns whether the item's result is decided; no later event of its run
  /// or score call changes it
  [[nodiscard]] bool IsFinal(ItemIndex aItem) const noexcept
  {
    const ItemState state = items_[aItem].state_;
    return state == ItemState::Finished || state == ItemState::Listing ||
           state == ItemState::Listed;
  }
  [[nodiscard]] const PartialText& Text(ItemIndex aItem) const noexcept
  {
    return items_[aItem].text_;
  }
  [[nodiscard]] std::optional<ItemIndex> Find(const ItemId& aId) const;
  /// @returns items to run, in the order in which they should start
  [[nodiscard]] std::vector<ItemIndex> Waiting(TimePoint aNow) const;
  /// @returns items in `Scoring` whose score has not been requested
  [[nodiscard]] std::vector<ItemIndex> Unscored() const;

  /// The item was sent to an upstream.
  void OnStarted(ItemIndex aItem);
  /// Appends an event of the item's stream, generated under `aVersion`.
  /// @returns an error if the stream must be abandoned: the event is out of
  /// sequence, the job does not allow its version, or the result is final
  [[nodiscard]] Result<bool> OnEvent(ItemIndex aItem,
                                     const ServerEvent& aEvent,
                                     WeightVersion aVersion);
  /// The run ended before the text was complete; the next run resumes after the
  /// last event.
  void OnInterrupted(ItemIndex aItem);
  /// The upstream ended the stream and marked it as complete.
  void OnCompleted(ItemIndex aItem, TimePoint aNow);
  /// A run that resumed after the last event received ended as complete without
  /// a further event, so the text may already have been complete. Two such
  /// answers are required, since a single one may be faulty.
  void OnEmptyContinuation(ItemIndex aItem, TimePoint aNow);
  /// The upstream reported that the run failed.
  void OnRunFailed(ItemIndex aItem, TimePoint aNow);
  /// @returns whether an upstream has reported a failed run
  [[nodiscard]] bool RunFailed(ItemIndex aItem) const noexcept
  {
    return items_[aItem].failures_ > 0;
  }
  /// The upstream reported a failure that no retry can fix.
  void OnPermanentFailure(ItemIndex aItem, TimePoint aNow);
  /// The configuration no longer has a route for the item.
  void OnRouteRemoved(ItemIndex aItem, TimePoint aNow);

  void OnScoreRequested(ItemIndex aItem)
  {
    items_[aItem].scoreRequested_ = true;
  }
  void OnScored(ItemIndex aItem, std::string aScore, TimePoint aNow);
  /// @param aFailures number of answers in which the scorer reported a failure
  void OnScoreFailed(ItemIndex aItem, std::uint32_t aFailures, TimePoint aNow);
  /// @returns how many more scoring failures are tolerated
  [[nodiscard]] std::uint32_t ScoreAttemptsLeft(ItemIndex aItem) const noexcept;
  /// @returns whether the scorer has reported a failure
  [[nodiscard]] bool ScoreFailed(ItemIndex aItem) const noexcept
  {
    return items_[aItem].scoreFailures_ > 0;
  }

  /// Abandons all unfinished items once `maxQueue_` has passed.
  void AbandonOverdue(TimePoint aNow);
  /// @returns items whose results are to be written now, in order of position
  [[nodiscard]] std::vector<ItemIndex> Listable(TimePoint aNow) const;
  /// @returns all items whose results are final but not yet handed to the store
  [[nodiscard]] std::vector<ItemIndex> Finished() const;
  /// @returns why an item was abandoned; empty if it was not
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
  /// The results are handed to the store.
  void OnListing(const std::vector<ItemIndex>& aItems);
  /// The results were written at the next positions, in this order.
  void OnListed(const std::vector<ItemIndex>& aItems);
  [[nodiscard]] const std::vector<ItemIndex>& Listed() const noexcept
  {
    return listed_;
  }
  [[nodiscard]] bool Done() const noexcept
  {
    return listed_.size() == items_.size();
  }
  /// @returns whether less than a tenth of the items is unfinished; trainers
  /// wait for nine tenths of the groups
  [[nodiscard]] bool FewLeft() const noexcept;
  /// @returns whether results close to the deadline are withheld until the last
  /// groups are complete
  [[nodiscard]] bool AwaitsLastGroups(TimePoint aNow) const noexcept;
  /// @returns whether the target number of groups is complete; the trainer may
  /// still wait for a particular further group
  [[nodiscard]] bool EnoughGroups() const noexcept;
  /// @returns when `Listable` or `AbandonOverdue` may next have an effect
  [[nodiscard]] TimePoint NextDue() const noexcept;

private:
  struct Item
  {
    ItemState state_ = ItemState::Waiting;
    PartialText text_;
    bool errored_ = false;
    /// Refers to a string with static lifetime.
    std::string_view error_;
    bool scoreRequested_ = false;
    std::string score_;
    std::uint32_t failures_ = 0;
    /// Consecutive answers without an event after the last one.
    std::uint32_t emptyContinuations_ = 0;
    std::uint32_t scoreFailures_ = 0;
    TimePoint finished_;
    ConfigRevision decidedUnder_{ 0 };
  };

  /// @param aError why the item is abandoned; empty if its text is final
  void Finish(ItemIndex aItem, std::string_view aError, TimePoint aNow);
  [[nodiscard]] bool GroupFinished(ItemIndex aItem) const;
  /// @returns estimated output tokens of the items of each group whose text is
  /// incomplete
  [[nodiscard]] std::map<GroupId, std::uint64_t> RemainingTokensByGroup() const;
  [[nodiscard]] bool VersionsFit(
    const std::vector<WeightVersion>& aVersions) const;

  JobSpec spec_;
  JobPolicy policy_;
  TimePoint accepted_;
  std::vector<Item> items_;
  std::vector<ItemIndex> listed_;
  std::map<ItemId, ItemIndex> byId_;
  /// Number of unfinished items of each group.
  std::map<GroupId, std::uint32_t> open_;
};

} // namespace marjoramtally
