/// Counts this process's calls to the platform's store and keeps its reads
/// within a budget.
#pragma once

#include "marjoramtally/process/lease.hpp"
#include "marjoramtally/runtime.hpp"

#include <memory>

namespace marjoramtally {

/// Share of the store's rate for one process.
struct StoreRate
{
  double perSecond_ = 4;
  double burst_ = 100;
};

/// Wraps a store. Refused reads fail as `Unavailable`; a refused watch ends
/// at once. Both arguments outlive the result.
[[nodiscard]] std::unique_ptr<Store>
MakeBudgetedStore(std::unique_ptr<Store> aStore,
                  StoreRate aRate,
                  Metrics& aMetrics);

} // namespace marjoramtally
