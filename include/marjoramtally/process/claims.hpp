/// Claims of idempotency keys. A non-idempotent request runs only after its
/// claim, a record that is created if absent, is proven to be in the store.
/// Claims are batched into transactions.
///
/// If the outcome of a commit is unknown, the record is read back and compared
/// by its unique token before the request runs. A request whose claim cannot be
/// proven is refused and never run.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/claim_record.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

namespace marjoramtally {

/// Identifies a request for a claim within this process.
using ClaimTicket = Strong<std::uint64_t, struct ClaimTicketTag>;
/// Identifies a transaction of claims.
using ClaimBatchId = Strong<std::uint64_t, struct ClaimBatchTag>;

/// A request for a claim.
struct ClaimRequest
{
  ClaimTicket ticket_;
  /// Name of the record, from `ClaimName`.
  std::string name_;
  Fingerprint fingerprint_;
  TimePoint deadline_;
};

/// Answer to a request for a claim.
enum class ClaimAnswer : std::uint8_t
{
  /// The claim is held; the request may run.
  Run,
  /// The request was not run and may be sent again.
  Refused,
  /// The request was not run: its key belongs to a different request.
  KeyReused,
  /// An earlier send of the request is in progress at this instance.
  InProgress,
  /// An earlier send of the request completed; it is not run again.
  AlreadyRan,
  /// An earlier send of the request may have run; it is not run again.
  MayHaveRun,
};

/// The answer to one request, with its details.
struct ClaimVerdict
{
  ClaimTicket ticket_;
  ClaimAnswer answer_ = ClaimAnswer::Refused;
  /// Status with which the earlier send was answered; set if `AlreadyRan`.
  int status_ = 0;
  /// Human-readable reason.
  std::string reason_;
};

/// One conditional write: it applies if the record's revision equals
/// `expected_` (0: the record is absent). An empty value deletes the record.
struct ClaimWrite
{
  std::string name_;
  std::string value_;
  std::uint64_t expected_ = 0;
};

/// Writes of one transaction, applied atomically.
struct ClaimBatch
{
  ClaimBatchId id_;
  std::vector<ClaimWrite> writes_;
};

/// Outcome of a transaction.
enum class CommitResult : std::uint8_t
{
  Applied,
  /// A record's revision was not as expected; nothing was applied.
  Conflict,
  /// Proven not to have been applied.
  NoEffect,
  /// May have been applied, or may be applied later.
  Unknown,
};

/// Result of reading a record back.
struct ClaimReadResult
{
  bool failed_ = false;
  std::optional<ClaimRecord> record_;
  std::uint64_t revision_ = 0;
};

/// What the caller of `ClaimTable` has to do next.
struct ClaimActions
{
  std::vector<ClaimVerdict> verdicts_;
  std::vector<ClaimBatch> batches_;
  /// Names of records to read back.
  std::vector<std::string> reads_;
  /// Requests whose caller can now be answered: their end is recorded, or its
  /// recording no longer delays the answer.
  std::vector<ClaimTicket> closed_;
};

/// Limits and intervals of a claim table.
struct ClaimOptions
{
  /// Maximum writes per transaction; the store allows 128 operations.
  std::size_t maxBatch_ = 100;
  /// Minimum time between the starts of transactions.
  Duration minCommitInterval_{ 0 };
  /// Claims are refused while a transaction has been unanswered for this long.
  Duration slowCommit_ = std::chrono::milliseconds(500);
  /// Claims are refused at once for this long after a failed transaction.
  Duration failurePause_ = std::chrono::milliseconds(500);
  /// Interval at which an abandoned claim is looked up in the store, and
  /// time after which it no longer is.
  Duration orphanReadInterval_ = std::chrono::seconds(5);
  Duration orphanLifetime_ = std::chrono::minutes(2);
  /// Maximum number of ended requests whose outcome is kept in memory; the
  /// oldest are dropped.
  std::size_t maxEnded_ = 10'000;
  /// Maximum number of claims that wait for a transaction.
  std::size_t maxWaiting_ = 10'000;
};

/// The claims of one instance. Performs no I/O: each function returns the
/// actions to take. Not thread-safe.
class ClaimTable
{
public:
  /// @param aOwner name unique to this process; prefix of its tokens
  ClaimTable(std::string aOwner, ClaimOptions aOptions = {})
    : owner_(std::move(aOwner))
    , options_(aOptions)
  {
  }

  /// Claims the key of a request.
  [[nodiscard]] ClaimActions Claim(ClaimRequest aRequest, TimePoint aNow);
  /// Handles the end of a transaction.
  /// @param aRevision revision of the store if the transaction was applied
  [[nodiscard]] ClaimActions OnCommit(ClaimBatchId aId,
                                      CommitResult aResult,
                                      std::uint64_t aRevision,
                                      TimePoint aNow);
  /// Handles the result of a read-back.
  [[nodiscard]] ClaimActions OnRead(const std::string& aName,
                                    const ClaimReadResult& aResult,
                                    TimePoint aNow);
  /// Records the end of a request that was allowed to run. Its `closed_` action
  /// follows, at once or later.
  [[nodiscard]] ClaimActions OnRunEnd(const std::string& aName,
                                      Outcome aOutcome,
                                      int aStatus,
                                      TimePoint aNow);
  /// Expires claims, looks up abandoned ones and commits what waits.
  [[nodiscard]] ClaimActions Tick(TimePoint aNow);
  void SetMinCommitInterval(Duration aInterval) noexcept
  {
    options_.minCommitInterval_ = aInterval;
  }
  /// @returns the number of claims whose request has not ended or whose write
  /// is pending
  [[nodiscard]] std::size_t Open() const noexcept;

private:
  enum class Phase : std::uint8_t
  {
    /// The claim waits for a transaction.
    Queued,
    Writing,
    Reading,
    Running,
    /// The end of the request waits for a transaction or is being written.
    Closing,
    /// The outcome is kept in memory.
    Ended,
    /// Refused, but the claim may be in the store or reach it later.
    Orphan,
  };
  struct Entry
  {
    Phase phase_ = Phase::Queued;
    ClaimRequest request_;
    ClaimRecord record_;
    std::uint64_t revision_ = 0;
    /// Rewrites of a claim, tries to write an end, or lookups of an orphan.
    std::uint32_t tries_ = 0;
    /// The caller has its answer; a claim that is won afterwards is released.
    bool answered_ = false;
    /// Closing deletes the record, because nothing ran.
    bool release_ = false;
    TimePoint claimedAt_;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  void Answer(Entry& aEntry,
              ClaimAnswer aAnswer,
              std::string aReason,
              ClaimActions& aOut) const;
  [[nodiscard]] static ClaimVerdict AnswerFromRecord(
    const ClaimRequest& aRequest,
    const ClaimRecord& aRecord);
  [[nodiscard]] ClaimVerdict AnswerResend(const ClaimRequest& aRequest,
                                          const Entry& aEntry) const;
  /// Starts the next transaction if none is in progress and one is due.
  void Flush(TimePoint aNow, ClaimActions& aOut);
  /// @returns whether a name needs a write; one that was resolved after it was
  /// queued does not
  [[nodiscard]] bool NeedsWrite(const std::string& aName) const;
  void StartCommit(std::vector<std::string> aNames,
                   TimePoint aNow,
                   ClaimActions& aOut);
  [[nodiscard]] ClaimWrite WriteOf(const Entry& aEntry) const;
  void OnClaimWon(Entry& aEntry,
                  std::uint64_t aRevision,
                  TimePoint aNow,
                  ClaimActions& aOut);
  void OnClaimNotWon(const std::string& aName,
                     const ClaimReadResult& aResult,
                     TimePoint aNow,
                     ClaimActions& aOut);
  void OnClosed(const std::string& aName, Entry& aEntry, ClaimActions& aOut);
  void Abandon(Entry& aEntry, const char* aReason, ClaimActions& aOut) const;
  void OnApplied(const std::string& aName,
                 std::uint64_t aRevision,
                 TimePoint aNow,
                 ClaimActions& aOut);
  void OnFailed(const std::string& aName, bool aNoEffect, ClaimActions& aOut);
  void OnConflict(std::vector<std::string> aNames,
                  TimePoint aNow,
                  ClaimActions& aOut);
  void ExpireEntry(const std::string& aName,
                   Entry& aEntry,
                   TimePoint aNow,
                   ClaimActions& aOut);
  void RememberEnded(const std::string& aName);

  std::string owner_;
  ClaimOptions options_;
  Entries entries_;
  std::deque<std::string> queue_;
  /// Halves of transactions that conflicted, to be committed separately.
  std::deque<std::vector<std::string>> splitBatches_;
  std::deque<std::string> ended_;
  std::vector<std::string> writing_;
  ClaimBatchId current_;
  bool committing_ = false;
  TimePoint commitStartedAt_;
  TimePoint pausedUntil_;
  TimePoint nextCommit_;
  std::uint64_t lastToken_ = 0;
};

} // namespace marjoramtally
