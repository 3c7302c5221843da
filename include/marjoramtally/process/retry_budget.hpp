/// Limits retries to a fraction of successes, so that retries add little load
/// to a failing service.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <unordered_map>

namespace marjoramtally {

/// Limits of a service's retries.
struct RetryBudgetOptions
{
  /// Retries added to the budget by each success.
  double retriesPerSuccess_ = 0.2;
  /// Budget before the first success. It covers the requests in flight at one
  /// upstream, so that callers do not notice its crash.
  double initial_ = 64;
  /// Maximum budget.
  double maxBalance_ = 256;
};

/// Retry budgets of all services. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {}) noexcept
    : options_(aOptions)
  {
  }

  /// Records a complete answer.
  void OnSuccess(const ServiceId& aService);
  /// Takes one retry from the budget.
  /// @returns false if the budget is exhausted
  [[nodiscard]] bool Take(const ServiceId& aService);
  /// @returns the remaining budget in retries
  [[nodiscard]] double Left(const ServiceId& aService) const;

private:
  [[nodiscard]] double& Balance(const ServiceId& aService);

  RetryBudgetOptions options_;
  std::unordered_map<ServiceId, double> balances_;
};

} // namespace marjoramtally
