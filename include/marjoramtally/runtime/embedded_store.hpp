/// A store for one machine with no platform: records in a data folder that
/// the processes of the machine share.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <filesystem>
#include <memory>

namespace marjoramtally {

/// Opens the store's file in a folder, making it if there is none.
/// @param aClock outlives the store; leases end by it
/// @returns an error naming the file if it cannot be opened
[[nodiscard]] Result<std::unique_ptr<Store>>
OpenEmbeddedStore(const std::filesystem::path& aFolder, const Clock& aClock);

} // namespace marjoramtally
