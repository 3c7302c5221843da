/// Changes of one key in the text of a rules file.
#pragma once

#include "marjoramtally/base/result.hpp"

namespace marjoramtally {

/// One key of one section and its new value.
struct KeyAssignment
{
  std::string section_;
  std::string key_;
  /// Empty takes the key out.
  std::string value_;
};

/// Parses `SECTION.KEY=VALUE`; the section may hold spaces and dots.
[[nodiscard]] Result<KeyAssignment>
ParseAssignment(std::string_view aText);

/// Sets a key in a file's text and leaves all other lines as they are.
/// @returns the new text
[[nodiscard]] std::string
AssignKey(std::string_view aText, const KeyAssignment& aAssignment);

} // namespace marjoramtally
