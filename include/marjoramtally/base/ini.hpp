/// INI parser that keeps the source location of each value.
#pragma once

#include "marjoramtally/base/result.hpp"

#include <map>
#include <optional>

namespace marjoramtally {

/// A value and its source location.
struct IniValue
{
  std::string text_;
  SourcePlace place_;
};

/// Keys of one section.
using IniSection = std::map<std::string, IniValue>;

/// Sections by name; keys before any section belong to "".
using IniDocument = std::map<std::string, IniSection>;

/// Parses INI text. A key that is repeated within a section is a finding.
///
/// @param aName file name reported in source locations
/// @returns the document, or all findings
[[nodiscard]] Checked<IniDocument>
ParseIni(const std::string& aName, std::string_view aText);

} // namespace marjoramtally
