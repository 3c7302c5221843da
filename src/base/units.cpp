#include "marjoramtally/base/units.hpp"

#include <array>
#include <charconv>
#include <limits>

namespace marjoramtally {

namespace {

/// A unit name and its length in microseconds.
struct DurationUnit
{
  std::string_view name_;
  std::int64_t micros_;
};

/// Ordered from largest to smallest; `FormatDuration` uses the first exact one.
constexpr std::array<DurationUnit, 5> kDurationUnits{ {
  { "h", 3'600'000'000 },
  { "min", 60'000'000 },
  { "s", 1'000'000 },
  { "ms", 1'000 },
  { "us", 1 },
} };

} // namespace

std::optional<std::uint64_t>
ParseNumber(std::string_view aText,
            std::uint64_t aMin,
            std::uint64_t aMax) noexcept
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc{} || stop != end || value < aMin || value > aMax) {
    return std::nullopt;
  }
  return value;
}

std::optional<Duration>
ParseDuration(std::string_view aText) noexcept
{
  const std::size_t digits = aText.find_first_not_of("0123456789");
  if (digits == std::string_view::npos || digits == 0) {
    return std::nullopt;
  }
  std::string_view unit = aText.substr(digits);
  unit.remove_prefix(unit.find_first_not_of(' ') == std::string_view::npos
                       ? unit.size()
                       : unit.find_first_not_of(' '));
  for (const DurationUnit& known : kDurationUnits) {
    if (known.name_ != unit) {
      continue;
    }
    const auto max = static_cast<std::uint64_t>(
      std::numeric_limits<std::int64_t>::max() / known.micros_);
    const auto count = ParseNumber(aText.substr(0, digits), 0, max);
    if (!count) {
      return std::nullopt;
    }
    return Duration{ static_cast<std::int64_t>(*count) * known.micros_ };
  }
  return std::nullopt;
}

std::string
FormatDuration(Duration aDuration)
{
  for (const DurationUnit& unit : kDurationUnits) {
    if (aDuration.count() != 0 && aDuration.count() % unit.micros_ == 0) {
      return std::to_string(aDuration.count() / unit.micros_) +
             std::string(unit.name_);
    }
  }
  return "0s";
}

} // namespace marjoramtally
