/// Messages between the owner of a job and other processes that serve requests
/// for the job or hand it over.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramtally {

/// Requests the results of a job from a position on.
struct JobResultsRequest
{
  std::string job_;
  std::uint64_t after_ = 0;
  /// Maximum time that the owner waits for such a result (long polling).
  Duration wait_{ 0 };
};

[[nodiscard]] std::string
EncodeJobResultsRequest(const JobResultsRequest& aRequest);
[[nodiscard]] Result<JobResultsRequest>
DecodeJobResultsRequest(std::string_view aBytes);

/// @param aResults record of results in its stored format
[[nodiscard]] std::string
EncodeJobResultsReply(std::string_view aResults);
[[nodiscard]] Result<std::string>
DecodeJobResultsReply(std::string_view aBytes);

/// Requests the body of an item of a job.
struct JobBodyRequest
{
  std::string job_;
  std::string item_;
};

[[nodiscard]] std::string
EncodeJobBodyRequest(const JobBodyRequest& aRequest);
[[nodiscard]] Result<JobBodyRequest>
DecodeJobBodyRequest(std::string_view aBytes);

/// @param aBody empty if the job has no such item
[[nodiscard]] std::string
EncodeJobBodyReply(const std::optional<std::string>& aBody);
[[nodiscard]] Result<std::optional<std::string>>
DecodeJobBodyReply(std::string_view aBytes);

/// Asks the receiver to accept a submission and to own the job.
struct JobHandover
{
  std::string job_;
  /// The submission in its stored format.
  std::string submission_;
};

[[nodiscard]] std::string
EncodeJobHandover(const JobHandover& aHandover);
[[nodiscard]] Result<JobHandover>
DecodeJobHandover(std::string_view aBytes);

/// @param aEnd numeric value of an `AcceptOutcome`
[[nodiscard]] std::string
EncodeJobHandoverReply(std::uint8_t aEnd);
[[nodiscard]] Result<std::uint8_t>
DecodeJobHandoverReply(std::string_view aBytes);

} // namespace marjoramtally
