/// Messages between a job's owner and processes that are asked for its
/// results.
#pragma once

#include "marjoramtally/base/result.hpp"

#include <string>
#include <string_view>

namespace marjoramtally {

/// Asks for a job's results from a position on.
struct JobAsk
{
  std::string job_;
  std::uint64_t after_ = 0;
};

[[nodiscard]] std::string
EncodeJobAsk(const JobAsk& aAsk);
[[nodiscard]] Result<JobAsk>
DecodeJobAsk(std::string_view aBytes);

/// @param aResults a record of results as the store keeps it
[[nodiscard]] std::string
EncodeJobAnswer(std::string_view aResults);
[[nodiscard]] Result<std::string>
DecodeJobAnswer(std::string_view aBytes);

} // namespace marjoramtally
