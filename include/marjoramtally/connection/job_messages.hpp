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
struct JobAsk
{
  std::string job_;
  std::uint64_t after_ = 0;
  /// How long the owner may hold the question until there is such a result.
  Duration wait_{ 0 };
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

/// Asks for the body of a job's item.
struct JobBodyAsk
{
  std::string job_;
  std::string item_;
};

[[nodiscard]] std::string
EncodeJobBodyAsk(const JobBodyAsk& aAsk);
[[nodiscard]] Result<JobBodyAsk>
DecodeJobBodyAsk(std::string_view aBytes);

/// @param aBody nothing: the job has no such item
[[nodiscard]] std::string
EncodeJobBodyAnswer(const std::optional<std::string>& aBody);
[[nodiscard]] Result<std::optional<std::string>>
DecodeJobBodyAnswer(std::string_view aBytes);

/// A submission that the asked process is to accept and own.
struct JobHandOn
{
  std::string job_;
  /// In the form in which the store keeps it.
  std::string submission_;
};

[[nodiscard]] std::string
EncodeJobHandOn(const JobHandOn& aHandOn);
[[nodiscard]] Result<JobHandOn>
DecodeJobHandOn(std::string_view aBytes);

/// @param aEnd the number of an `AcceptOutcome`
[[nodiscard]] std::string
EncodeJobHandOnAnswer(std::uint8_t aEnd);
[[nodiscard]] Result<std::uint8_t>
DecodeJobHandOnAnswer(std::string_view aBytes);

} // namespace marjoramtally
