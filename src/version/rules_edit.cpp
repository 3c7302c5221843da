#include "marjoramtally/version/rules_edit.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace marjoramtally {

namespace {

std::string
Trim(std::string_view aText)
{
  constexpr std::string_view kBlank = " \t\r";
  const std::size_t first = aText.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = aText.find_last_not_of(kBlank);
  return std::string(aText.substr(first, last - first + 1));
}

std::vector<std::string>
SplitLines(std::string_view aText)
{
  std::vector<std::string> lines;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    lines.emplace_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return lines;
}

/// @returns the name of the section that starts on a line, if any
std::optional<std::string>
OpenedSection(const std::string& aLine)
{
  const std::string line = Trim(aLine);
  const std::size_t end = line.find(']');
  if (line.empty() || line.front() != '[' || end == std::string::npos) {
    return std::nullopt;
  }
  return line.substr(1, end - 1);
}

bool
SetsKey(const std::string& aLine, const std::string& aKey)
{
  const std::size_t equals = aLine.find_first_of("=:");
  return equals != std::string::npos && Trim(aLine.substr(0, equals)) == aKey;
}

/// Where a key is set, or where it would be inserted.
struct KeyLocation
{
  /// Line that sets the key, if any.
  std::optional<std::size_t> line_;
  /// Line after the last non-blank line of the section, if it exists.
  std::optional<std::size_t> insertAt_;
};

KeyLocation
FindKey(const std::vector<std::string>& aLines,
        const KeyAssignment& aAssignment)
{
  KeyLocation location;
  bool inside = false;
  for (std::size_t i = 0; i < aLines.size(); ++i) {
    if (const auto section = OpenedSection(aLines[i])) {
      inside = *section == aAssignment.section_;
    }
    if (!inside) {
      continue;
    }
    if (!Trim(aLines[i]).empty()) {
      location.insertAt_ = i + 1;
    }
    if (!OpenedSection(aLines[i]) && SetsKey(aLines[i], aAssignment.key_)) {
      location.line_ = i;
    }
  }
  return location;
}

} // namespace

Result<KeyAssignment>
ParseAssignment(std::string_view aText)
{
  const std::size_t equals = aText.find('=');
  const std::size_t dot = aText.substr(0, equals).rfind('.');
  if (equals == std::string_view::npos || dot == std::string_view::npos) {
    return Error{ ErrorKind::BadInput,
                  "'" + std::string(aText) +
                    "' is not SECTION.KEY=VALUE, such as "
                    "'trainer begravelse.weight=2'" };
  }
  KeyAssignment assignment{ Trim(aText.substr(0, dot)),
                            Trim(aText.substr(dot + 1, equals - dot - 1)),
                            Trim(aText.substr(equals + 1)) };
  constexpr std::string_view kStructure = "[]\n\r";
  const auto plain = [&](const std::string& aPart) {
    return aPart.find_first_of(kStructure) == std::string::npos;
  };
  if (assignment.section_.empty() || assignment.key_.empty() ||
      !plain(assignment.section_) || !plain(assignment.key_) ||
      assignment.value_.find_first_of("\n\r") != std::string::npos) {
    return Error{ ErrorKind::BadInput,
                  "section and key must not be empty, section and key must not "
                  "contain brackets, and none may contain a line break" };
  }
  return assignment;
}

std::string
AssignKey(std::string_view aText, const KeyAssignment& aAssignment)
{
  std::vector<std::string> lines = SplitLines(aText);
  const KeyLocation location = FindKey(lines, aAssignment);
  const auto at = [&](std::size_t aLine) {
    return lines.begin() + static_cast<std::ptrdiff_t>(aLine);
  };
  const std::string line = aAssignment.key_ + " = " + aAssignment.value_;
  if (aAssignment.value_.empty()) {
    if (location.line_) {
      lines.erase(at(*location.line_));
    }
  } else if (location.line_) {
    lines[*location.line_] = line;
  } else if (location.insertAt_) {
    lines.insert(at(*location.insertAt_), line);
  } else {
    if (!lines.empty()) {
      lines.emplace_back();
    }
    lines.push_back("[" + aAssignment.section_ + "]");
    lines.push_back(line);
  }
  std::string text;
  for (const std::string& kept : lines) {
    text += kept + "\n";
  }
  return text;
}

} // namespace marjoramtally
