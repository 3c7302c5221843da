/// Results that are a value or an error, by Boost.Outcome.
#pragma once

#include "marjoramtally/base/findings.hpp"

#include <boost/outcome/result.hpp>

namespace marjoramtally {

/// What kind of failure an error is; drives retries and status codes.
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

/// A typed error with a message for people.
struct Error
{
  ErrorKind kind_ = ErrorKind::Internal;
  std::string message_;
};

/// A value or an `Error`.
template<typename T>
using Result = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// A value or all `Findings` about the input it was to be made from.
template<typename T>
using Checked = boost::outcome_v2::
  basic_result<T, Findings, boost::outcome_v2::policy::terminate>;

/// @returns the customary lower-case name of a kind, for logs and bodies
[[nodiscard]] std::string_view
ToString(ErrorKind aKind) noexcept;

} // namespace marjoramtally
