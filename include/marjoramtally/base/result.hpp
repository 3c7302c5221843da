/// Result types that hold a value or an error, based on Boost.Outcome.
#pragma once

#include "marjoramtally/base/findings.hpp"

#include <boost/outcome/result.hpp>

namespace marjoramtally {

/// Category of an error; determines retries and status codes.
enum class ErrorKind
{
  BadInput,
  NotFound,
  Conflict,
  Refused,
  Unavailable,
  Timeout,
  Internal,
};

/// An error with a human-readable message.
struct Error
{
  ErrorKind kind_ = ErrorKind::Internal;
  std::string message_;
};

/// A value or an `Error`.
template<typename T>
using Result = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// A value, or all `Findings` about the invalid input.
template<typename T>
using Checked = boost::outcome_v2::
  basic_result<T, Findings, boost::outcome_v2::policy::terminate>;

/// @returns the lower-case name of a kind, as used in logs and response bodies
[[nodiscard]] std::string_view
ToString(ErrorKind aKind) noexcept;

} // namespace marjoramtally
