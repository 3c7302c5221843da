#include "marjoramtally/base/json.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace marjoramtally {

namespace {

/// @returns how many bytes at the start of a text are one character in UTF-8;
/// 0 if they are none
std::size_t
CharacterBytes(std::string_view aText)
{
  const auto byte = [aText](std::size_t aAt) {
    return aAt < aText.size() ? static_cast<unsigned char>(aText[aAt]) : 0U;
  };
  const auto continues = [&](std::size_t aCount) {
    for (std::size_t i = 1; i <= aCount; ++i) {
      if ((byte(i) & 0xc0U) != 0x80U) {
        return false;
      }
    }
    return true;
  };
  const unsigned first = byte(0);
  const unsigned second = byte(1);
  if (first < 0x80U) {
    return 1;
  }
  if (first >= 0xc2U && first <= 0xdfU && continues(1)) {
    return 2;
  }
  const bool overlongOrSurrogate =
    (first == 0xe0U && second < 0xa0U) || (first == 0xedU && second > 0x9fU);
  if ((first & 0xf0U) == 0xe0U && !overlongOrSurrogate && continues(2)) {
    return 3;
  }
  const bool outOfRange =
    (first == 0xf0U && second < 0x90U) || (first == 0xf4U && second > 0x8fU);
  if (first >= 0xf0U && first <= 0xf4U && !outOfRange && continues(3)) {
    return 4;
  }
  return 0;
}

/// @returns the code unit of an escape such as `\ud83d` at the start of a text
std::optional<unsigned>
EscapedUnit(std::string_view aText)
{
  constexpr std::size_t kBytes = 6;
  constexpr int kHex = 16;
  if (aText.size() < kBytes || !aText.starts_with("\\u")) {
    return std::nullopt;
  }
  unsigned unit = 0;
  const char* end = aText.data() + kBytes;
  const auto [stop, error] = std::from_chars(aText.data() + 2, end, unit, kHex);
  return error == std::errc{} && stop == end ? std::optional(unit)
                                             : std::nullopt;
}

} // namespace

std::string
ReplaceInvalidJsonText(std::string_view aText)
{
  constexpr std::size_t kEscapeBytes = 6;
  std::string text;
  text.reserve(aText.size());
  while (!aText.empty()) {
    std::size_t size = CharacterBytes(aText);
    const auto unit = EscapedUnit(aText);
    bool valid = size > 0;
    if (unit && *unit >= 0xd800U && *unit <= 0xdfffU) {
      const auto next = EscapedUnit(aText.substr(kEscapeBytes));
      valid = *unit <= 0xdbffU && next && *next >= 0xdc00U && *next <= 0xdfffU;
      size = valid ? 2 * kEscapeBytes : kEscapeBytes;
    } else if (aText.front() == '\\') {
      size = 2;
    }
    size = std::min(std::max<std::size_t>(size, 1), aText.size());
    text += valid ? aText.substr(0, size) : kReplacementCharacter;
    aText.remove_prefix(size);
  }
  return text;
}

} // namespace marjoramtally
