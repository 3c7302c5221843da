/// Counts the calls to the store by purpose. Each call is billed, so the counts
/// show which process and purpose cause the cost.
#pragma once

#include "marjoramtally/runtime/metrics.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <memory>

namespace marjoramtally {

/// @param aMetrics counts `store_calls_total` by kind and by the leading parts
/// of the key; outlives the store. A watch counts one call for each batch.
[[nodiscard]] std::unique_ptr<Store>
MakeMeteredStore(std::unique_ptr<Store> aStore, Metrics& aMetrics);

} // namespace marjoramtally
