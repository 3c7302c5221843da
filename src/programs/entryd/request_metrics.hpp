/// Counts of requests by class and outcome, looked up once.
#pragma once

#include "marjoramtally/request.hpp"
#include "marjoramtally/runtime/metrics.hpp"

#include <array>

namespace marjoramtally {

/// Measures of finished requests. Thread-safe.
class RequestMetrics
{
public:
  /// @param aMetrics outlives the measures
  explicit RequestMetrics(Metrics& aMetrics);
  /// Counts one finished request.
  /// @param aTook from its arrival to its outcome
  void OnFinished(RequestClass aClass, Outcome aOutcome, Duration aTook);

private:
  static constexpr std::size_t kOutcomes = 3;
  struct ClassMetrics
  {
    std::array<Counter*, kOutcomes> outcomes_{};
    Summary* millis_ = nullptr;
  };
  std::array<ClassMetrics, kRequestClasses> classes_;
};

} // namespace marjoramtally
