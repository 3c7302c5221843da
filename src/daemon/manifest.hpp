/// Stored form of the accepted configuration: immutable blobs by content
/// hash, one manifest, and a log with one record per revision.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/version/config_log.hpp"

namespace marjoramtally {

/// Store keys.
inline constexpr std::string_view kManifestKey =
  "/marjoramtally/config/manifest";
inline constexpr std::string_view kBlobPrefix = "/marjoramtally/config/blob/";
inline constexpr std::string_view kLogPrefix = "/marjoramtally/config/log/";

/// @returns the key of a revision's log record; keys sort by revision
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

/// Serializes a revision for the file on disk or for an export.
[[nodiscard]] std::string
FormatContent(const ConfigContent& aContent);
/// @returns an error if a blob does not match its hash
[[nodiscard]] Result<ConfigContent>
ParseContent(const std::string& aText);
/// @returns the files with their contents, or an error that names a missing
/// file
[[nodiscard]] Result<std::vector<RulesFile>>
CollectFiles(const ConfigContent& aContent);

/// @returns the SHA-256 of a text as hexadecimal digits
[[nodiscard]] std::string
ContentHash(std::string_view aText);

} // namespace marjoramtally
