/// Reads an operator's local rules folder.
#pragma once

#include "daemon/manifest.hpp"

namespace marjoramtally {

/// Reads the `*.ini` files of a folder.
[[nodiscard]] Checked<std::vector<RulesFile>>
ReadFolder(const std::string& aFolder);

/// Reads and checks a folder, printing all findings.
[[nodiscard]] std::optional<std::vector<RulesFile>>
LoadChecked(const std::string& aFolder);

/// Reads the manifest of the accepted revision that the folder is based on.
/// @returns nothing if the folder was never pulled or pushed
[[nodiscard]] std::optional<Manifest>
ReadBase(const std::string& aFolder);

/// Records that the folder's files are those of an accepted revision.
[[nodiscard]] Result<bool>
WriteBase(const std::string& aFolder, const Manifest& aBase);

/// @returns a manifest of the given files
[[nodiscard]] Manifest
ManifestOf(const std::vector<RulesFile>& aFiles);

} // namespace marjoramtally
