#include "marjoramtally/request/sample.hpp"

#include <algorithm>

namespace marjoramtally {

std::optional<WeightVersion>
OldestVersion(const std::vector<VersionSpan>& aSpans) noexcept
{
  const auto oldest = std::min_element(
    aSpans.begin(), aSpans.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.version_ < aRight.version_;
    });
  if (oldest == aSpans.end()) {
    return std::nullopt;
  }
  return oldest->version_;
}

bool
SpansCover(const std::vector<VersionSpan>& aSpans,
           std::uint32_t aTokens) noexcept
{
  std::uint32_t next = 0;
  for (const VersionSpan& span : aSpans) {
    if (span.from_ != next || span.to_ <= span.from_) {
      return false;
    }
    next = span.to_;
  }
  return next == aTokens && aTokens > 0;
}

} // namespace marjoramtally
