#include "marjoramtally/base/json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// Id of the exception for text that is nested too deeply; the library's own
/// errors of this type end at 501.
constexpr int kTooDeepErrorId = 599;

/// Counts the brackets outside strings, which is exact up to the first syntax
/// error.
bool
ExceedsMaxDepth(std::string_view aText) noexcept
{
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    switch (aText[i]) {
      case '"':
        inString = !inString;
        break;
      case '\\':
        // Skips the escaped character; backslashes occur only in strings.
        ++i;
        break;
      case '[':
      case '{':
        if (!inString && ++depth > kMaxJsonDepth) {
          return true;
        }
        break;
      case ']':
      case '}':
        if (!inString) {
          depth -= std::min<std::size_t>(depth, 1);
        }
        break;
      default:
        break;
    }
  }
  return false;
}

} // namespace

Json
ParseJson(std::string_view aText)
{
  if (ExceedsMaxDepth(aText)) {
    throw Json::other_error::create(kTooDeepErrorId,
                                    "parse error: nested deeper than " +
                                      std::to_string(kMaxJsonDepth) + " levels",
                                    nullptr);
  }
  return Json::parse(aText);
}

Json
ParseJsonOrDiscarded(std::string_view aText)
{
  return ExceedsMaxDepth(aText) ? Json(Json::value_t::discarded)
                                : Json::parse(aText, nullptr, false);
}

} // namespace marjoramtally
