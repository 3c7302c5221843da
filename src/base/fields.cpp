#include "marjoramtally/base/fields.hpp"

#include <charconv>
#include <cmath>

namespace marjoramtally::impl {

std::string
SetField(std::string& aOut,
         const std::string& aText,
         std::uint64_t /*aMin*/,
         std::uint64_t /*aMax*/)
{
  if (aText.empty()) {
    return "the value is empty";
  }
  aOut = aText;
  return {};
}

std::string
SetField(std::uint64_t& aOut,
         const std::string& aText,
         std::uint64_t aMin,
         std::uint64_t aMax)
{
  const auto value = ParseNumber(aText, aMin, aMax);
  if (!value) {
    return "not a whole number from " + std::to_string(aMin) + " to " +
           std::to_string(aMax);
  }
  aOut = *value;
  return {};
}

std::string
SetField(Duration& aOut,
         const std::string& aText,
         std::uint64_t aMin,
         std::uint64_t aMax)
{
  const auto value = ParseDuration(aText);
  if (!value) {
    return "not a duration (a number and one of us, ms, s, min, h)";
  }
  const auto micros = static_cast<std::uint64_t>(value->count());
  if (micros < aMin || micros > aMax) {
    return "out of range";
  }
  aOut = *value;
  return {};
}

std::string
SetField(Capacity& aOut,
         const std::string& aText,
         std::uint64_t aMin,
         std::uint64_t aMax)
{
  constexpr double kThousandths = 1000;
  double cores = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data(), end, cores, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(cores)) {
    return "not a decimal number";
  }
  const double thousandths = cores * kThousandths;
  if (thousandths < static_cast<double>(aMin) ||
      thousandths > static_cast<double>(aMax)) {
    return "out of range";
  }
  aOut = Capacity{ static_cast<std::uint32_t>(std::lround(thousandths)) };
  return {};
}

std::string
SetField(bool& aOut,
         const std::string& aText,
         std::uint64_t /*aMin*/,
         std::uint64_t /*aMax*/)
{
  if (aText != "yes" && aText != "no") {
    return "neither yes nor no";
  }
  aOut = aText == "yes";
  return {};
}

void
ReportUnknownKey(const std::string& aSection,
                 const std::string& aKey,
                 const IniValue& aValue,
                 Findings& aFindings)
{
  aFindings.Add(aValue.place_, "[" + aSection + "] has no key '" + aKey + "'");
}

} // namespace marjoramtally::impl
