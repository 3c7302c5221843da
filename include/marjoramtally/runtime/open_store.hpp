/// Chooses the store's adapter by its address.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <memory>

namespace marjoramtally {

/// Addresses that start so name a folder for the embedded store; all others
/// are URLs of the platform's store.
inline constexpr std::string_view kStoreFolderPrefix = "file:";

/// @param aClient outlives the store
/// @param aTimeout time limit of each call to the platform's store
/// @param aClock outlives the store
[[nodiscard]] Result<std::unique_ptr<Store>>
OpenStore(const std::string& aAddress,
          HttpClient& aClient,
          Duration aTimeout,
          const Clock& aClock);

} // namespace marjoramtally
