/// Reads INI sections into structs with validation, driven by tables of member
/// pointers.
#pragma once

#include "marjoramtally/base/capacity.hpp"
#include "marjoramtally/base/ini.hpp"
#include "marjoramtally/base/units.hpp"

#include <span>
#include <variant>

namespace marjoramtally {

/// A key of a section and the struct member that it sets.
template<typename T>
struct FieldSpec
{
  std::string_view key_;
  std::variant<std::string T::*,
               std::uint64_t T::*,
               Duration T::*,
               bool T::*,
               Capacity T::*>
    member_;
  bool required_ = false;
  /// Inclusive bounds of numbers, of durations in microseconds, or of
  /// capacities in thousandths of a core.
  std::uint64_t min_ = 0;
  std::uint64_t max_ = UINT64_MAX;
};

namespace impl {

/// Setters return an error text, empty if the value is valid.
std::string
SetField(std::string& aOut,
         const std::string& aText,
         std::uint64_t,
         std::uint64_t);
std::string
SetField(std::uint64_t& aOut,
         const std::string& aText,
         std::uint64_t aMin,
         std::uint64_t aMax);
std::string
SetField(Duration& aOut,
         const std::string& aText,
         std::uint64_t aMin,
         std::uint64_t aMax);
std::string
SetField(Capacity& aOut,
         const std::string& aText,
         std::uint64_t aMin,
         std::uint64_t aMax);
std::string
SetField(bool& aOut, const std::string& aText, std::uint64_t, std::uint64_t);

/// Adds a finding for a key that no field has.
void
ReportUnknownKey(const std::string& aSection,
                 const std::string& aKey,
                 const IniValue& aValue,
                 Findings& aFindings);

} // namespace impl

/// Fills a struct from a section and adds a finding for each problem.
///
/// @param aName name of the section, for messages
/// @param aPlace location reported for missing required keys
template<typename T>
void
ReadFields(const std::string& aName,
           const IniSection& aSection,
           const SourcePlace& aPlace,
           std::span<const FieldSpec<T>> aFields,
           T& aOut,
           Findings& aFindings)
{
  for (const auto& entry : aSection) {
    const std::string& key = entry.first;
    const IniValue& value = entry.second;
    bool known = false;
    for (const FieldSpec<T>& field : aFields) {
      if (field.key_ != key) {
        continue;
      }
      known = true;
      const std::string problem = std::visit(
        [&](auto aMember) {
          return impl::SetField(
            aOut.*aMember, value.text_, field.min_, field.max_);
        },
        field.member_);
      if (!problem.empty()) {
        aFindings.Add(value.place_,
                      "[" + aName + "] " + key + " = '" + value.text_ +
                        "': " + problem);
      }
    }
    if (!known) {
      impl::ReportUnknownKey(aName, key, value, aFindings);
    }
  }
  for (const FieldSpec<T>& field : aFields) {
    if (field.required_ && !aSection.contains(std::string(field.key_))) {
      aFindings.Add(aPlace,
                    "[" + aName + "] lacks the key '" +
                      std::string(field.key_) + "'");
    }
  }
}

} // namespace marjoramtally
