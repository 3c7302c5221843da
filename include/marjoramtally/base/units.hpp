/// Parsing and formatting of durations and bounded integers.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <optional>

namespace marjoramtally {

/// Parses a duration such as `250ms`, `3s`, `16min`.
/// @returns nothing if the text is not a duration or overflows
[[nodiscard]] std::optional<Duration>
ParseDuration(std::string_view aText) noexcept;

/// @returns the duration in the largest unit that represents it exactly
[[nodiscard]] std::string
FormatDuration(Duration aDuration);

/// Parses an unsigned integer.
/// @returns nothing unless the entire text is a number within the inclusive
/// bounds
[[nodiscard]] std::optional<std::uint64_t>
ParseNumber(std::string_view aText,
            std::uint64_t aMin,
            std::uint64_t aMax) noexcept;

} // namespace marjoramtally
