/// A store that is accessed through the JSON gateway of etcd v3.
#pragma once

#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <memory>

namespace marjoramtally {

/// @param aClient must outlive the store
/// @param aUrl base address such as `http://127.0.0.1:2379`
/// @param aTimeout time limit of each call
[[nodiscard]] std::unique_ptr<Store>
MakeEtcdStore(HttpClient& aClient, std::string aUrl, Duration aTimeout);

} // namespace marjoramtally
