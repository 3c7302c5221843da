/// The accepted configuration as it stands in the store: immutable blobs by
/// content hash, one manifest, and a log with a record of each revision.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/version/config_log.hpp"

namespace marjoramtally {

/// Keys in the store.
inline constexpr std::string_view kManifestKey =
  "/marjoramtally/config/manifest";
inline constexpr std::string_view kBlobPrefix = "/marjoramtally/config/blob/";
inline constexpr std::string_view kLogPrefix = "/marjoramtally/config/log/";

/// @returns the key of a revision's record; keys sort as revisions do
[[nodiscard]] std::string
LogKey(ConfigRevision aRevision);
[[nodiscard]] std::string
BlobKey(std::string_view aHash);

[[nodiscard]] std::string
FormatManifest(const Manifest& aManifest);
[[nodiscard]] Result<Manifest>
ParseManifest(const std::string& aText);

/// One revision with the contents of its files.
struct ConfigContent
{
  Manifest manifest_;
  /// Contents by hash.
  std::map<std::string, std::string> blobs_;
};

/// One message for a file on disk or an export.
[[nodiscard]] std::string
FormatContent(const ConfigContent& aContent);
/// @returns an error unless each content has its hash
[[nodiscard]] Result<ConfigContent>
ParseContent(const std::string& aText);
/// @returns the files with their contents; an error names what is missing
[[nodiscard]] Result<std::vector<RulesFile>>
CollectFiles(const ConfigContent& aContent);

/// @returns the SHA-256 of a text, in hexadecimal digits
[[nodiscard]] std::string
ContentHash(std::string_view aText);

} // namespace marjoramtally
