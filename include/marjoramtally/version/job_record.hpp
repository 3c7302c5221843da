/// How a job is kept in the platform's store: its submission as received, its
/// owner, and its results in their order.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/version/job_ledger.hpp"

#include <chrono>

namespace marjoramtally {

/// Who runs a job. Its record's revision is the fencing number of the owner.
struct JobOwnerRecord
{
  /// The owner's incarnation; empty: given back by its last owner.
  std::string owner_;
  /// Number of items.
  std::uint64_t total_ = 0;
  /// Acceptance, in milliseconds since the epoch.
  std::int64_t acceptedMillis_ = 0;
  /// Who alone may read and end the job; empty: it was accepted while requests
  /// needed no keys.
  CustomerId customer_{};
};

/// A submission as it was received, with what it was received for.
struct JobSubmissionRecord
{
  std::string host_;
  std::string path_;
  std::string body_;
  /// The configuration whose routes it was accepted by. An owner that knows
  /// only an older one cannot tell what is to be done with it.
  ConfigRevision acceptedUnder_{ 0 };
  /// Whose job it is; its items run as requests of that customer.
  CustomerId customer_{};
};

/// The text of an item that is not listed yet.
struct PartialRecord
{
  ItemId item_;
  PartialText text_;
};

[[nodiscard]] std::string
WritePartialRecords(const std::vector<PartialRecord>& aTexts);
[[nodiscard]] Result<std::vector<PartialRecord>>
ReadPartialRecords(std::string_view aText);
[[nodiscard]] std::string
WriteOwnerRecord(const JobOwnerRecord& aRecord);
[[nodiscard]] Result<JobOwnerRecord>
ReadOwnerRecord(std::string_view aText);
[[nodiscard]] std::string
WriteSubmissionRecord(const JobSubmissionRecord& aRecord);
[[nodiscard]] Result<JobSubmissionRecord>
ReadSubmissionRecord(std::string_view aText);
[[nodiscard]] std::string
WriteResultsRecord(const std::vector<JobResult>& aResults);
[[nodiscard]] Result<std::vector<JobResult>>
ReadResultsRecord(std::string_view aText);

} // namespace marjoramtally
