/// Limits retries to a share of successes, so that a failing service gets
/// few more attempts than requests.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <unordered_map>

namespace marjoramtally {

/// How many retries a service may have.
struct RetryBudgetOptions
{
  /// Retries earned by each success.
  double retriesPerSuccess_ = 0.2;
  /// Retries that a service has before its first success: one upstream's
  /// worth of requests in flight, so that its crash is not seen by callers.
  double initial_ = 64;
  /// Most retries that can be saved up.
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

  /// Records a whole answer.
  void OnSuccess(const ServiceId& aService);
  /// Takes one retry out of the budget.
  /// @returns whether there was one
  [[nodiscard]] bool Take(const ServiceId& aService);
  /// @returns retries left
  [[nodiscard]] double Left(const ServiceId& aService) const;

private:
  [[nodiscard]] double& Balance(const ServiceId& aService);

  RetryBudgetOptions options_;
  std::unordered_map<ServiceId, double> balances_;
};

} // namespace marjoramtally
