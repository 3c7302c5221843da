/// Units in text: durations and whole numbers with bounds.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <optional>

namespace marjoramtally {

/// Parses a duration such as `250ms`, `3s`, `16min`.
/// @returns nothing if the text is no duration or overflows
[[nodiscard]] std::optional<Duration>
ParseDuration(std::string_view aText) noexcept;

/// @returns the duration in the largest unit that is exact
[[nodiscard]] std::string
FormatDuration(Duration aDuration);

/// Parses a whole number.
/// @returns nothing unless all of the text is a number within the bounds
[[nodiscard]] std::optional<std::uint64_t>
ParseNumber(std::string_view aText,
            std::uint64_t aMin,
            std::uint64_t aMax) noexcept;

} // namespace marjoramtally
