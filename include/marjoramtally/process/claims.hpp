/// Claims of idempotency keys: a non-idempotent request runs only after its
/// claim, a record created if absent, is proven to be in the store. Many
/// claims go in one transaction.
///
/// A claim whose answer is lost is read back by its unique token before
/// anything runs. Whatever cannot be proven is refused and never run.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/claim_record.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

namespace marjoramtally {

/// Names one asking request within this process.
using ClaimTicket = Strong<std::uint64_t, struct ClaimTicketTag>;
/// Names one transaction of claims.
using ClaimBatchId = Strong<std::uint64_t, struct ClaimBatchTag>;

/// A request that wants to run.
struct ClaimRequest
{
  ClaimTicket ticket_;
  /// The record's name, by `ClaimName`.
  std::string name_;
  Fingerprint fingerprint_;
  TimePoint deadline_;
};

/// What a request is told.
enum class ClaimAnswer : std::uint8_t
{
  /// The claim is won: run it.
  Run,
  /// It was not run; it may be sent again.
  Refused,
  /// It was not run: its key belongs to a different request.
  KeyReused,
  /// An earlier send of it is in progress here.
  InProgress,
  /// An earlier send of it completed; it is not run again.
  AlreadyRan,
  /// An earlier send of it may have run; it is not run again.
  MayHaveRun,
};

/// The answer to one request.
struct ClaimVerdict
{
  ClaimTicket ticket_;
  ClaimAnswer answer_ = ClaimAnswer::Refused;
  /// Status that the earlier send was given; set if `AlreadyRan`.
  int status_ = 0;
  /// For people.
  std::string reason_;
};

/// One write, which holds if the record's revision is as expected (0: is
/// absent). An empty value deletes the record.
struct ClaimWrite
{
  std::string name_;
  std::string value_;
  std::uint64_t expected_ = 0;
};

/// Writes that take effect together or not at all.
struct ClaimBatch
{
  ClaimBatchId id_;
  std::vector<ClaimWrite> writes_;
};

/// How a transaction ended.
enum class CommitResult : std::uint8_t
{
  Applied,
  /// A record's revision was not as expected; nothing took effect.
  Conflict,
  /// Proven to have taken no effect.
  NoEffect,
  /// May or may not have taken effect.
  Unknown,
};

/// What a read-back found.
struct ClaimReadResult
{
  bool failed_ = false;
  std::optional<ClaimRecord> record_;
  std::uint64_t revision_ = 0;
};

/// What the driver is to do.
struct ClaimActions
{
  std::vector<ClaimVerdict> verdicts_;
  std::vector<ClaimBatch> batches_;
  /// Names of records to read back.
  std::vector<std::string> reads_;
  /// Requests whose end is recorded, as far as it will be: now answer them.
  std::vector<ClaimTicket> closed_;
};

/// Limits of a claim table.
struct ClaimOptions
{
  /// Most writes in a transaction (the store allows 128 operations).
  std::size_t maxBatch_ = 100;
  /// Least time between transactions.
  Duration minCommitInterval_{ 0 };
  /// A transaction without answer for so long makes others be refused.
  Duration slowCommit_ = std::chrono::milliseconds(500);
  /// After a failure, time in which claims are refused at once.
  Duration failurePause_ = std::chrono::milliseconds(500);
  /// How often, and how long, an abandoned claim is looked for.
  Duration orphanReadInterval_ = std::chrono::seconds(5);
  Duration orphanLifetime_ = std::chrono::minutes(2);
  /// Ended requests whose answer is kept here, the newest.
  std::size_t maxEnded_ = 10'000;
  std::size_t maxWaiting_ = 10'000;
};

/// Claims of one instance. Not thread-safe.
class ClaimTable
{
public:
  /// @param aOwner unique to this process; tokens start with it
  ClaimTable(std::string aOwner, ClaimOptions aOptions = {})
    : owner_(std::move(aOwner))
    , options_(aOptions)
  {
  }

  /// A request wants to run.
  [[nodiscard]] ClaimActions Claim(ClaimRequest aRequest, TimePoint aNow);
  /// A transaction ended.
  /// @param aRevision the store's revision if it was applied
  [[nodiscard]] ClaimActions OnCommit(ClaimBatchId aId,
                                      CommitResult aEnd,
                                      std::uint64_t aRevision,
                                      TimePoint aNow);
  /// A read-back ended.
  [[nodiscard]] ClaimActions OnRead(const std::string& aName,
                                    const ClaimReadResult& aReading,
                                    TimePoint aNow);
  /// A request that was told to run ended. Its `closed_` action follows.
  [[nodiscard]] ClaimActions OnRunEnd(const std::string& aName,
                                      Outcome aOutcome,
                                      int aStatus,
                                      TimePoint aNow);
  /// Time passed.
  [[nodiscard]] ClaimActions Tick(TimePoint aNow);
  void SetMinCommitInterval(Duration aGap) noexcept
  {
    options_.minCommitInterval_ = aGap;
  }
  /// @returns requests asked and not yet closed or answered
  [[nodiscard]] std::size_t Open() const noexcept;

private:
  enum class Phase : std::uint8_t
  {
    /// Its claim waits for a transaction.
    Queued,
    Writing,
    Reading,
    Running,
    /// Its end waits for a transaction or is being written.
    Closing,
    /// Its end is known here.
    Ended,
    /// Refused, but its claim may be or come into the store.
    Orphan,
  };
  struct Entry
  {
    Phase phase_ = Phase::Queued;
    ClaimRequest request_;
    ClaimRecord record_;
    std::uint64_t revision_ = 0;
    std::uint32_t tries_ = 0;
    /// Already answered; a won claim is released.
    bool answered_ = false;
    /// Closing deletes the record, for nothing ran.
    bool release_ = false;
    TimePoint since_;
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
  void Flush(TimePoint aNow, ClaimActions& aOut);
  /// Names queued twice, or settled since, need no write.
  [[nodiscard]] bool NeedsWrite(const std::string& aName) const;
  void Start(std::vector<std::string> aNames,
             TimePoint aNow,
             ClaimActions& aOut);
  [[nodiscard]] ClaimWrite WriteOf(const Entry& aEntry) const;
  void OnClaimWon(Entry& aEntry,
                  std::uint64_t aRevision,
                  TimePoint aNow,
                  ClaimActions& aOut);
  void OnClaimNotWon(const std::string& aName,
                     const ClaimReadResult& aReading,
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
  /// Parts of a transaction that met a conflict, to be tried on their own.
  std::deque<std::vector<std::string>> splitBatches_;
  std::deque<std::string> ended_;
  std::vector<std::string> writing_;
  ClaimBatchId current_;
  bool busy_ = false;
  TimePoint started_;
  TimePoint pausedUntil_;
  TimePoint nextCommit_;
  std::uint64_t lastToken_ = 0;
};

} // namespace marjoramtally
