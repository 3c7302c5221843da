/// Parsing of JSON text that another process wrote.
#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace marjoramtally {

/// Maximum nesting depth of arrays and objects. Copying, comparing and writing
/// a value recurse once for each level, so that text with unlimited nesting
/// could overflow the stack.
constexpr std::size_t kMaxJsonDepth = 64;

/// @throws nlohmann::json::exception if the text is not JSON or nested deeper
/// than `kMaxJsonDepth`
[[nodiscard]] nlohmann::json
ParseJson(std::string_view aText);

/// @returns the parsed value, or a discarded value, which has no type, where
/// `ParseJson` throws
[[nodiscard]] nlohmann::json
ParseJsonOrDiscarded(std::string_view aText);

/// Stands for text that was replaced.
constexpr std::string_view kReplacementCharacter = "\xef\xbf\xbd";

/// Replaces what a JSON parser refuses in strings that another writer chose:
/// bytes that are not UTF-8, and halves of surrogate pairs.
[[nodiscard]] std::string
ReplaceInvalidJsonText(std::string_view aText);

} // namespace marjoramtally
