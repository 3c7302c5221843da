#include "programs/gatewayd/job_store.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace marjoramtally {

namespace {

/// A submission is stored in parts of this size, because a value in the store
/// is limited to 1 MiB.
constexpr std::size_t kPartBytes = 700U * 1024U;

/// Keys removed in one transaction; the store allows 32 entries.
constexpr std::size_t kMaxRemovalsPerTxn = 30;

void
SortByKey(std::vector<StoreRecord>& aRecords)
{
  std::sort(aRecords.begin(),
            aRecords.end(),
            [](const StoreRecord& aLeft, const StoreRecord& aRight) {
              return aLeft.key_ < aRight.key_;
            });
}

Result<JobSubmissionRecord>
JoinSubmission(std::vector<StoreRecord> aParts)
{
  SortByKey(aParts);
  std::string text;
  for (const StoreRecord& part : aParts) {
    text += part.value_;
  }
  return ReadSubmissionRecord(text);
}

/// Maps `BadInput` to `Internal`: `BadInput` is reserved for unreadable stored
/// records, while a malformed answer of the store may be followed by a valid
/// one.
Error
ToReadError(const Error& aError)
{
  return { aError.kind_ == ErrorKind::BadInput ? ErrorKind::Internal
                                               : aError.kind_,
           aError.message_ };
}

void
LogRemovalFailed(const JobId& aJob, const std::string& aWhy)
{
  LogEvent(LogLevel::Warn,
           "job_removal_failed",
           { { "job", aJob.Get() }, { "error", aWhy } });
}

} // namespace

namespace job_keys {

std::string
Owner(const JobId& aJob)
{
  return kOwners + aJob.Get();
}

std::string
End(const JobId& aJob)
{
  return kEnds + aJob.Get();
}

std::string
Liveness(const std::string& aIncarnation)
{
  return kLiveness + aIncarnation;
}

std::string
Submission(const JobId& aJob)
{
  return kSubmissions + aJob.Get() + "/";
}

std::string
Results(const JobId& aJob)
{
  return kResults + aJob.Get() + "/";
}

std::string
ResultsAt(const JobId& aJob, std::uint64_t aPosition)
{
  return fmt::format("{}{:08}", Results(aJob), aPosition);
}

std::string
Partials(const JobId& aJob)
{
  return kPartials + aJob.Get();
}

} // namespace job_keys

Result<std::vector<JobResult>>
JoinResults(const JobId& aJob, const std::vector<StoreRecord>& aRecords)
{
  std::vector<StoreRecord> records = aRecords;
  SortByKey(records);
  std::vector<JobResult> results;
  for (const StoreRecord& record : records) {
    // Readers identify results by position, and a missing record would shift
    // all results after it.
    const std::string next = job_keys::ResultsAt(aJob, results.size());
    if (record.key_ != next) {
      return Error{ ErrorKind::BadInput,
                    "record " + next + " is missing before " + record.key_ };
    }
    auto part = ReadResultsRecord(record.value_);
    if (!part) {
      return Error{ part.error().kind_,
                    record.key_ + ": " + part.error().message_ };
    }
    std::move(
      part.value().begin(), part.value().end(), std::back_inserter(results));
  }
  return results;
}

JobStore::JobStore(GatewayContext& aHost)
  : host_(aHost)
  , store_(aHost.PlatformStore())
{
}

void
JobStore::Accept(const JobId& aJob,
                 const JobSubmissionRecord& aSubmission,
                 std::uint64_t aTotal,
                 std::function<void(AcceptResult)> aDone,
                 StorePut aBurst)
{
  const std::string text = WriteSubmissionRecord(aSubmission);
  const std::string owner = WriteOwnerRecord(
    { host_.Incarnation(), aTotal, host_.WallMillis(), aSubmission.customer_ });
  StoreTxn txn;
  txn.compares_.push_back({ job_keys::Owner(aJob), 0 });
  for (std::size_t at = 0; at < text.size(); at += kPartBytes) {
    txn.puts_.push_back(
      { fmt::format("{}{:04}", job_keys::Submission(aJob), at / kPartBytes),
        text.substr(at, kPartBytes),
        0 });
  }
  txn.puts_.push_back({ job_keys::Owner(aJob), owner, 0 });
  if (!aBurst.key_.empty()) {
    txn.puts_.push_back(std::move(aBurst));
  }
  store_.Commit(
    std::move(txn),
    [this, aJob, owner, done = std::move(aDone)](
      const Result<StoreCommit>& aCommit) {
      if (aCommit && aCommit.value().applied_) {
        done({ AcceptOutcome::Accepted,
               FencingNumber{ aCommit.value().revision_ },
               "" });
      } else if (!aCommit && aCommit.error().kind_ == ErrorKind::Unavailable) {
        done({ AcceptOutcome::Refused, {}, aCommit.error().message_ });
      } else {
        ResolveAccept(aJob,
                      owner,
                      done,
                      aCommit ? "the owner record existed"
                              : aCommit.error().message_);
      }
    });
}

/// The absence of the record proves no refusal: the write may be applied later,
/// and a record that made it fail was removed since.
void
JobStore::ResolveAccept(const JobId& aJob,
                        std::string aRecord,
                        std::function<void(AcceptResult)> aDone,
                        std::string aWhy)
{
  ReadOwner(
    aJob,
    [record = std::move(aRecord),
     done = std::move(aDone),
     why = std::move(aWhy) + "; read afterwards: "](
      const Result<std::optional<StoreRecord>>& aOwner) {
      if (!aOwner) {
        done({ AcceptOutcome::Unknown, {}, why + aOwner.error().message_ });
      } else if (!aOwner.value()) {
        done({ AcceptOutcome::Unknown, {}, why + "no owner record" });
      } else if (aOwner.value()->value_ == record) {
        done({ AcceptOutcome::Accepted,
               FencingNumber{ aOwner.value()->modRevision_ },
               why + "the record of this write" });
      } else {
        done({ AcceptOutcome::Known, {}, why + "a record of another write" });
      }
    });
}

void
JobStore::ReadOwner(const JobId& aJob,
                    StoreDone<std::optional<StoreRecord>> aDone)
{
  const std::string key = job_keys::Owner(aJob);
  store_.Read(key,
              [key, done = std::move(aDone)](const Result<StoreRange>& aRange) {
                if (!aRange) {
                  done(aRange.error());
                  return;
                }
                for (const StoreRecord& record : aRange.value().records_) {
                  if (record.key_ == key) {
                    done(std::optional(record));
                    return;
                  }
                }
                done(std::optional<StoreRecord>());
              });
}

void
JobStore::LoadSubmission(const JobId& aJob,
                         StoreDone<JobSubmissionRecord> aDone)
{
  store_.Read(job_keys::Submission(aJob),
              [done = std::move(aDone)](const Result<StoreRange>& aParts) {
                if (aParts) {
                  done(JoinSubmission(aParts.value().records_));
                } else {
                  done(ToReadError(aParts.error()));
                }
              });
}

void
JobStore::Load(const JobId& aJob, StoreDone<StoredJob> aDone)
{
  LoadSubmission(
    aJob,
    [this, aJob, done = std::move(aDone)](
      const Result<JobSubmissionRecord>& aSubmission) {
      if (!aSubmission) {
        done(aSubmission.error());
        return;
      }
      store_.Read(job_keys::Results(aJob),
                  [this, aJob, done, submission = aSubmission.value()](
                    const Result<StoreRange>& aRecords) {
                    if (!aRecords) {
                      done(ToReadError(aRecords.error()));
                      return;
                    }
                    auto results = JoinResults(aJob, aRecords.value().records_);
                    if (!results) {
                      done(results.error());
                      return;
                    }
                    LoadPartials(
                      aJob,
                      StoredJob{ submission, std::move(results).value(), {} },
                      done);
                  });
    });
}

void
JobStore::LoadPartials(const JobId& aJob,
                       StoredJob aLoaded,
                       StoreDone<StoredJob> aDone)
{
  const std::string key = job_keys::Partials(aJob);
  store_.Read(key,
              [key, job = std::move(aLoaded), done = std::move(aDone)](
                const Result<StoreRange>& aRange) mutable {
                if (!aRange) {
                  done(ToReadError(aRange.error()));
                  return;
                }
                for (const StoreRecord& record : aRange.value().records_) {
                  // The read is by prefix, and another job's id may begin with
                  // this one.
                  if (record.key_ != key) {
                    continue;
                  }
                  auto texts = ReadPartialRecords(record.value_);
                  if (texts) {
                    job.partials_ = std::move(texts).value();
                  } else {
                    // Without the record, the texts are generated again.
                    LogEvent(LogLevel::Error,
                             "record_unreadable",
                             { { "key", record.key_ },
                               { "error", texts.error().message_ } });
                  }
                }
                done(std::move(job));
              });
}

void
JobStore::ChangeOwner(const JobId& aJob,
                      const JobOwnerRecord& aRecord,
                      FencingNumber aKnown,
                      StoreDone<std::optional<FencingNumber>> aDone)
{
  StoreTxn txn;
  txn.compares_.push_back({ job_keys::Owner(aJob), aKnown.Get() });
  txn.puts_.push_back({ job_keys::Owner(aJob), WriteOwnerRecord(aRecord), 0 });
  store_.Commit(
    std::move(txn), [done = std::move(aDone)](const Result<StoreCommit>& aEnd) {
      if (!aEnd) {
        done(aEnd.error());
      } else if (aEnd.value().applied_) {
        done(std::optional(FencingNumber{ aEnd.value().revision_ }));
      } else {
        done(std::optional<FencingNumber>());
      }
    });
}

void
JobStore::WriteResults(const std::vector<ResultsWrite>& aWrites,
                       std::function<void(WriteOutcome)> aDone)
{
  StoreTxn txn;
  for (const ResultsWrite& write : aWrites) {
    AddWrite(txn, write);
  }
  CommitWrites(std::move(txn), std::move(aDone));
}

void
JobStore::Release(const ResultsWrite& aWrite,
                  const JobOwnerRecord& aRecord,
                  std::function<void(WriteOutcome)> aDone)
{
  StoreTxn txn;
  AddWrite(txn, aWrite);
  txn.puts_.push_back(
    { job_keys::Owner(aWrite.job_), WriteOwnerRecord(aRecord), 0 });
  CommitWrites(std::move(txn), std::move(aDone));
}

void
JobStore::AddWrite(StoreTxn& aTxn, const ResultsWrite& aWrite)
{
  aTxn.compares_.push_back(
    { job_keys::Owner(aWrite.job_), aWrite.fence_.Get() });
  if (!aWrite.record_.empty()) {
    const std::string key = job_keys::ResultsAt(aWrite.job_, aWrite.position_);
    aTxn.compares_.push_back({ key, 0 });
    aTxn.puts_.push_back({ key, aWrite.record_, 0 });
  }
  if (!aWrite.partials_.empty()) {
    aTxn.puts_.push_back(
      { job_keys::Partials(aWrite.job_), aWrite.partials_, 0 });
  }
}

void
JobStore::CommitWrites(StoreTxn aTxn, std::function<void(WriteOutcome)> aDone)
{
  store_.Commit(std::move(aTxn),
                [done = std::move(aDone)](const Result<StoreCommit>& aEnd) {
                  if (!aEnd) {
                    done(aEnd.error().kind_ == ErrorKind::Unavailable
                           ? WriteOutcome::Refused
                           : WriteOutcome::Unknown);
                  } else {
                    done(aEnd.value().applied_ ? WriteOutcome::Written
                                               : WriteOutcome::Fenced);
                  }
                });
}

void
JobStore::End(const JobId& aJob, std::function<void(WriteOutcome)> aDone)
{
  StoreTxn txn;
  txn.puts_.push_back({ job_keys::End(aJob), "", 0 });
  CommitWrites(std::move(txn), std::move(aDone));
}

void
JobStore::Remove(const JobId& aJob, std::uint64_t aRecords)
{
  store_.Read(job_keys::Submission(aJob),
              [this, aJob, aRecords](const Result<StoreRange>& aParts) {
                if (!aParts) {
                  LogRemovalFailed(aJob, aParts.error().message_);
                  return;
                }
                std::vector<std::string> keys{ job_keys::Partials(aJob) };
                for (const StoreRecord& part : aParts.value().records_) {
                  keys.push_back(part.key_);
                }
                for (std::uint64_t i = 0; i < aRecords; ++i) {
                  keys.push_back(job_keys::ResultsAt(aJob, i));
                }
                keys.push_back(job_keys::Owner(aJob));
                keys.push_back(job_keys::End(aJob));
                RemoveKeys(aJob, std::move(keys));
              });
}

/// The owner record is removed last, after all other removals are confirmed:
/// while it exists, the job is listed and its removal is retried. The end is
/// removed in the same transaction, because a job without its end would be run
/// again.
void
JobStore::RemoveKeys(const JobId& aJob, std::vector<std::string> aKeys)
{
  constexpr std::size_t kFinalKeys = 2;
  const std::size_t count =
    aKeys.size() <= kMaxRemovalsPerTxn
      ? aKeys.size()
      : std::min(kMaxRemovalsPerTxn, aKeys.size() - kFinalKeys);
  const auto rest = aKeys.begin() + static_cast<std::ptrdiff_t>(count);
  StoreTxn txn;
  txn.deletes_.assign(aKeys.begin(), rest);
  store_.Commit(
    std::move(txn),
    [this, aJob, left = std::vector<std::string>(rest, aKeys.end())](
      const Result<StoreCommit>& aEnd) {
      if (!aEnd || !aEnd.value().applied_) {
        LogRemovalFailed(aJob, aEnd ? "not applied" : aEnd.error().message_);
      } else if (!left.empty()) {
        RemoveKeys(aJob, left);
      }
    });
}

} // namespace marjoramtally
