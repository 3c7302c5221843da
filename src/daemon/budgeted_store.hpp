/// Counts this process's calls to the platform's store and limits its reads and
/// watches to a budget.
#pragma once

#include "marjoramtally/process/lease.hpp"
#include "marjoramtally/runtime.hpp"

#include <memory>

namespace marjoramtally {

/// This process's share of the store's capacity, in calls.
struct StoreRate
{
  double perSecond_ = 4;
  double burst_ = 100;
};

/// Wraps a store. Reads over the budget fail with `Unavailable`; a watch over
/// the budget ends immediately. Other calls are never refused.
/// @param aMetrics counts `store_calls` and `store_calls_refused` by kind;
/// outlives the store
[[nodiscard]] std::unique_ptr<Store>
MakeBudgetedStore(std::unique_ptr<Store> aStore,
                  StoreRate aRate,
                  Metrics& aMetrics);

} // namespace marjoramtally
