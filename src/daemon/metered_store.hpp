/// Counts the calls to the store by what they are for: each is priced, and
/// which process calls for what decides where to save.
#pragma once

#include "marjoramtally/runtime/metrics.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <memory>

namespace marjoramtally {

/// @param aMetrics counts `store_calls_total` by kind and by the first parts of
/// the key; outlives the store. A waiting watch counts with each answer.
[[nodiscard]] std::unique_ptr<Store>
MakeMeteredStore(std::unique_ptr<Store> aStore, Metrics& aMetrics);

} // namespace marjoramtally
