/// The accepted configuration as it stands in the store: immutable blobs by
/// content hash and one manifest.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/version/rules.hpp"

#include <vector>

namespace marjoramtally {

/// Keys in the store.
inline constexpr std::string_view kManifestKey =
  "/marjoramtally/config/manifest";
inline constexpr std::string_view kBlobPrefix = "/marjoramtally/config/blob/";

/// One file of a manifest.
struct ManifestFile
{
  std::string name_;
  /// SHA-256 of the content, in hexadecimal digits.
  std::string hash_;
  auto operator<=>(const ManifestFile&) const = default;
};

/// What is accepted.
struct Manifest
{
  ConfigRevision revision_;
  /// Unique id of the edit that made it.
  std::string edit_;
  std::vector<ManifestFile> files_;
};

[[nodiscard]] std::string
FormatManifest(const Manifest& aManifest);
[[nodiscard]] Result<Manifest>
ParseManifest(const std::string& aText);
/// @returns the SHA-256 of a text, in hexadecimal digits
[[nodiscard]] std::string
ContentHash(std::string_view aText);

} // namespace marjoramtally
