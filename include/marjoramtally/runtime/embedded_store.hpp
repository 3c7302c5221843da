/// A store for a single machine without the platform: a file in a data
/// directory that all processes of the machine share.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <filesystem>
#include <memory>

namespace marjoramtally {

/// Opens the store's file in a directory, and creates both if they do not
/// exist.
/// @param aClock must outlive the store; leases expire by it
/// @returns an error that names the file if it cannot be opened
[[nodiscard]] Result<std::unique_ptr<Store>>
OpenEmbeddedStore(const std::filesystem::path& aFolder, const Clock& aClock);

} // namespace marjoramtally
