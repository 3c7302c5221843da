/// Sets or removes one key in the text of a rules file.
#pragma once

#include "marjoramtally/base/result.hpp"

namespace marjoramtally {

/// A key of a section and its new value.
struct KeyAssignment
{
  std::string section_;
  std::string key_;
  /// Empty: the key is removed.
  std::string value_;
};

/// Parses `SECTION.KEY=VALUE`; the section may contain spaces and dots.
[[nodiscard]] Result<KeyAssignment>
ParseAssignment(std::string_view aText);

/// Sets a key in a file's text and leaves all other lines unchanged.
/// @returns the new text
[[nodiscard]] std::string
AssignKey(std::string_view aText, const KeyAssignment& aAssignment);

} // namespace marjoramtally
