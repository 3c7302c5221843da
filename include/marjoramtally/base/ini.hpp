/// INI text as entries that know their place.
#pragma once

#include "marjoramtally/base/result.hpp"

#include <map>
#include <optional>

namespace marjoramtally {

/// One value with the place it came from.
struct IniValue
{
  std::string text_;
  SourcePlace place_;
};

/// Keys of one section.
using IniSection = std::map<std::string, IniValue>;

/// Sections by name; keys before any section belong to "".
using IniDocument = std::map<std::string, IniSection>;

/// Parses INI text. Within one text a repeated key is a finding.
///
/// @param aName the name that places carry
/// @param aText the text
/// @returns the document or every finding
[[nodiscard]] Checked<IniDocument>
ParseIni(const std::string& aName, std::string_view aText);

} // namespace marjoramtally
