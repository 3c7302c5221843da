/// Parsers of durations and settings return a value or a finding for arbitrary
/// text; a formatted duration parses to the same value.

#include "marjoramtally/base.hpp"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace marjoramtally;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const auto duration = ParseDuration(text);
  if (duration && ParseDuration(FormatDuration(*duration)) != duration) {
    std::abort();
  }
  (void)ParseIni("fuzz.ini", std::string(text));
  return 0;
}
