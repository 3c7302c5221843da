#include "marjoramtally/base/ini.hpp"

#include <algorithm>
#include <cstring>
#include <ini.h>

namespace marjoramtally {

namespace {

/// Longer lines are rejected, because the line buffer of the INI library would
/// truncate them.
constexpr std::size_t kMaxLineBytes = 190;

/// State shared by the reader and handler callbacks of the INI library.
struct ParseState
{
  std::string name_;
  std::string_view rest_;
  std::uint32_t line_ = 0;
  IniDocument document_;
  Findings findings_;
};

/// Reader callback: returns the next line and tracks the line number.
char*
ReadLine(char* aBuffer, int aSize, void* aStream)
{
  auto& state = *static_cast<ParseState*>(aStream);
  if (state.rest_.empty() || aSize < 2) {
    return nullptr;
  }
  const std::size_t end = state.rest_.find('\n');
  const bool last = end == std::string_view::npos;
  std::string_view line = state.rest_.substr(0, end);
  state.rest_.remove_prefix(last ? state.rest_.size() : end + 1);
  ++state.line_;
  const SourcePlace place{ state.name_, state.line_ };
  if (line.size() > kMaxLineBytes) {
    state.findings_.Add(place, "line is longer than 190 bytes");
    line = std::string_view{};
  }
  if (line.find('\0') != std::string_view::npos) {
    state.findings_.Add(place, "line contains a NUL byte");
    line = std::string_view{};
  }
  const auto room = static_cast<std::size_t>(aSize) - 1;
  const std::size_t count = std::min(line.size(), room);
  std::memcpy(aBuffer, line.data(), count);
  aBuffer[count] = '\0';
  return aBuffer;
}

int
HandleEntry(void* aUser,
            const char* aSection,
            const char* aName,
            const char* aValue)
{
  auto& state = *static_cast<ParseState*>(aUser);
  IniValue value{ aValue == nullptr ? "" : aValue,
                  SourcePlace{ state.name_, state.line_ } };
  IniSection& section = state.document_[aSection];
  const auto [it, added] = section.emplace(aName, value);
  if (!added) {
    state.findings_.Add(value.place_,
                        "key '" + std::string(aName) +
                          "' is already set on line " +
                          std::to_string(it->second.place_.line_));
  }
  return 1;
}

} // namespace

Checked<IniDocument>
ParseIni(const std::string& aName, std::string_view aText)
{
  ParseState state;
  state.name_ = aName;
  state.rest_ = aText;
  const int firstBad = ini_parse_stream(ReadLine, &state, HandleEntry, &state);
  if (firstBad > 0) {
    state.findings_.Add(
      SourcePlace{ aName, static_cast<std::uint32_t>(firstBad) },
      "neither a [section], a key=value nor a comment");
  }
  if (!state.findings_.empty()) {
    return state.findings_;
  }
  return std::move(state.document_);
}

} // namespace marjoramtally
