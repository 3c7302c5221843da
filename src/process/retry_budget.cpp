#include "marjoramtally/process/retry_budget.hpp"

#include <algorithm>

namespace marjoramtally {

double&
RetryBudget::Balance(const ServiceId& aService)
{
  return balances_.try_emplace(aService, options_.initial_).first->second;
}

void
RetryBudget::OnSuccess(const ServiceId& aService)
{
  double& balance = Balance(aService);
  balance =
    std::min(balance + options_.retriesPerSuccess_, options_.maxBalance_);
}

bool
RetryBudget::Take(const ServiceId& aService)
{
  double& balance = Balance(aService);
  if (balance < 1) {
    return false;
  }
  balance -= 1;
  return true;
}

double
RetryBudget::Left(const ServiceId& aService) const
{
  const auto it = balances_.find(aService);
  return it == balances_.end() ? options_.initial_ : it->second;
}

} // namespace marjoramtally
