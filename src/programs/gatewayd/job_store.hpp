/// Reads and writes jobs in the platform's store: submissions, owners, results
/// and ends.
///
/// A job is accepted by the transaction that creates its owner record. Each
/// later write of an owner compares the revision of that record, so that a
/// replaced owner cannot write anything, however late it notices.
#pragma once

#include "daemon/gateway_context.hpp"
#include "marjoramtally/version/job_record.hpp"

namespace marjoramtally {

/// Keys in the store.
namespace job_keys {

/// Prefix followed by all processes: owners, ends and liveness records.
inline constexpr const char* kControl = "mt/c/";
inline constexpr const char* kOwners = "mt/c/own/";
inline constexpr const char* kEnds = "mt/c/end/";
inline constexpr const char* kLiveness = "mt/c/live/";
inline constexpr const char* kSubmissions = "mt/spec/";
inline constexpr const char* kResults = "mt/res/";
inline constexpr const char* kPartials = "mt/part/";

[[nodiscard]] std::string
Owner(const JobId& aJob);
[[nodiscard]] std::string
End(const JobId& aJob);
[[nodiscard]] std::string
Liveness(const std::string& aIncarnation);
/// Prefix of the parts of a submission.
[[nodiscard]] std::string
Submission(const JobId& aJob);
/// Prefix of the records of results.
[[nodiscard]] std::string
Results(const JobId& aJob);
/// Key of the record whose first result is at the position.
[[nodiscard]] std::string
ResultsAt(const JobId& aJob, std::uint64_t aPosition);
/// Key of the partial texts of items that are not listed.
[[nodiscard]] std::string
Partials(const JobId& aJob);

} // namespace job_keys

/// Outcome of an acceptance.
enum class AcceptOutcome
{
  Accepted,
  /// The job was already accepted earlier.
  Known,
  /// Nothing was written.
  Refused,
  /// The job may or may not have been accepted.
  Unknown,
};

/// An acceptance's outcome and, if accepted, its fencing number.
struct AcceptResult
{
  AcceptOutcome outcome_ = AcceptOutcome::Unknown;
  FencingNumber fence_;
  /// The answers of the store that decided the outcome; empty if the write was
  /// confirmed.
  std::string why_;
};

/// A job as stored.
struct StoredJob
{
  JobSubmissionRecord submission_;
  std::vector<JobResult> results_;
  std::vector<PartialRecord> partials_;
};

/// Results of one job to be written at its next position.
struct ResultsWrite
{
  JobId job_;
  FencingNumber fence_;
  std::uint64_t position_ = 0;
  /// The encoded results; not written if empty.
  std::string record_;
  /// The encoded partial texts of items that are not listed; not written if
  /// empty.
  std::string partials_;
};

/// Outcome of a write of results.
enum class WriteOutcome
{
  Written,
  /// Nothing was written; the write can be retried.
  Refused,
  /// One of the jobs has another owner.
  Fenced,
  /// The writes may or may not have taken effect, and may still do so later.
  Unknown,
};

/// Reads and writes jobs. Used on one loop.
class JobStore
{
public:
  explicit JobStore(GatewayContext& aHost);

  /// @param aBurst written in the same transaction if it has a key
  void Accept(const JobId& aJob,
              const JobSubmissionRecord& aSubmission,
              std::uint64_t aTotal,
              std::function<void(AcceptResult)> aDone,
              StorePut aBurst = {});
  /// @param aDone called with `BadInput` if the stored records cannot be read
  void Load(const JobId& aJob, StoreDone<StoredJob> aDone);
  void LoadSubmission(const JobId& aJob, StoreDone<JobSubmissionRecord> aDone);
  /// Reads the owner record; nothing if there is no such job.
  void ReadOwner(const JobId& aJob,
                 StoreDone<std::optional<StoreRecord>> aDone);
  /// Changes the owner; an empty owner releases the job.
  /// @param aDone called with the new fencing number, or nothing if the owner
  /// had already changed
  void ChangeOwner(const JobId& aJob,
                   const JobOwnerRecord& aRecord,
                   FencingNumber aKnown,
                   StoreDone<std::optional<FencingNumber>> aDone);
  void WriteResults(const std::vector<ResultsWrite>& aWrites,
                    std::function<void(WriteOutcome)> aDone);
  /// Writes the last results of an owner and releases the job.
  void Release(const ResultsWrite& aWrite,
               const JobOwnerRecord& aRecord,
               std::function<void(WriteOutcome)> aDone);
  void End(const JobId& aJob, std::function<void(WriteOutcome)> aDone);
  /// Removes all records of a job. Failures are logged; the removal can be
  /// repeated as long as the job's owner record exists.
  void Remove(const JobId& aJob, std::uint64_t aRecords);

private:
  static void AddWrite(StoreTxn& aTxn, const ResultsWrite& aWrite);
  void CommitWrites(StoreTxn aTxn, std::function<void(WriteOutcome)> aDone);
  void LoadPartials(const JobId& aJob,
                    StoredJob aLoaded,
                    StoreDone<StoredJob> aDone);
  /// @param aWhy the answer to the write
  void ResolveAccept(const JobId& aJob,
                     std::string aRecord,
                     std::function<void(AcceptResult)> aDone,
                     std::string aWhy);
  void RemoveKeys(const JobId& aJob, std::vector<std::string> aKeys);

  GatewayContext& host_;
  Store& store_;
};

/// @returns the results of a job's records in order, or an error that names
/// the first record that is missing or unreadable
[[nodiscard]] Result<std::vector<JobResult>>
JoinResults(const JobId& aJob, const std::vector<StoreRecord>& aRecords);

} // namespace marjoramtally
