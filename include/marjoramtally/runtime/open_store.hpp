/// Chooses the store's implementation by its address.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <memory>

namespace marjoramtally {

/// Addresses with this prefix name a directory for the embedded store; all
/// others are URLs of the platform's store.
inline constexpr std::string_view kStoreFolderPrefix = "file:";

/// @param aClient must outlive the store
/// @param aTimeout time limit of each call to the platform's store
/// @param aClock must outlive the store
[[nodiscard]] Result<std::unique_ptr<Store>>
OpenStore(const std::string& aAddress,
          HttpClient& aClient,
          Duration aTimeout,
          const Clock& aClock);

} // namespace marjoramtally
