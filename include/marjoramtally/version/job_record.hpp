/// Serialization of a job's records in the platform's store: its submission as
/// received, its owner, its partial texts and its results in order.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/version/job_ledger.hpp"

#include <chrono>

namespace marjoramtally {

/// The owner of a job. The revision of this record is the owner's fencing
/// number.
struct JobOwnerRecord
{
  /// The owner's incarnation; empty if the last owner released the job.
  std::string owner_;
  /// Number of items.
  std::uint64_t total_ = 0;
  /// Time of acceptance, in milliseconds since the epoch.
  std::int64_t acceptedMillis_ = 0;
  /// The only customer that may read and end the job; empty if it was accepted
  /// while requests needed no keys.
  CustomerId customer_{};
};

/// A submission as received, with the customer and configuration that it was
/// accepted under.
struct JobSubmissionRecord
{
  std::string host_;
  std::string path_;
  std::string body_;
  /// The configuration under whose routes it was accepted. An owner that has
  /// only an older configuration may lack those routes.
  ConfigRevision acceptedUnder_{ 0 };
  /// Owner of the job; its items run as requests of this customer.
  CustomerId customer_{};
};

/// The text of an item whose result is not listed yet.
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
