/// Messages between a job's owner and the processes that callers ask about it
/// or hand it to.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramtally {

/// Asks for a job's results from a position on.
struct JobResultsRequest
{
  std::string job_;
  std::uint64_t after_ = 0;
  /// How long the owner may hold the question until there is such a result.
  Duration wait_{ 0 };
};

[[nodiscard]] std::string
EncodeJobResultsRequest(const JobResultsRequest& aRequest);
[[nodiscard]] Result<JobResultsRequest>
DecodeJobResultsRequest(std::string_view aBytes);

/// @param aResults a record of results as the store keeps it
[[nodiscard]] std::string
EncodeJobResultsReply(std::string_view aResults);
[[nodiscard]] Result<std::string>
DecodeJobResultsReply(std::string_view aBytes);

/// Asks for the body of a job's item.
struct JobBodyRequest
{
  std::string job_;
  std::string item_;
};

[[nodiscard]] std::string
EncodeJobBodyRequest(const JobBodyRequest& aRequest);
[[nodiscard]] Result<JobBodyRequest>
DecodeJobBodyRequest(std::string_view aBytes);

/// @param aBody nothing: the job has no such item
[[nodiscard]] std::string
EncodeJobBodyReply(const std::optional<std::string>& aBody);
[[nodiscard]] Result<std::optional<std::string>>
DecodeJobBodyReply(std::string_view aBytes);

/// A submission that the asked process is to accept and own.
struct JobHandover
{
  std::string job_;
  /// In the form in which the store keeps it.
  std::string submission_;
};

[[nodiscard]] std::string
EncodeJobHandover(const JobHandover& aHandover);
[[nodiscard]] Result<JobHandover>
DecodeJobHandover(std::string_view aBytes);

/// @param aEnd the number of an `AcceptOutcome`
[[nodiscard]] std::string
EncodeJobHandoverReply(std::uint8_t aEnd);
[[nodiscard]] Result<std::uint8_t>
DecodeJobHandoverReply(std::string_view aBytes);

} // namespace marjoramtally
