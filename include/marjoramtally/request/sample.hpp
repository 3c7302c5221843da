/// Samples and the weight versions that produced them.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <optional>
#include <vector>

namespace marjoramtally {

/// Tokens [from, to) of a sample came from one weight version.
struct VersionSpan
{
  WeightVersion version_;
  std::uint32_t from_ = 0;
  std::uint32_t to_ = 0;
  auto operator<=>(const VersionSpan&) const = default;
};

/// One generation: a candidate for a sample's identity.
struct Sample
{
  SampleId id_;
  std::string text_;
  /// Tokens generated; the spans must cover them.
  std::uint32_t tokens_ = 0;
  std::vector<VersionSpan> spans_;
  /// Score given by the trainer's scorer.
  double reward_ = 0;
  UpstreamId upstream_;
};

/// @returns the oldest version of the spans; nothing if there are none
[[nodiscard]] std::optional<WeightVersion>
OldestVersion(const std::vector<VersionSpan>& aSpans) noexcept;

/// @returns whether the spans cover [0, aTokens) without gap or overlap
[[nodiscard]] bool
SpansCover(const std::vector<VersionSpan>& aSpans,
           std::uint32_t aTokens) noexcept;

} // namespace marjoramtally
