/// Jobs in the platform's store: their submissions, owners, results, ends.
///
/// A job is accepted by the transaction that creates its owner record. Each
/// later write of an owner compares that record's revision, so that an owner
/// that was replaced, however late it notices, writes nothing more.
#pragma once

#include "daemon/gateway_context.hpp"
#include "marjoramtally/version/job_record.hpp"

namespace marjoramtally {

/// Keys in the store.
namespace job_keys {

/// Followed by all processes: owners, ends and signs of life.
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
/// The record whose first result stands at the position.
[[nodiscard]] std::string
ResultsAt(const JobId& aJob, std::uint64_t aPosition);
/// Texts made so far of items that are not listed.
[[nodiscard]] std::string
Partials(const JobId& aJob);

} // namespace job_keys

/// How an acceptance ended.
enum class AcceptOutcome
{
  Accepted,
  /// The job was accepted before.
  Known,
  /// Nothing was written.
  Refused,
  /// It may or may not have been accepted.
  Unknown,
};

/// What came of an acceptance.
struct AcceptResult
{
  AcceptOutcome outcome_ = AcceptOutcome::Unknown;
  FencingNumber fence_;
};

/// A job as it stands in the store.
struct StoredJob
{
  JobSubmissionRecord submission_;
  std::vector<JobResult> results_;
  std::vector<PartialRecord> partials_;
};

/// Results of one job to be written at its next positions.
struct ResultsWrite
{
  JobId job_;
  FencingNumber fence_;
  std::uint64_t position_ = 0;
  /// The encoded results; empty writes none.
  std::string record_;
  /// Encoded texts of the items that are not listed; empty writes none.
  std::string partials_;
};

/// How a write of results ended.
enum class WriteOutcome
{
  Written,
  /// Nothing was written; try again.
  Refused,
  /// One of the jobs has another owner.
  Fenced,
  /// The writes may have taken effect, now or later.
  Unknown,
};

/// Reads and writes jobs. Used on one loop.
class JobStore
{
public:
  explicit JobStore(GatewayContext& aHost);

  void Accept(const JobId& aJob,
              const JobSubmissionRecord& aSubmission,
              std::uint64_t aTotal,
              std::function<void(AcceptResult)> aDone);
  /// @param aDone told `BadInput` if what is stored makes no sense
  void Load(const JobId& aJob, StoreDone<StoredJob> aDone);
  void LoadSubmission(const JobId& aJob, StoreDone<JobSubmissionRecord> aDone);
  /// Reads the owner record; nothing if there is no such job.
  void ReadOwner(const JobId& aJob,
                 StoreDone<std::optional<StoreRecord>> aDone);
  /// Makes another process, or none, the owner.
  /// @param aDone told the new fencing number, or nothing if another process
  /// was faster
  void ChangeOwner(const JobId& aJob,
                   const JobOwnerRecord& aRecord,
                   FencingNumber aKnown,
                   StoreDone<std::optional<FencingNumber>> aDone);
  void WriteResults(const std::vector<ResultsWrite>& aWrites,
                    std::function<void(WriteOutcome)> aDone);
  /// Writes the last results of an owner that gives the job back.
  void Release(const ResultsWrite& aWrite,
               const JobOwnerRecord& aRecord,
               std::function<void(WriteOutcome)> aDone);
  void End(const JobId& aJob, std::function<void(bool)> aDone);
  /// Removes all records of a job. What failed is logged; as long as the job's
  /// owner record stands, it can be removed again.
  void Remove(const JobId& aJob, std::uint64_t aRecords);

private:
  static void AddWrite(StoreTxn& aTxn, const ResultsWrite& aWrite);
  void CommitWrites(StoreTxn aTxn, std::function<void(WriteOutcome)> aDone);
  void LoadPartials(const JobId& aJob,
                    StoredJob aLoaded,
                    StoreDone<StoredJob> aDone);
  void ResolveAccept(const JobId& aJob,
                     std::string aRecord,
                     std::function<void(AcceptResult)> aDone,
                     AcceptOutcome aIfAbsent);
  void RemoveKeys(const JobId& aJob, std::vector<std::string> aKeys);

  GatewayContext& host_;
  Store& store_;
};

/// @returns the results of a job's records in their order, or an error that
/// names the first record that is missing or cannot be read
[[nodiscard]] Result<std::vector<JobResult>>
JoinResults(const JobId& aJob, const std::vector<StoreRecord>& aRecords);

} // namespace marjoramtally
