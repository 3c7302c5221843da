/// Whole numbers in JSON that another process wrote. The conversions of the
/// JSON library wrap, truncate or are undefined for values out of range.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace marjoramtally {

/// Largest number that all writers of JSON exchange exactly (RFC 8259, 6). A
/// larger version or start time would never be followed by a later one.
constexpr std::uint64_t kMaxExactNumber = 1ULL << 53U;

/// @returns the value of a whole number of at most `aMax`
/// @param aName names the number in an error
/// @throws std::invalid_argument if the value is no such number
template<typename Number>
Number
WholeNumber(const nlohmann::json& aValue,
            const std::string& aName,
            std::uint64_t aMax)
{
  const std::uint64_t max =
    std::min<std::uint64_t>(aMax, std::numeric_limits<Number>::max());
  const auto unwanted = [&] {
    return std::invalid_argument(aName + ": a whole number of at most " +
                                 std::to_string(max) + " is wanted");
  };
  std::uint64_t number = 0;
  if (aValue.is_number_unsigned()) {
    number = aValue.get<std::uint64_t>();
  } else if (aValue.is_number_integer()) {
    // Not unsigned, so negative or -0.
    if (aValue.get<std::int64_t>() != 0) {
      throw unwanted();
    }
  } else {
    const double value = aValue.is_number() ? aValue.get<double>() : -1;
    if (!(value >= 0 && value <= static_cast<double>(kMaxExactNumber)) ||
        value != std::floor(value)) {
      throw unwanted();
    }
    number = static_cast<std::uint64_t>(value);
  }
  if (number > max) {
    throw unwanted();
  }
  return static_cast<Number>(number);
}

/// @returns the value of a field that must be a whole number of at most `aMax`
/// @throws std::exception if the field is missing or no such number
template<typename Number = std::uint64_t>
Number
WholeField(const nlohmann::json& aObject,
           const char* aName,
           std::uint64_t aMax = kMaxExactNumber)
{
  return WholeNumber<Number>(aObject.at(aName), aName, aMax);
}

/// @returns the same, or `aDefault` if the field is missing
/// @throws std::exception if the value is no object, or the field no such
/// number
template<typename Number = std::uint64_t>
Number
WholeFieldOr(const nlohmann::json& aObject,
             const char* aName,
             Number aDefault,
             std::uint64_t aMax = kMaxExactNumber)
{
  return aObject.contains(aName) || !aObject.is_object()
           ? WholeField<Number>(aObject, aName, aMax)
           : aDefault;
}

} // namespace marjoramtally
